// Package shares divides limits that hold over all VMs together by leases that the leader grants to VMs.
//
// A limit on requests per second, such as that of a cold target, is divided into units, of which no two VMs hold the same one at a
// time. A budget over a longer window, such as that of retries, is divided into parts; the parts that VMs had in any window add up
// to no more than the budget. Both hold whatever messages are lost or late and whichever VMs and leaders come, go, pause or are cut
// off:
//
//   - A VM counts a lease from when it sent the report that the lease answers, the leader from when it handled that report.
//     The lease therefore ends at the VM first, and only then may another VM get the unit.
//   - A VM is known by its incarnation, so one that restarts does not inherit leases.
//   - A leader grants leases only while the store has lately confirmed its leadership. A new leader grants nothing that a former
//     one may have leased, until all those leases have ended. It renews leases that VMs still hold, so that most of them stay in use.
//
// The limits of tenants are divided into fractions of token buckets by the same rules, see QuotaAllocator and QuotaHolder.
//
// The package is a deterministic state machine: reports and the clock are passed in.
package shares

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

const (
	// Groups is the number of groups of units. Limits that many targets have are divided within the group of each target, so that
	// different VMs send to different targets.
	Groups = 1024
	// UnitsPerGroup is the number of VMs that share a target's limit. With more than one, a target keeps getting requests when a
	// VM fails.
	UnitsPerGroup = 3
	// Units is the number of units.
	Units = Groups * UnitsPerGroup
	// LeaseTTL is how long a VM may use a unit after it sent the report that the lease answers. It exceeds the time in which a
	// failed leader is replaced, so that its successor can renew most leases.
	LeaseTTL = 5 * time.Second
	// ConfirmationTTL is how long a leader may grant leases after the start of the store call that last confirmed its leadership. It
	// covers two reads by the leader.
	ConfirmationTTL = time.Second
	// clockMargin covers the drift between the clocks of VMs during the longest wait for a lease, at 2 %.
	clockMargin = (ConfirmationTTL + LeaseTTL + restTime) / 50
	// restTime is how long a unit whose lease has ended is given to nobody, so that two holders do not both use it within one
	// second, the period of the limits. It is no shorter than ConfirmationTTL: a leader that was replaced can then give no unit to
	// another VM whose lease lasted until then, so the new leader may renew every lease that has not ended.
	restTime = time.Second
)

// A negative difference does not compile.
const _ = uint64(restTime - ConfirmationTTL)

// Unit is one unit of each limit, from 0 to Units-1.
type Unit uint16

// Group is the group of the unit, and Index its index in there.
func (u Unit) Group() int { return int(u) / UnitsPerGroup }

// Index is the index of the unit in its group, from 0 to UnitsPerGroup-1.
func (u Unit) Index() int { return int(u) % UnitsPerGroup }

// GroupOf returns the group in which the limit of a target is divided.
func GroupOf(target model.TargetID) int { return int(xxhash.Sum64String(string(target)) % Groups) }

// Request is what a VM says of its leases in a report to the leader.
type Request struct {
	_ struct{} `cbor:",toarray"`
	// Number numbers the reports of a VM. The grant that answers the report repeats it.
	Number uint64
	// Version is that of the VM's last grant; 0 before the first one.
	Version uint64
	// Claims lists the units that the VM holds. It is set in the reports over a link until the leader has granted leases over it.
	Claims []Unit
	// Part is the part of the budget that the VM holds.
	Part float64
	// Ends is true if the VM is about to stop and needs no units.
	Ends bool
}

// Grant is the leader's answer to a Request.
type Grant struct {
	_ struct{} `cbor:",toarray"`
	// Number is that of the answered report; 0 if the leader may grant nothing now.
	Number uint64
	// Version identifies the list of units. Units is nil if the request has the same version, and the list is that of the VM's
	// last grant.
	Version uint64
	Units   []Unit
	// Part is the VM's part of the budget.
	Part float64
}
