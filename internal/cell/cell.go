// Package cell detects unresponsive members of a cell by missing heartbeats and ranks members as lessors of targets. A
// cell is the set of entry VMs that may act as lessors of the targets of one zone, usually the entry VMs of that zone.
package cell

import (
	"sort"
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/record"
)

const (
	// HeartbeatInterval is the time between two heartbeats to the same peer.
	HeartbeatInterval = 250 * time.Millisecond
	// SuspectAfter is the time without a heartbeat after which a member is suspected; it allows for two lost heartbeats.
	// A lease may have only 0.95 s left when its lessor fails, because a renewal is based on the clock reading of the
	// previous renewal and the next one was about to be sent. The next lessor needs two round trips within that time.
	SuspectAfter = 800 * time.Millisecond
	// RemoveAfter is the time without a heartbeat after which a suspected member is removed from the cell.
	RemoveAfter = 2 * time.Second
)

// Detector keeps the time of the last heartbeat of each VM.
type Detector struct {
	lastHeartbeat map[model.VMID]model.Instant
}

// NewDetector returns a detector that knows of no VM.
func NewDetector() *Detector {
	return &Detector{lastHeartbeat: map[model.VMID]model.Instant{}}
}

// RecordHeartbeat records a heartbeat that was received at now.
func (d *Detector) RecordHeartbeat(vm model.VMID, now model.Instant) { d.lastHeartbeat[vm] = now }

// RecordLeave records that a VM announced its stop. The VM is suspected at once, and removed from its cells if it does
// not leave them itself.
func (d *Detector) RecordLeave(vm model.VMID, now model.Instant) {
	d.lastHeartbeat[vm] = now.Add(-SuspectAfter)
}

// Expect starts the timeout of a VM that has sent no heartbeat yet, so that it is suspected if none arrives.
func (d *Detector) Expect(vm model.VMID, now model.Instant) {
	if _, known := d.lastHeartbeat[vm]; !known {
		d.lastHeartbeat[vm] = now
	}
}

// SinceHeartbeat returns the time since the last heartbeat of a VM. For an unknown VM it is at least RemoveAfter.
func (d *Detector) SinceHeartbeat(vm model.VMID, now model.Instant) time.Duration {
	lastHeartbeat, known := d.lastHeartbeat[vm]
	if !known {
		return time.Duration(now) + RemoveAfter
	}
	return now.Sub(lastHeartbeat)
}

// IsSuspected reports whether no heartbeat of a VM has arrived for SuspectAfter, or the VM announced its stop.
func (d *Detector) IsSuspected(vm model.VMID, now model.Instant) bool {
	return d.SinceHeartbeat(vm, now) >= SuspectAfter
}

// Rank orders the members of a cell as lessors of a target by rendezvous hashing; the first renews its lease.
func Rank(target model.TargetID, members []record.Member) []model.VMID {
	type weighted struct {
		vm     model.VMID
		weight uint64
	}
	ranked := make([]weighted, 0, len(members))
	for _, member := range members {
		ranked = append(ranked, weighted{vm: member.VM, weight: model.RendezvousWeight(string(target), string(member.VM))})
	}
	sort.Slice(ranked, func(i, j int) bool {
		if ranked[i].weight != ranked[j].weight {
			return ranked[i].weight > ranked[j].weight
		}
		return ranked[i].vm < ranked[j].vm
	})
	vms := make([]model.VMID, 0, len(ranked))
	for _, entry := range ranked {
		vms = append(vms, entry.vm)
	}
	return vms
}
