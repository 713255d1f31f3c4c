package control

import (
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/assign"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/record"
)

// logDownAfter is the time without a response from the log after which the log counts as down.
const logDownAfter = 3 * time.Second

func (n *Node) onLogRead(read LogRead) {
	n.setLogUp(true)
	s := n.streams[read.Stream]
	if read.End > 0 {
		s.end = max(s.end, read.End-1)
	}
	n.foldEntries(s, read.Entries)
	if read.End > 0 && s.fold.Offset()+1 >= read.End {
		s.synced = true
	}
}

func (n *Node) onLogDown(down LogDown) {
	if down.Stream == record.AssignStream {
		n.appendedBy = 0
	}
	if n.now.Sub(n.logSeenAt) >= logDownAfter {
		n.setLogUp(false)
	}
}

func (n *Node) setLogUp(up bool) {
	if up {
		n.logSeenAt = n.now
	}
	if n.logUp == up {
		return
	}
	n.logUp = up
	if up {
		n.emit(Notice{Kind: NoticeLogUp})
	} else {
		n.emit(Notice{Kind: NoticeLogDown})
	}
}

func (n *Node) onAppendDone(done AppendDone) {
	if done.Stream == record.AssignStream {
		n.onAssignAppend(done.OK)
	}
	item, ok := n.outbox.items[done.ID]
	if !ok {
		return
	}
	if done.OK {
		n.setLogUp(true)
		return
	}
	item.sentAt = n.now
}

// foldEntries folds entries of a stream and reacts to the records that took effect.
func (n *Node) foldEntries(s *stream, entries []record.Entry) {
	before := s.fold.Offset()
	for _, entry := range s.ingest(entries) {
		n.outbox.drop(entry.Record.ID)
		if s.synced && entry.Record.Snapshot != nil {
			n.snapshotAt[s.name] = n.now
		}
		if s.name == record.AssignStream {
			n.onAssign(entry, n.assign.popVerdict(entry.Offset))
		}
	}
	if s.fold.Offset() != before {
		n.afterFold(s)
	}
}

func (n *Node) loadSnapshot(s *stream, snapshot record.Snapshot) {
	if s.load(snapshot) {
		for zone := range n.assign.state.Cells {
			n.cellChanged[zone] = n.now
		}
		n.afterFold(s)
	}
}

func (n *Node) afterFold(s *stream) {
	n.dirty = true
	if s.name == record.ConfigStream {
		n.onConfig()
		return
	}
	for _, state := range n.targets {
		state.grantsAt = 0
	}
}

func (n *Node) onAssign(entry record.Entry, verdict assign.Verdict) {
	if verdict != assign.Applied {
		return
	}
	r := entry.Record
	switch {
	case r.MemberJoin != nil:
		n.onCellChange(r.MemberJoin.Cell)
		// A new member counts as unresponsive only after the full time without a heartbeat.
		n.detector.RecordHeartbeat(r.MemberJoin.Member.VM, n.now)
	case r.MemberRemove != nil:
		n.onCellChange(r.MemberRemove.Cell)
	case r.VMTerminated != nil:
		for zone, c := range n.assign.state.Cells {
			if c.Epoch == entry.Offset {
				n.onCellChange(zone)
			}
		}
	case r.TargetUp != nil && n.streams[record.AssignStream].synced:
		n.emit(Notice{Kind: NoticeTargetUp, Target: r.TargetUp.Target})
	case r.Reassign != nil:
		n.onReassign(*r.Reassign)
	}
}

// onCellChange discards everything that is valid only for the old cell epoch: takeovers, proposals and stop
// commitments.
func (n *Node) onCellChange(zone model.Zone) {
	n.cellChanged[zone] = n.now
	for _, id := range n.targetIDs {
		state := n.targets[id]
		if n.zoneOf(id) != zone {
			continue
		}
		n.abortProposal(state)
		state.takeover = nil
		state.stopCommitments = nil
		state.exclusive = nil
		state.keeper.Resume()
		state.keeper.RenewNow(n.now)
	}
}

func (n *Node) onReassign(reassign record.Reassign) {
	for _, move := range reassign.Moves {
		delete(n.requestedAt, move.Slot)
		if state, ok := n.targets[move.To]; ok {
			state.keeper.RenewNow(n.now)
		}
	}
	for _, state := range n.targets {
		dropMoved(state, reassign.Moves)
	}
	if reassign.Evidence == record.EvidenceLeaseExpired || reassign.Evidence == record.EvidenceVMTerminated {
		n.emit(Notice{Kind: NoticeTakeover, Count: len(reassign.Moves), Evidence: reassign.Evidence})
	}
	for _, state := range n.targets {
		n.releaseIfEmptied(state)
	}
}

// dropMoved removes the planned moves of slots that a record has moved. Most targets have no planned moves.
func dropMoved(state *targetState, moved []record.Move) {
	if len(state.moves) == 0 {
		return
	}
	for _, move := range moved {
		delete(state.moves, move.Slot)
	}
}

// releaseIfEmptied ends a takeover of a target, and this VM's stop commitments for it, once the target owns no slots.
func (n *Node) releaseIfEmptied(state *targetState) {
	if n.hasSlotsToReassign(state.id) {
		return
	}
	if state.takeover != nil || len(state.stopCommitments) > 0 {
		state.takeover = nil
		state.stopCommitments = nil
		state.keeper.Resume()
	}
}

// snapshot appends a snapshot of each stream when half of the retention has passed since the last one. A process that
// has not seen the last snapshot being appended does not know its age and takes a new one. If each new planner waited
// half of the retention from its own start instead, records could expire before they are covered by a snapshot.
func (n *Node) snapshot() {
	if n.settings.Retention <= 0 || !n.isPlanner() {
		return
	}
	for _, name := range []record.Stream{record.AssignStream, record.ConfigStream} {
		s := n.streams[name]
		takenAt, known := n.snapshotAt[name]
		recent := known && n.now.Sub(takenAt) < n.settings.Retention/2
		if recent || !s.synced || s.fold.Offset() == 0 {
			continue
		}
		state, err := s.fold.Snapshot()
		if err != nil {
			continue
		}
		never := func() bool { return false }
		if n.submit(name, "snapshot "+string(name), record.Record{Snapshot: &state}, never) {
			n.snapshotAt[name] = n.now
		}
	}
}
