// Package subset chooses the few targets of a service that one VM uses while they have free slots.
//
// It handles a service with so many targets that a VM sends to each of them less often than targets close idle
// connections: every request would open a connection, which takes time at the target, and the VM would choose by load
// reports that are long out of date. With a subset the VM's connections stay open and its reports are recent. The package
// does no I/O.
package subset

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tarragonpoint/tarragonpoint/internal/fleet"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

const (
	// connectionIdleTime is the time for which a connection without requests stays open. Targets state 10 s, and a VM gives
	// a connection up before that.
	connectionIdleTime = 8 * time.Second
	// requestsPerIdleTime is the mean number of requests that a VM sends to a target of its subset in connectionIdleTime.
	// With 3, one connection in 20 closes between two requests that arrive at random.
	requestsPerIdleTime = 3.0
	// minSize is the smallest subset. It keeps a choice between idle targets when some of them are slow or have failed.
	minSize = 12
)

// Size returns the number of targets in the subset of a VM that sends a number of requests per second to the service.
func Size(requestsPerSecond float64) int {
	return max(minSize, int(requestsPerSecond*connectionIdleTime.Seconds()/requestsPerIdleTime))
}

// Of returns the subset of a VM, in the order of targets. It prefers targets in the VM's region. Each target is in the
// subsets of about equally many VMs, and a target that comes or goes changes at most one other place of a subset.
func Of(vm string, region model.Region, targets []*fleet.Target, size int) []*fleet.Target {
	if size >= len(targets) {
		return targets
	}
	ranked := make([]rankedTarget, len(targets))
	for i, target := range targets {
		ranked[i] = rankedTarget{index: i, isLocal: target.Region == region, weight: weight(vm, target.ID)}
	}
	slices.SortFunc(ranked, rankedTarget.compare)
	ranked = ranked[:size]
	slices.SortFunc(ranked, func(a, b rankedTarget) int { return a.index - b.index })
	chosen := make([]*fleet.Target, size)
	for i, r := range ranked {
		chosen[i] = targets[r.index]
	}
	return chosen
}

// rankedTarget is a target with what decides whether it is in the subset.
type rankedTarget struct {
	index   int
	isLocal bool
	weight  uint64
}

// compare orders targets in the VM's region first, and by descending weight among them.
func (r rankedTarget) compare(other rankedTarget) int {
	switch {
	case r.isLocal != other.isLocal && r.isLocal:
		return -1
	case r.isLocal != other.isLocal:
		return 1
	case r.weight > other.weight:
		return -1
	case r.weight < other.weight:
		return 1
	}
	return r.index - other.index
}

// weight is the rendezvous hash of a VM and a target.
func weight(vm string, target model.TargetID) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	// Writes to a digest never fail.
	_, _ = digest.WriteString(vm)
	_, _ = digest.WriteString("/")
	_, _ = digest.WriteString(string(target))
	return digest.Sum64()
}
