// Package fanout decides through which VMs the records that the leader reads from the platform's store reach all other VMs.
//
// In a large deployment the leader sends batches of records to a few relays in each zone, which pass them on to their children.
// The leader's Planner chooses the relays and the parents of each VM, a VM's Child the parent that it uses, and a History holds
// the latest batches for VMs that subscribe. The package is deterministic: reports, the clock and random numbers are passed in.
package fanout

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// DefaultMinMembers is the number of VMs from which there are relays. With fewer, the leader's link carries less than
	// 500 kB/s (253 kB/s were measured at 29 VMs), and a second hop only adds delay.
	DefaultMinMembers = 40
	// stopRatio is the fraction of the least number of members below which relays are given up, so that a fleet of about that
	// size does not switch back and forth.
	stopRatio = 0.8
	// relayTTL is the time without a report after which a VM is no relay. VMs report every 0.5 s; one late report is tolerated.
	// The children of a relay notice its silence themselves, after ParentSilence.
	relayTTL = 1500 * time.Millisecond
	// minRelayLinkRatio is the lowest link bandwidth of a relay, as a fraction of the highest in its zone.
	minRelayLinkRatio = 0.5
	// minZoneMembers is the number of VMs from which a zone has relays of its own. The VMs of smaller zones use those of others.
	minZoneMembers = 4
	// minZoneRelays is the least number of relays in a zone, so that a zone has another one when a relay fails.
	minZoneRelays = 2
	// surplusRatio is the number of relays in a zone that is tolerated, as a multiple of the intended number. Without it, each
	// member that leaves a large zone could end the work of a relay.
	surplusRatio = 1.5
	// overloadRatio is the number of children that a relay keeps, as a multiple of its part.
	overloadRatio = 1.3
	// alternativesInZone and alternativesOutside are the numbers of further parents that a VM is told.
	alternativesInZone  = 2
	alternativesOutside = 1

	// ParentSilence is the time without a batch after which a VM leaves its parent. The leader relays each topic every 0.4 s.
	// With one attempt to reach another parent, it stays below the 1.1 s for which relayed records count as fresh.
	ParentSilence = 600 * time.Millisecond
	// trialTimeout is how long a parent has until it has sent a batch of each topic. The leader relays each within 0.5 s; a parent
	// that has just subscribed itself, or a VM that has to read the store first, needs longer.
	trialTimeout = 1500 * time.Millisecond
	// takeoverTimeout is how long another parent has until it has sent a batch of each topic before the leader sends the batches. A
	// parent sends the last batches at once. With ParentSilence, it stays below the 1.1 s for which relayed records count as fresh.
	takeoverTimeout = 250 * time.Millisecond
	// HeartbeatInterval is the longest time between two messages of a relay to a child. Three fit in ParentSilence, so a relay
	// that only has nothing to pass on is told apart from one that does not run.
	HeartbeatInterval = 200 * time.Millisecond
	// missedHeartbeats is the number of heartbeats after which a parent without batches counts as one that does not run.
	missedHeartbeats = 2
	// ParentDialTimeout limits the time to open a subscription. A round trip between regions takes 25 ms.
	ParentDialTimeout = 250 * time.Millisecond

	// relayReadDelay is the longest delay before a relay reads the store once the leader's records are not fresh any more.
	relayReadDelay = 100 * time.Millisecond
	// minReadDelay is the shortest such delay of another VM. It covers relayReadDelay, a read by a relay and the way to its
	// children.
	minReadDelay = 300 * time.Millisecond
	// readDelayPerMember and maxReadSpread spread the reads of VMs that get nothing from any relay either. A VM then has seen
	// nothing for 1.1 + 0.3 + 1 s, which leaves 0.6 s for the read before a new configuration must be in force (3 s).
	readDelayPerMember = 4 * time.Millisecond
	maxReadSpread      = time.Second

	// minJoinDelay is the shortest time for which VMs that are neither candidates nor relays wait for another leader before they
	// join the election group. A candidate joins and claims leadership within two membership calls (0.8 s).
	minJoinDelay = time.Second
	// joinDelayPerMember and maxJoinSpread spread their calls: without them, 300 VMs make 750 calls a second to the store.
	joinDelayPerMember = 5 * time.Millisecond
	maxJoinSpread      = 2 * time.Second
)

// ReadDelay returns how long a VM waits before it reads the store once the leader's records are not fresh any more. members
// is the number of VMs as last known, random is uniform in [0, 1).
func ReadDelay(members int, isRelay bool, random float64) time.Duration {
	if isRelay {
		return scale(relayReadDelay, random)
	}
	return minReadDelay + scale(min(maxReadSpread, time.Duration(members)*readDelayPerMember), random)
}

// JoinDelay returns how long a VM without a leader waits before it joins the election group. isPreferred is true for candidates
// and relays.
func JoinDelay(members int, isPreferred bool, random float64) time.Duration {
	if isPreferred {
		return 0
	}
	return minJoinDelay + scale(min(maxJoinSpread, time.Duration(members)*joinDelayPerMember), random)
}

func scale(length time.Duration, factor float64) time.Duration {
	return time.Duration(float64(length) * factor)
}

// hash returns a number that orders the relays differently for each name.
func hash(name, relay string) uint64 { return xxhash.Sum64String(name + "\x00" + relay) }
