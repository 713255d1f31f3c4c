package control

import (
	"maps"

	"github.com/tarragonpoint/tarragonpoint/internal/config"
	"github.com/tarragonpoint/tarragonpoint/internal/lease"
	"github.com/tarragonpoint/tarragonpoint/internal/message"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/record"
)

// override is an override that this VM accepted. While it is not committed nobody is granted the slot.
type override struct {
	message.Override
	// replaced is the committed override that this one replaces; it is restored if this one is aborted.
	replaced   *message.Override
	remindedAt model.Instant
}

// proposal is this VM's own proposal of overrides. It is committed when every VM that may renew leases in the cell has
// accepted it, which makes the new owners as certain as a record in the log: whoever may act for the slots knows them.
type proposal struct {
	id       message.OverrideID
	epoch    model.Offset
	moves    []record.Move
	accepted map[model.VMID]bool
	askedAt  model.Instant
}

// activeOverride returns the override of a slot, if the log still has the slot at the override's base.
func (n *Node) activeOverride(slot model.Slot) *override {
	known, ok := n.overrides[slot]
	if !ok || n.assign.state.Slots[slot].Epoch != known.Base {
		return nil
	}
	return known
}

// ownerOf returns the owner of a slot with overrides applied; "" while nobody may be granted the slot.
func (n *Node) ownerOf(slot model.Slot) model.TargetID {
	known := n.activeOverride(slot)
	switch {
	case known == nil:
		return n.hintedOwner(slot)
	case known.Committed:
		return known.To
	default:
		return ""
	}
}

// hintedOwner returns the owner from the log, or from an override that a lessor reported. Reports serve for routing: the
// target decides whether it serves.
func (n *Node) hintedOwner(slot model.Slot) model.TargetID {
	ownership := n.assign.state.Slots[slot]
	hint, ok := n.hints[slot]
	if ok && hint.Base == ownership.Epoch && n.now.Sub(hint.at) < statusLife {
		return hint.To
	}
	return ownership.Owner
}

// overrideHint is a committed override as the lessor of its target reported it.
type overrideHint struct {
	message.Override
	at model.Instant
}

// slotsOf returns the slots that a target may be granted, with overrides applied, in order.
func (n *Node) slotsOf(id model.TargetID) []model.Slot {
	var slots []model.Slot
	for _, slot := range n.assign.state.Owned(id) {
		if n.activeOverride(slot) == nil {
			slots = append(slots, slot)
		}
	}
	for _, slot := range sortedSlots(n.overrides) {
		if known := n.activeOverride(slot); known != nil && known.Committed && known.To == id {
			slots = append(slots, slot)
		}
	}
	return slots
}

// slotsToRescue returns the slots of a target that need a new owner when it is lost. Those whose override is not decided
// count for their owner in the log.
func (n *Node) slotsToRescue(id model.TargetID) []model.Slot {
	slots := n.slotsOf(id)
	for _, slot := range n.assign.state.Owned(id) {
		if known := n.activeOverride(slot); known != nil && !known.Committed {
			slots = append(slots, slot)
		}
	}
	return slots
}

// learnOverride adds an override that another member knows. A committed one wins over one that is not.
func (n *Node) learnOverride(received message.Override) {
	known, ok := n.overrides[received.Slot]
	if ok && known.Base >= received.Base && (known.Committed || !received.Committed) {
		return
	}
	n.overrides[received.Slot] = &override{Override: received, remindedAt: n.now}
	n.touchSlots()
}

