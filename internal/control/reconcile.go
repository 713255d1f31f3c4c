package control

import (
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/record"
)

// reconcileOverrides appends overrides to the log once it is available again. A committed override is appended by the
// lessor of the new owner. For an override that this VM accepted but has not seen decided, the lessor of the owner in
// the log first revokes the slot from that target.
func (n *Node) reconcileOverrides() {
	if !n.logUp || len(n.overrides) == 0 {
		return
	}
	committed := map[model.TargetID][]record.Move{}
	for _, slot := range sortedSlots(n.overrides) {
		known := n.activeOverride(slot)
		if known == nil {
			continue
		}
		move := record.Move{Slot: slot, BaseEpoch: known.Base, To: known.To}
		if known.Committed {
			committed[known.To] = append(committed[known.To], move)
		} else {
			n.reconcileUndecided(move)
		}
	}
	for _, id := range sortedKeys(committed) {
		state, ok := n.targets[id]
		if ok && state.acting && state.takeover == nil && !n.outbox.has(reconcilePurpose(id)) {
			n.reassign(state.config.Zone, reconcilePurpose(id), record.EvidenceLeaseExpired, committed[id])
		}
	}
}

// reconcileUndecided revokes the slot from its owner in the log, provided that this VM holds that target's lease, and
// then moves it to the target of the override. Only these two targets can hold the slot.
func (n *Node) reconcileUndecided(move record.Move) {
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

func reconcilePurpose(id model.TargetID) string { return "reconcile " + string(id) }
