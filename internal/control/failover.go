package control

import (
	"github.com/tarragonpoint/tarragonpoint/internal/config"
	"github.com/tarragonpoint/tarragonpoint/internal/lease"
	"github.com/tarragonpoint/tarragonpoint/internal/message"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/record"
)

// proposal is this VM's own proposal of overrides. It is committed when every VM that may renew leases in the cell has
// accepted it, which makes the new owners as certain as a record in the log: whoever may act for the slots knows them.
type proposal struct {
	id         message.OverrideID
	epoch      model.Offset
	moves      []record.Move
	accepted   map[model.VMID]bool
	preparedAt model.Instant
}

// isFailed reports whether a target cannot serve its slots: it does not answer, or it restarted while the log is down, so
// that its new incarnation cannot be registered, and the lease of the old one has run out.
func (n *Node) isFailed(state *targetState) bool {
	if state.keeper.Failures() >= suspectFailures {
		return true
	}
	incarnation, firstSeen := state.keeper.Incarnation()
	registered := n.assign.state.Incarnations[state.id]
	return !n.logUp && incarnation != 0 && incarnation != registered && n.now.Sub(firstSeen) >= lease.Bound
}

// failOver proposes new owners inside the cell for the slots of a lost target while the log is down. The caller has made
// sure that nobody renews the target's lease and that it has run out.
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

// localDestinations returns moves of a lost target's slots to targets of the same cell. A slot that a record under way may
// still move goes where the record sends it, or stays.
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
	asked := state.proposal
	if asked.preparedAt != 0 && n.now.Sub(asked.preparedAt) < queryInterval {
		return
	}
	asked.preparedAt = n.now
	prepare := message.OverridePrepare{
		ID:        asked.id,
		Cell:      state.config.Zone,
		CellEpoch: asked.epoch,
		From:      state.id,
		Moves:     asked.moves,
	}
	for _, vm := range n.possibleRenewers(state.config.Zone) {
		if !asked.accepted[vm] {
			n.send(vm, message.Message{OverridePrepare: &prepare})
		}
	}
}

// accept notes overrides that are not decided yet.
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

// onOverridePrepare accepts overrides if this VM has stated to the proposer that it does not renew the lost target's lease,
// and if neither a record of its own nor another proposal may give the slots to somebody else.
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

// abortProposal withdraws a proposal that is not committed. Members that accepted it learn so when they ask.
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

// decide carries out a decision on accepted overrides.
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
		state.keeper.Hurry(n.now)
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
