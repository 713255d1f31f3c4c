package control

import (
	"slices"
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/lease"
	"github.com/tarragonpoint/tarragonpoint/internal/message"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

// syncInterval is the minimum time between two queries to members that have not replied.
const syncInterval = 200 * time.Millisecond

// cellSync collects the overrides known to the other members of a cell. A process that joined must not act as a lessor
// before this is complete, because an override that it does not know may have given a slot to another target.
type cellSync struct {
	done      bool
	epoch     model.Offset
	began     model.Instant
	queriedAt model.Instant
	// repliedAt is when the last reply arrived.
	repliedAt model.Instant
	replied   map[model.VMID]bool
	// hasLessors is true if another member may act as a lessor, so that the cell's targets may already have one.
	hasLessors bool
}

// isSynced reports whether this process may act as a lessor in a cell that it is a member of.
func (n *Node) isSynced(zone model.Zone) bool {
	s, ok := n.syncs[zone]
	return ok && s.done
}

// syncCells queries the other members of newly joined cells for their overrides. A completed synchronization stays
// valid after a removal and rejoin: no override was committed in between without the acceptance of this process,
// because a commit needs that of removed members too.
func (n *Node) syncCells() {
	for _, zone := range sortedKeys(n.assign.state.Cells) {
		if !n.isMember(zone) || n.isSynced(zone) {
			continue
		}
		n.syncCell(zone)
	}
}

func (n *Node) syncCell(zone model.Zone) {
	s, known := n.syncs[zone]
	if !known {
		s = &cellSync{epoch: n.assign.state.CellEpoch(zone), began: n.now, replied: map[model.VMID]bool{}}
		n.syncs[zone] = s
	}
	missing := slices.DeleteFunc(n.possibleRenewers(zone), func(vm model.VMID) bool { return s.replied[vm] })
	if len(missing) == 0 && n.knowsLessors(zone, s) && n.forgottenLeasesEnded(zone, s) {
		s.done = true
		n.dirty = true
		n.heartbeatAt = 0
		return
	}
	if s.queriedAt != 0 && n.now.Sub(s.queriedAt) < syncInterval {
		return
	}
	s.queriedAt = n.now
	for _, vm := range missing {
		n.send(vm, message.Message{SyncQuery: &message.SyncQuery{Cell: zone, CellEpoch: s.epoch}})
	}
}

// forgottenLeasesEnded reports whether no target of a cell can hold a lease under an override that all members forgot. If
// no other member knows the overrides of the cell, all processes that knew them may have ended just now. The owners in
// the log count again then, but only once every lease that those processes renewed has expired.
func (n *Node) forgottenLeasesEnded(zone model.Zone, s *cellSync) bool {
	if s.hasLessors || n.now >= max(s.began, s.repliedAt).Add(lease.Bound) {
		return true
	}
	for id, state := range n.targets {
		if state.config.Zone == zone && n.assign.state.OwnedCount(id) > 0 {
			return false
		}
	}
	return true
}

// knowsLessors reports whether this process knows the acting lessors of a cell's targets, or need not wait for them. A
// process that knew none would take targets over by rank without their at-most-once tables.
func (n *Node) knowsLessors(zone model.Zone, s *cellSync) bool {
	if !s.hasLessors || n.now.Sub(s.began) >= lessorStatusTTL {
		return true
	}
	for id, state := range n.targets {
		if _, known := n.statuses[id]; !known && state.config.Zone == zone {
			return false
		}
	}
	return true
}

// onSyncQuery replies only after this VM has folded the sender's join. From then on this VM accepts no override of an
// older cell epoch, so the reply contains all of them.
func (n *Node) onSyncQuery(from model.VMID, query message.SyncQuery) {
	if n.assign.state.CellEpoch(query.Cell) < query.CellEpoch {
		return
	}
	reply := message.SyncReply{Cell: query.Cell, CellEpoch: query.CellEpoch, Synced: n.isSynced(query.Cell)}
	for _, slot := range sortedSlots(n.overrides) {
		reply.Overrides = append(reply.Overrides, n.overrides[slot].Override)
	}
	n.send(from, message.Message{SyncReply: &reply})
}

func (n *Node) onSyncReply(from model.VMID, reply message.SyncReply) {
	s, known := n.syncs[reply.Cell]
	if !known || s.done || s.epoch != reply.CellEpoch {
		return
	}
	s.replied[from] = true
	s.repliedAt = n.now
	s.hasLessors = s.hasLessors || reply.Synced
	for _, known := range reply.Overrides {
		n.learnOverride(known)
	}
}

// syncedCells returns the cells in which this process may act as a lessor.
func (n *Node) syncedCells() []model.Zone {
	var zones []model.Zone
	for _, zone := range sortedKeys(n.syncs) {
		if n.isSynced(zone) && n.isMember(zone) {
			zones = append(zones, zone)
		}
	}
	return zones
}

// mayActAsLessor reports whether a member of a cell can act as a lessor: it must be alive and must not have reported
// that it is still collecting overrides.
func (n *Node) mayActAsLessor(vm model.VMID, zone model.Zone) bool {
	if vm == n.settings.VM {
		return n.isSynced(zone)
	}
	if !n.isAlive(vm) {
		return false
	}
	p, known := n.peers[vm]
	return !known || slices.Contains(p.heartbeat.Synced, zone)
}
