package control

import (
	"github.com/tarragonpoint/tarragonpoint/internal/config"
	"github.com/tarragonpoint/tarragonpoint/internal/lease"
	"github.com/tarragonpoint/tarragonpoint/internal/message"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/record"
)

// proposal is a set of overrides proposed by this VM. It is committed when every VM that may renew leases in the cell
// has accepted it. The new owners are then as certain as with a record in the log, because every VM that may act for
// the slots knows them.
type proposal struct {
	id         message.OverrideID
	epoch      model.Offset
	moves      []record.Move
	accepted   map[model.VMID]bool
	preparedAt model.Instant
}

// isFailed reports whether a target cannot serve its slots. Either it is unresponsive, or it restarted while the log is
// down, so that its new incarnation cannot be registered, and the lease of the old incarnation has expired.
func (n *Node) isFailed(state *targetState) bool {
	if state.keeper.Failures() >= suspectFailures {
		return true
	}
	incarnation, firstSeen := state.keeper.Incarnation()
	registered := n.assign.state.Incarnations[state.id]
	return !n.logUp && incarnation != 0 && incarnation != registered && n.now.Sub(firstSeen) >= lease.Bound
}

// failOver proposes new owners within the cell for the slots of a failed target while the log is down. The caller must
// have verified that no VM renews the target's lease and that the lease has expired.
func (n *Node) failOver(state *targetState) {
	if state.proposal == nil {
		n.propose(state)
	}
	if state.proposal == nil {
		return
	}
	n.sendPrepares(state)
	for _, vm := range n.possibleRenewers(state.config.Zone) {
		if !state.proposal.accepted[vm] {
			return
		}
	}
	n.commit(state)
}

func (n *Node) propose(state *targetState) {
	moves := n.localDestinations(state)
	if len(moves) == 0 {
		return
	}
	n.sequence++
	state.proposal = &proposal{
		id:       message.OverrideID{Proposer: n.settings.VM, Sequence: n.sequence},
		epoch:    n.assign.state.CellEpoch(state.config.Zone),
		moves:    moves,
		accepted: map[model.VMID]bool{},
	}
	n.accept(state.proposal.id, moves)
}

// localDestinations returns moves of a failed target's slots to targets of the same cell. If a pending record may still
// move a slot, the slot goes where that record sends it, or is left out if that is in another cell.
func (n *Node) localDestinations(state *targetState) []record.Move {
	planned := n.destinations(state.id, func(candidate config.Target) bool {
		registered := n.assign.state.Incarnations[candidate.ID]
		status := n.currentStatus(candidate.ID)
		return candidate.Zone == state.config.Zone && status != nil && status.Incarnation == registered
	})
	var moves []record.Move
	for _, move := range planned {
		if to, pending := n.outbox.destination(move.Slot); pending {
			if n.config.State().Targets[to].Zone != state.config.Zone {
				continue
			}
			move.To = to
		}
		if known := n.activeOverride(move.Slot); known == nil || known.Committed {
			moves = append(moves, move)
		}
	}
	return moves[:min(len(moves), maxMovesPerRecord)]
}

func (n *Node) sendPrepares(state *targetState) {
	proposed := state.proposal
	if proposed.preparedAt != 0 && n.now.Sub(proposed.preparedAt) < queryInterval {
		return
	}
	proposed.preparedAt = n.now
	prepare := message.OverridePrepare{
		ID:        proposed.id,
		Cell:      state.config.Zone,
		CellEpoch: proposed.epoch,
		From:      state.id,
		Moves:     proposed.moves,
	}
	for _, vm := range n.possibleRenewers(state.config.Zone) {
		if !proposed.accepted[vm] {
			n.send(vm, message.Message{OverridePrepare: &prepare})
		}
	}
}

// accept records overrides that are not decided yet.
func (n *Node) accept(id message.OverrideID, moves []record.Move) {
	for _, move := range moves {
		accepted := &override{
			Override:  message.Override{ID: id, Slot: move.Slot, Base: move.BaseEpoch, To: move.To},
			queriedAt: n.now,
		}
		if known := n.activeOverride(move.Slot); known != nil && known.Committed {
			accepted.replaced = &known.Override
		}
		n.overrides[move.Slot] = accepted
	}
	n.invalidateSlots()
}