// touchSlots makes grants and routes be computed again.
func (n *Node) touchSlots() {
	n.dirty = true
	n.ownersChanged = true
	for _, state := range n.targets {
		state.grantsAt = 0
	}
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
	n.askAccept(state)
	for _, vm := range n.mayRenew(state.config.Zone) {
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

func (n *Node) askAccept(state *targetState) {
	asked := state.proposal
	if asked.askedAt != 0 && n.now.Sub(asked.askedAt) < askInterval {
		return
	}
	asked.askedAt = n.now
	prepare := message.OverridePrepare{
		ID:        asked.id,
		Cell:      state.config.Zone,
		CellEpoch: asked.epoch,
		From:      state.id,
		Moves:     asked.moves,
	}
	for _, vm := range n.mayRenew(state.config.Zone) {
		if !asked.accepted[vm] {
			n.send(vm, message.Message{OverridePrepare: &prepare})
		}
	}
}

// accept notes overrides that are not decided yet.
func (n *Node) accept(id message.OverrideID, moves []record.Move) {
	for _, move := range moves {
		accepted := &override{
			Override:   message.Override{ID: id, Slot: move.Slot, Base: move.BaseEpoch, To: move.To},
			remindedAt: n.now,
		}
		if known := n.activeOverride(move.Slot); known != nil && known.Committed {
			accepted.replaced = &known.Override
		}
		n.overrides[move.Slot] = accepted
	}
	n.touchSlots()
}

// onOverridePrepare accepts overrides if this VM has stated to the proposer that it does not renew the lost target's lease,
// and if neither a record of its own nor another proposal may give the slots to somebody else.
func (n *Node) onOverridePrepare(from model.VMID, prepare message.OverridePrepare) {
	state, known := n.targets[prepare.From]
	if !known || n.assign.state.CellEpoch(prepare.Cell) != prepare.CellEpoch || !n.isMember(prepare.Cell) {
		return
	}
	if state.stopFor == nil || state.stopFor.asker != from || state.stopFor.epoch != prepare.CellEpoch {
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
	for _, vm := range n.mayRenew(state.config.Zone) {
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
	for _, vm := range n.mayRenew(state.config.Zone) {
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
			n.hurry(known.To)
		case known.replaced != nil:
			n.overrides[slot] = &override{Override: *known.replaced}
		default:
			delete(n.overrides, slot)
		}
	}
	n.touchSlots()
}

func (n *Node) hurry(id model.TargetID) {
	if state, ok := n.targets[id]; ok {
		state.keeper.Hurry(n.now)
		n.pendingStats[id] = true
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

// maintainOverrides drops overrides that the log has superseded and asks the proposers of undecided ones.
func (n *Node) maintainOverrides() {
	for _, slot := range sortedSlots(n.overrides) {
		known := n.overrides[slot]
		if n.assign.state.Slots[slot].Epoch > known.Base {
			delete(n.overrides, slot)
			n.touchSlots()
			continue
		}
		if !known.Committed && n.now.Sub(known.remindedAt) >= remindInterval {
			known.remindedAt = n.now
			n.send(known.ID.Proposer, message.Message{OverrideQuery: &message.OverrideQuery{ID: known.ID}})
		}
	}
	hints := len(n.hints)
	maps.DeleteFunc(n.hints, func(_ model.Slot, hint overrideHint) bool { return n.now.Sub(hint.at) >= statusLife })
	n.ownersChanged = n.ownersChanged || len(n.hints) != hints
}

// settleOverrides brings overrides into the log once it is back: committed ones at the lessor of the new owner. For one
// that was never decided here, the lessor of the owner in the log takes the slot from that target first.
func (n *Node) settleOverrides() {
	if !n.logUp || len(n.overrides) == 0 {
		return
	}
	settled := map[model.TargetID][]record.Move{}
	for _, slot := range sortedSlots(n.overrides) {
		known := n.activeOverride(slot)
		if known == nil {
			continue
		}
		move := record.Move{Slot: slot, BaseEpoch: known.Base, To: known.To}
		if known.Committed {
			settled[known.To] = append(settled[known.To], move)
		} else {
			n.settleUndecided(move)
		}
	}
	for _, id := range sortedKeys(settled) {
		state, ok := n.targets[id]
		if ok && state.acting && state.takeover == nil && !n.outbox.has(settlePurpose(id)) {
			n.reassign(state.config.Zone, settlePurpose(id), record.EvidenceLapsed, settled[id])
		}
	}
}

// settleUndecided revokes the slot from its owner in the log, which answers, and then moves it to where the override
// would have sent it. Either of the two may hold it, and nobody else.
func (n *Node) settleUndecided(move record.Move) {
	state, ok := n.targets[n.assign.state.Slots[move.Slot].Owner]
	if !ok || !state.acting || state.takeover != nil {
		return
	}
	if _, holding := state.keeper.Holding(n.now); !holding {
		return
	}
	if _, moving := state.moves[move.Slot]; !moving {
		state.moves[move.Slot] = &slotMove{move: move}
		state.grantsAt = 0
	}
}

func settlePurpose(id model.TargetID) string { return "settle " + string(id) }

// committedTo returns the committed overrides in favor of a target.
func (n *Node) committedTo(id model.TargetID) []message.Override {
	var overrides []message.Override
	for _, slot := range sortedSlots(n.overrides) {
		if known := n.activeOverride(slot); known != nil && known.Committed && known.To == id {
			overrides = append(overrides, known.Override)
		}
	}
	return overrides
}

// isLost reports whether a target cannot serve its slots: it does not answer, or it restarted while the log is down, so
// that its new incarnation cannot be registered, and the lease of the old one has run out.
func (n *Node) isLost(state *targetState) bool {
	if state.keeper.Failures() >= suspectFailures {
		return true
	}
	incarnation, firstSeen := state.keeper.Incarnation()
	registered := n.assign.state.Incarnations[state.id]
	return !n.logUp && incarnation != 0 && incarnation != registered && n.now.Sub(firstSeen) >= lease.Bound
}
