package control

import (
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/assign"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/record"
)

// logSilence is the time without an answer from the log after which it counts as down.
const logSilence = 3 * time.Second

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

func (n *Node) onLogDown() {
	if n.now.Sub(n.logSeenAt) >= logSilence {
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

// foldEntries feeds a stream and reacts to the records that took effect.
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
		// A member that has just joined gets the full time until it counts as unresponsive.
		n.detector.Heard(r.MemberJoin.Member.VM, n.now)
	case r.MemberRemove != nil:
		n.onCellChange(r.MemberRemove.Cell)
	case r.VMGone != nil:
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

// onCellChange voids all that rests on the old cell epoch: statements, takeovers and stops.
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
		state.keeper.Hurry(n.now)
	}
}

func (n *Node) onReassign(reassign record.Reassign) {
	for _, move := range reassign.Moves {
		delete(n.requestedAt, move.Slot)
		if state, ok := n.targets[move.To]; ok {
			state.keeper.Hurry(n.now)
		}
	}
	for _, state := range n.targets {
		dropMoved(state, reassign.Moves)
	}
	if reassign.Evidence == record.EvidenceLapsed || reassign.Evidence == record.EvidenceGone {
		n.emit(Notice{Kind: NoticeTakeover, Count: len(reassign.Moves), Evidence: reassign.Evidence})
	}
	for _, state := range n.targets {
		n.releaseIfEmptied(state)
	}
}

// dropMoved ends the planned moves of slots that have been moved. Most targets have none.
func dropMoved(state *targetState, moved []record.Move) {
	if len(state.moves) == 0 {
		return
	}
	for _, move := range moved {
		delete(state.moves, move.Slot)
	}
}

// releaseIfEmptied ends a takeover, and a stop stated for it, once the target owns no slots any more.
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

// snapshot appends a snapshot of each stream when half of the retention has passed since the last one. A process that has
// not seen one being appended cannot know its age and takes a new one: the records would expire if each planner waited
// from its own start.
func (n *Node) snapshot() {
	if n.settings.Retention <= 0 || !n.isPlanner() {
		return
	}
	for _, name := range []record.Stream{record.AssignStream, record.ConfigStream} {
		s := n.streams[name]
		taken, known := n.snapshotAt[name]
		recent := known && n.now.Sub(taken) < n.settings.Retention/2
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