// onOverridePrepare accepts overrides if this VM has stated to the proposer that it does not renew the failed target's
// lease, and if neither a pending record of its own nor another proposal may give the slots to a different target.
func (n *Node) onOverridePrepare(from model.VMID, prepare message.OverridePrepare) {
	state, known := n.targets[prepare.From]
	if !known || n.assign.state.CellEpoch(prepare.Cell) != prepare.CellEpoch || !n.isMember(prepare.Cell) {
		return
	}
	if commitment, stated := state.stopCommitments[from]; !stated || commitment.epoch != prepare.CellEpoch {
		return
	}
	for _, move := range prepare.Moves {
		if !n.mayAccept(prepare.ID, move) {
			return
		}
	}
	if first := n.overrides[prepare.Moves[0].Slot]; first == nil || first.ID != prepare.ID {
		n.accept(prepare.ID, prepare.Moves)
	}
	n.send(from, message.Message{OverrideAccept: &message.OverrideAccept{ID: prepare.ID}})
}

func (n *Node) mayAccept(id message.OverrideID, move record.Move) bool {
	if n.assign.state.Slots[move.Slot].Epoch != move.BaseEpoch {
		return false
	}
	if to, pending := n.outbox.destination(move.Slot); pending && to != move.To {
		return false
	}
	known := n.activeOverride(move.Slot)
	return known == nil || known.Committed || known.ID == id
}

func (n *Node) onOverrideAccept(from model.VMID, accept message.OverrideAccept) {
	for _, state := range n.targets {
		if state.proposal != nil && state.proposal.id == accept.ID {
			state.proposal.accepted[from] = true
		}
	}
}

func (n *Node) commit(state *targetState) {
	id := state.proposal.id
	n.decisions[id] = true
	n.decide(id, true)
	for _, vm := range n.possibleRenewers(state.config.Zone) {
		n.send(vm, message.Message{OverrideDecision: &message.OverrideDecision{ID: id, Committed: true}})
	}
	n.emit(Notice{Kind: NoticeFailedOver, Target: state.id, Count: len(state.proposal.moves)})
	state.proposal = nil
}

// abortProposal withdraws a proposal that is not committed. Members that accepted it are notified; if the message is
// lost, they learn the decision from their periodic query.
func (n *Node) abortProposal(state *targetState) {
	if state.proposal == nil {
		return
	}
	id := state.proposal.id
	n.decisions[id] = false
	n.decide(id, false)
	for _, vm := range n.possibleRenewers(state.config.Zone) {
		n.send(vm, message.Message{OverrideDecision: &message.OverrideDecision{ID: id}})
	}
	state.proposal = nil
}

// decide applies a commit or abort decision to accepted overrides.
func (n *Node) decide(id message.OverrideID, committed bool) {
	for _, slot := range sortedSlots(n.overrides) {
		known := n.overrides[slot]
		if known.ID != id || known.Committed {
			continue
		}
		switch {
		case committed:
			known.Committed = true
			known.replaced = nil
			n.renewSoon(known.To)
		case known.replaced != nil:
			n.overrides[slot] = &override{Override: *known.replaced}
		default:
			delete(n.overrides, slot)
		}
	}
	n.invalidateSlots()
}

func (n *Node) renewSoon(id model.TargetID) {
	if state, ok := n.targets[id]; ok {
		state.keeper.RenewNow(n.now)
		n.pendingStatuses[id] = true
	}
}

func (n *Node) onOverrideDecision(from model.VMID, decision message.OverrideDecision) {
	if decision.ID.Proposer == from {
		n.decide(decision.ID, decision.Committed)
	}
}

func (n *Node) onOverrideQuery(from model.VMID, query message.OverrideQuery) {
	if committed, decided := n.decisions[query.ID]; decided {
		decision := message.OverrideDecision{ID: query.ID, Committed: committed}
		n.send(from, message.Message{OverrideDecision: &decision})
	}
}
