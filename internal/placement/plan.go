package placement

import (
	"math"
	"sort"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

const percent = 100

// node is the planner's state of an eligible target.
type node struct {
	*Target
	inverse  float64 // 1 / weight
	zone     *zoneLoad
	count    int     // slots that count against the share: all but those with an eligible declared target
	load     float64 // count and the extra load of hot slots, in slots
	relative float64 // load / weight
	rate     float64 // sum of the rates of hot slots, in requests/s
	low      float64 // lower bound of load, in slots
	high     float64 // upper bound of load, in slots
	minSlots int     // slots that a node with hot slots keeps
	slots    []int   // indexes of movable slots, in slot order
}

// zoneLoad is the load of a zone.
type zoneLoad struct {
	count  int
	weight float64
}

func (z *zoneLoad) relative() float64 { return float64(z.count) / z.weight }

// planner holds the state of one call of Plan.
type planner struct {
	input Input
	all   map[model.TargetID]*Target
	nodes []*node
	byID  map[model.TargetID]*node
	moves []Move
	// share is the number of slots for each unit of weight.
	share float64
	// position holds, for each slot, 1 + the index of its move, or 0.
	position []int
}

// Plan returns the moves that lead from the current owners to a placement within the bound, most urgent first. It
// returns none if no target is eligible. If a plan reaches MaxMoves, the next call continues it.
func Plan(input Input) []Move {
	p := newPlanner(input)
	if len(p.nodes) == 0 {
		return nil
	}
	p.share = p.slotsPerWeight()
	displaced := p.collectDisplaced()
	p.setBounds()
	p.place(displaced)
	p.spreadHot()
	p.restoreBounds()
	return p.moves
}

func newPlanner(input Input) *planner {
	p := &planner{
		input:    input,
		all:      make(map[model.TargetID]*Target, len(input.Targets)),
		byID:     make(map[model.TargetID]*node, len(input.Targets)),
		position: make([]int, len(input.Slots)),
	}
	zones := map[model.Zone]*zoneLoad{}
	for i := range input.Targets {
		target := &input.Targets[i]
		p.all[target.ID] = target
		if !eligible(target, input.Class) {
			continue
		}
		p.addNode(target, zones)
	}
	sort.Slice(p.nodes, func(i, j int) bool { return p.nodes[i].ID < p.nodes[j].ID })
	return p
}

func eligible(target *Target, class model.Class) bool {
	return target.Alive && target.InService && !target.Draining && class.Allows(target.Region)
}

func (p *planner) addNode(target *Target, zones map[model.Zone]*zoneLoad) {
	weight := target.Weight
	if weight <= 0 {
		weight = 1
	}
	zone := zones[target.Zone]
	if zone == nil {
		zone = &zoneLoad{}
		zones[target.Zone] = zone
	}
	zone.weight += weight
	n := &node{Target: target, inverse: 1 / weight, zone: zone}
	p.nodes = append(p.nodes, n)
	p.byID[target.ID] = n
}

// displacedSlot is a slot that needs another owner.
type displacedSlot struct {
	index  int
	reason Reason
	// to is the declared target of the slot; nil if it has none that is eligible.
	to *node
}

// collectDisplaced counts the slots that stay and returns those that must move, most urgent first and then by
// descending rate.
func (p *planner) collectDisplaced() []displacedSlot {
	var displaced []displacedSlot
	for i := range p.input.Slots {
		slot := &p.input.Slots[i]
		declared := p.byID[slot.DeclaredTarget]
		owner := p.byID[slot.Owner]
		switch {
		case declared != nil && owner != declared:
			displaced = append(displaced, displacedSlot{i, p.declaredReason(slot), declared})
		case owner == nil:
			displaced = append(displaced, displacedSlot{i, p.reason(slot), nil})
		case declared == nil:
			p.add(owner, i)
		default:
			owner.rate += slot.Rate
		}
	}
	for _, n := range p.nodes {
		p.updateLoad(n, 0)
	}
	sort.SliceStable(displaced, func(i, j int) bool {
		a, b := displaced[i], displaced[j]
		if a.reason != b.reason {
			return a.reason < b.reason
		}
		return p.input.Slots[a.index].Rate > p.input.Slots[b.index].Rate
	})
	return displaced
}

func (p *planner) reason(slot *Slot) Reason {
	owner := p.all[slot.Owner]
	switch {
	case owner == nil || !owner.Alive:
		return Unowned
	case !owner.InService || !p.input.Class.Allows(owner.Region):
		return OutOfService
	default:
		return Drain
	}
}

func (p *planner) declaredReason(slot *Slot) Reason {
	if p.byID[slot.Owner] != nil {
		return Declared
	}
	return p.reason(slot)
}

// setBounds sets the bounds of each node: its share of the load and the permitted deviation. The shares cover all slots
// without an eligible declared target.
func (p *planner) setBounds() {
	extra, weight := 0.0, 0.0
	for _, n := range p.nodes {
		p.updateLoad(n, 0)
		extra += n.load - float64(n.count)
		weight += 1 / n.inverse
	}
	tolerance := p.input.ImbalancePercent / percent
	for _, n := range p.nodes {
		share := (p.share + extra/weight) / n.inverse
		n.low = math.Floor(share * (1 - tolerance))
		n.high = max(math.Ceil(share), math.Floor(share*(1+tolerance)))
		n.minSlots = int(p.share / n.inverse / hotMinShareDivisor)
	}
}

// slotsPerWeight returns the number of slots per unit of weight, without the slots that have an eligible declared
// target.
func (p *planner) slotsPerWeight() float64 {
	slots, weight := 0, 0.0
	for i := range p.input.Slots {
		if p.byID[p.input.Slots[i].DeclaredTarget] == nil {
			slots++
		}
	}
	for _, n := range p.nodes {
		weight += 1 / n.inverse
	}
	return float64(slots) / weight
}

// place assigns displaced slots to their declared targets, hot ones to the node with the lowest rate of hot slots, and
// the others to the least loaded node.
func (p *planner) place(displaced []displacedSlot) {
	for _, d := range displaced {
		if p.reachedMaxMoves() {
			return
		}
		slot := &p.input.Slots[d.index]
		to := d.to
		if to == nil {
			to = p.receiver(slot)
			p.add(to, d.index)
		} else {
			to.rate += slot.Rate
			p.updateLoad(to, 0)
		}
		p.move(d.index, slot.Owner, to, d.reason)
	}
}

func (p *planner) receiver(slot *Slot) *node {
	if slot.Rate > 0 {
		if n := p.lowestRate(); n != nil {
			return n
		}
	}
	return p.leastLoaded()
}

// leastLoaded returns the node with the lowest load; the load of its zone and of other classes breaks ties.
func (p *planner) leastLoaded() *node {
	best := p.nodes[0]
	for _, n := range p.nodes[1:] {
		if n.relative < best.relative || n.relative == best.relative && winsTie(n, best) {
			best = n
		}
	}
	return best
}

func winsTie(a, b *node) bool {
	if a.zone != b.zone {
		if x, y := a.zone.relative(), b.zone.relative(); x != y {
			return x < y
		}
	}
	return a.OtherSlots < b.OtherSlots
}

// restoreBounds moves slots until each node is within its bounds. It stops at the bound, not at the exact share, so
// that a joining or returning target causes no more moves than necessary.
func (p *planner) restoreBounds() {
	for !p.reachedMaxMoves() {
		from, to := p.mostLoaded(), p.leastLoaded()
		if from == nil || from == to || from.load <= from.high && to.load >= to.low {
			return
		}
		if from.relative-from.inverse < to.relative {
			// After one more move, from would have less load for its weight than to has now.
			return
		}
		index := p.coldestSlot(from)
		p.remove(from, index)
		p.add(to, index)
		p.move(index, from.ID, to, Balance)
	}
}

// mostLoaded returns the node with the highest load among those that may lose a slot, or nil.
func (p *planner) mostLoaded() *node {
	var best *node
	for _, n := range p.nodes {
		if len(n.slots) == 0 || n.load > float64(n.count) && n.count <= n.minSlots {
			continue
		}
		if best == nil || n.relative > best.relative || n.relative == best.relative && winsTie(best, n) {
			best = n
		}
	}
	return best
}

// coldestSlot returns the last slot with the lowest rate, so that restoring the bounds does not move hot slots
// unnecessarily.
func (p *planner) coldestSlot(n *node) int {
	best := n.slots[len(n.slots)-1]
	for i := len(n.slots) - 1; i >= 0 && p.input.Slots[best].Rate > 0; i-- {
		if p.input.Slots[n.slots[i]].Rate < p.input.Slots[best].Rate {
			best = n.slots[i]
		}
	}
	return best
}

func (p *planner) reachedMaxMoves() bool {
	return p.input.MaxMoves > 0 && len(p.moves) >= p.input.MaxMoves
}

// move records a move. If this plan has already moved the slot, the earlier move is redirected to the new target.
func (p *planner) move(index int, from model.TargetID, to *node, reason Reason) {
	if at := p.position[index]; at > 0 {
		p.moves[at-1].To = to.ID
		return
	}
	p.position[index] = len(p.moves) + 1
	p.moves = append(p.moves, Move{Slot: p.input.Slots[index].ID, From: from, To: to.ID, Reason: reason})
}

func (p *planner) add(n *node, index int) {
	n.slots = append(n.slots, index)
	n.rate += p.input.Slots[index].Rate
	p.updateLoad(n, 1)
}

func (p *planner) remove(n *node, index int) {
	for i := len(n.slots) - 1; i >= 0; i-- {
		if n.slots[i] == index {
			n.slots = append(n.slots[:i], n.slots[i+1:]...)
			n.rate -= p.input.Slots[index].Rate
			p.updateLoad(n, -1)
			return
		}
	}
}

func (p *planner) updateLoad(n *node, delta int) {
	n.count += delta
	n.zone.count += delta
	n.load = float64(n.count)
	if p.input.BaseRate > 0 {
		n.load += min(n.rate/p.input.BaseRate, p.share/n.inverse)
	}
	n.relative = n.load * n.inverse
}
