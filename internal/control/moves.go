package control

import (
	"github.com/tarragonpoint/tarragonpoint/internal/lease"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/record"
	"github.com/tarragonpoint/tarragonpoint/internal/target"
)

// slotMove is a planned move of one slot away from a target of which this VM is the lessor.
type slotMove struct {
	move record.Move
	// revoked is true once the target acknowledged the revocation and no request for the slot is running any more.
	revoked bool
	// revokedBy is the incarnation that acknowledged the revocation.
	revokedBy model.Incarnation
	// sentSequence is the sequence number of the last revocation that named the slot.
	sentSequence uint64
}

// startMoves starts requested moves, or holds them until the log is known to accept records. Moves that are not possible
// now are dropped; the planner requests them again.
func (n *Node) startMoves(moves []record.Move) {
	accepting := n.logAccepts()
	for _, move := range moves {
		state, possible := n.canMove(move)
		switch {
		case !possible:
		case !accepting:
			n.heldMoves[move.Slot] = heldMove{move: move, since: n.now}
		default:
			state.moves[move.Slot] = &slotMove{move: move}
			state.grantsAt = 0
			n.dirty = true
		}
	}
}

// canMove returns the state of a slot's owner, and whether this VM may start to move the slot away from it now.
func (n *Node) canMove(move record.Move) (state *targetState, possible bool) {
	ownership, owned := n.assign.state.Slots[move.Slot]
	if !owned || ownership.Epoch != move.BaseEpoch || ownership.Owner == move.To || n.activeOverride(move.Slot) != nil {
		return nil, false
	}
	state, known := n.targets[ownership.Owner]
	if !known || !n.canRevoke(state) || !n.mayReceive(move) {
		return nil, false
	}
	_, moving := state.moves[move.Slot]
	return state, !moving
}

// canRevoke reports whether this VM may revoke slots of a target: it must hold the lease, and the target must have the
// newest grants, so that keys split from a slot are already excluded from that slot.
func (n *Node) canRevoke(state *targetState) bool {
	holding, ok := state.keeper.Holding(n.now)
	if !ok || !state.acting || n.leaving || state.takeover != nil || len(state.stopCommitments) > 0 {
		return false
	}
	n.refreshGrants(state)
	return holding.Version == state.grantsVersion || len(state.moves) > 0
}

// mayReceive reports whether the new owner of a move can accept the slot.
func (n *Node) mayReceive(move record.Move) bool {
	state := n.config.State()
	receiver, known := state.Targets[move.To]
	if !known || receiver.Drain || !n.isInService(state, receiver) {
		return false
	}
	if !move.Slot.Class.Allows(state.RegionOf(receiver.Zone)) {
		return false
	}
	status := n.currentStatus(move.To)
	return status != nil && status.Serving && !status.Draining
}

// runMoves advances the planned moves of each target: the slot is revoked first, then the move is appended to the log.
func (n *Node) runMoves() {
	n.probeForHeldMoves()
	for _, id := range n.targetIDs {
		state := n.targets[id]
		if len(state.moves) == 0 {
			continue
		}
		if !state.acting || state.keeper.Failures() >= suspectFailures {
			n.dropMoves(state)
			continue
		}
		n.dropObsoleteMoves(state)
		n.revoke(state)
		n.appendMoves(state)
	}
}

// dropMoves abandons moves that were not appended. Slots that the target already revoked get a new fence later, when
// the target's next response lists them.
func (n *Node) dropMoves(state *targetState) {
	if n.outbox.has(movePurpose(state.id)) {
		return
	}
	state.moves = map[model.Slot]*slotMove{}
	state.grantsAt = 0
	n.dirty = true
}

func (n *Node) dropObsoleteMoves(state *targetState) {
	incarnation, _ := state.keeper.Incarnation()
	for slot, moving := range state.moves {
		obsolete := n.assign.state.Slots[slot].Epoch != moving.move.BaseEpoch
		restarted := moving.revoked && moving.revokedBy != incarnation
		if obsolete || (restarted && !n.outbox.has(movePurpose(state.id))) {
			delete(state.moves, slot)
			state.grantsAt = 0
		}
	}
}

func (n *Node) revoke(state *targetState) {
	if state.revokeInFlight || n.now < state.revokeAt {
		return
	}
	slots := n.pendingSlots(state)
	if len(slots) == 0 {
		return
	}
	n.sequence++
	state.revokeSequence = n.sequence
	state.revokeInFlight = true
	for _, revoked := range slots {
		state.moves[revoked.Slot].sentSequence = n.sequence
	}
	n.emit(Revoke{
		Target:   state.id,
		Address:  state.config.Address,
		Sequence: state.revokeSequence,
		Request:  target.RevokeRequest{Lessor: n.settings.VM, Term: state.term, Slots: slots},
	})
}

func (n *Node) pendingSlots(state *targetState) []target.SlotFence {
	var slots []target.SlotFence
	for _, slot := range sortedSlots(state.moves) {
		if !state.moves[slot].revoked {
			fence := model.Fence(n.assign.state.Slots[slot].Epoch)
			slots = append(slots, target.SlotFence{Slot: slot, Fence: fence})
		}
	}
	return slots
}

func (n *Node) onRevokeDone(done RevokeDone) {
	state, known := n.targets[done.Target]
	if !known || state.revokeSequence != done.Sequence || !state.revokeInFlight {
		return
	}
	state.revokeInFlight = false
	state.revokeAt = n.now.Add(lease.RevokeInterval)
	incarnation, _ := state.keeper.Incarnation()
	if done.Response == nil || !done.Response.Accepted || done.Response.Running > 0 || done.Response.Incarnation != incarnation {
		return
	}
	for _, moving := range state.moves {
		if !moving.revoked && moving.sentSequence == done.Sequence {
			moving.revoked = true
			moving.revokedBy = incarnation
		}
	}
}

// appendMoves appends the revoked moves of a target in one record, at most maxMovesPerRecord of them.
func (n *Node) appendMoves(state *targetState) {
	if n.outbox.has(movePurpose(state.id)) {
		return
	}
	var moves []record.Move
	for _, slot := range sortedSlots(state.moves) {
		moving := state.moves[slot]
		if !moving.revoked || len(moves) == maxMovesPerRecord {
			continue
		}
		moves = append(moves, moving.move)
	}
	if len(moves) == 0 {
		return
	}
	if n.reassign(state.config.Zone, movePurpose(state.id), record.EvidenceRevoked, moves) {
		n.emit(Notice{Kind: NoticeMoved, Target: state.id, Count: len(moves)})
	}
}

func movePurpose(id model.TargetID) string { return "move " + string(id) }

// regrantRevoked assigns a new fence, with the same owner, to slots that a target refuses because an earlier lessor
// revoked them and did not finish the move.
func (n *Node) regrantRevoked(state *targetState) {
	if !state.acting || n.outbox.has(movePurpose(state.id)) {
		return
	}
	var moves []record.Move
	for _, slot := range state.keeper.Response().Revoked {
		ownership, owned := n.assign.state.Slots[slot]
		_, moving := state.moves[slot]
		if moving || !owned || ownership.Owner != state.id || n.activeOverride(slot) != nil {
			continue
		}
		moves = append(moves, record.Move{Slot: slot, BaseEpoch: ownership.Epoch, To: state.id})
	}
	if len(moves) > 0 {
		n.reassign(state.config.Zone, movePurpose(state.id), record.EvidenceRevoked, moves)
	}
}
