// Package cell detects silent members of a cell by their heartbeats and ranks members as lessors of targets.
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
	// SuspectAfter is the silence after which a member is suspected; it allows for two lost heartbeats. A lease may have
	// only 0.95 s left when its lessor is lost: a renewal rests on the reading of the renewal before, and the next one was
	// about to be sent. The next lessor needs two round trips within that time.
	SuspectAfter = 800 * time.Millisecond
	// RemoveAfter is the silence after which a suspected member is removed from the cell.
	RemoveAfter = 2 * time.Second
)

// Detector keeps the time of the last heartbeat of each VM.
type Detector struct {
	heard map[model.VMID]model.Instant
}

// NewDetector returns a detector that has heard of nobody.
func NewDetector() *Detector {
	return &Detector{heard: map[model.VMID]model.Instant{}}
}

// RecordHeartbeat notes a heartbeat.
func (d *Detector) RecordHeartbeat(vm model.VMID, now model.Instant) { d.heard[vm] = now }

// RecordLeave notes that a VM said that it stops: it is suspected at once, and removed if it does not leave its cells itself.
func (d *Detector) RecordLeave(vm model.VMID, now model.Instant) {
	d.heard[vm] = now.Add(-SuspectAfter)
}

// Expect starts the silence of a VM that was never heard, so that it is suspected if it stays silent.
func (d *Detector) Expect(vm model.VMID, now model.Instant) {
	if _, known := d.heard[vm]; !known {
		d.heard[vm] = now
	}
}

// SinceHeartbeat returns for how long a VM has not been heard. A VM that is not known counts as silent forever.
func (d *Detector) SinceHeartbeat(vm model.VMID, now model.Instant) time.Duration {
	heard, known := d.heard[vm]
	if !known {
		return time.Duration(now) + RemoveAfter
	}
	return now.Sub(heard)
}

// IsSuspected reports whether a VM has been silent for SuspectAfter.
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
