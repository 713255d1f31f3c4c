package placement

import "github.com/tarragonpoint/tarragonpoint/internal/model"

// Rendezvous returns the moves to plain rendezvous hashing over the eligible targets. It is the baseline for
// comparison: it enforces no bound and ignores declared targets, weights, rates and MaxMoves.
func Rendezvous(input Input) []Move {
	p := newPlanner(input)
	if len(p.nodes) == 0 {
		return nil
	}
	for i := range input.Slots {
		slot := &input.Slots[i]
		best := p.rendezvousOwner(slot.ID)
		if best.ID == slot.Owner {
			continue
		}
		reason := Balance
		if p.byID[slot.Owner] == nil {
			reason = p.reason(slot)
		}
		p.move(i, slot.Owner, best, reason)
	}
	return p.moves
}

func (p *planner) rendezvousOwner(slot model.Slot) *node {
	item := slot.String()
	best, bestWeight := p.nodes[0], model.RendezvousWeight(item, string(p.nodes[0].ID))
	for _, n := range p.nodes[1:] {
		if weight := model.RendezvousWeight(item, string(n.ID)); weight > bestWeight {
			best, bestWeight = n, weight
		}
	}
	return best
}

// Apply returns a copy of the slots with the moves applied.
func Apply(slots []Slot, moves []Move) []Slot {
	owners := make(map[model.Slot]model.TargetID, len(moves))
	for _, m := range moves {
		owners[m.Slot] = m.To
	}
	result := append([]Slot(nil), slots...)
	for i := range result {
		if owner, moved := owners[result[i].ID]; moved {
			result[i].Owner = owner
		}
	}
	return result
}
