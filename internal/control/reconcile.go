package control

import (
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/record"
)

// reconcileOverrides brings overrides into the log once it is back: committed ones at the lessor of the new owner. For one
// that was never decided here, the lessor of the owner in the log takes the slot from that target first.
func (n *Node) reconcileOverrides() {
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
			n.reconcileUndecided(move)
		}
	}
	for _, id := range sortedKeys(settled) {
		state, ok := n.targets[id]
		if ok && state.acting && state.takeover == nil && !n.outbox.has(reconcilePurpose(id)) {
			n.reassign(state.config.Zone, reconcilePurpose(id), record.EvidenceLapsed, settled[id])
		}
	}
}

// reconcileUndecided revokes the slot from its owner in the log, which answers, and then moves it to where the override
// would have sent it. Either of the two may hold it, and nobody else.
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
