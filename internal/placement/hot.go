package placement

const (
	// hotTrigger is the ratio of a target's rate of hot slots to the mean above which hot slots are moved away from it.
	hotTrigger = 1.5
	// hotGain is the largest allowed ratio of the receiver's rate after a move to the source's rate before it. A move must
	// lower the peak by a fifth, so that rates varying by 10 % do not move a slot back.
	hotGain = 0.8
	// hotMovesPerPlan bounds the moves of hot slots in one plan, because measured rates lag behind a move.
	hotMovesPerPlan = 4
	// hotMinShareDivisor sets how many slots a target keeps however hot one of them is: its share divided by this number.
	hotMinShareDivisor = 4
)

// spreadHot moves hot slots from targets far above the mean rate to those with the lowest rates.
func (p *planner) spreadHot() {
	moved := map[int]bool{}
	for len(moved) < hotMovesPerPlan && !p.reachedMaxMoves() {
		from, to := p.highestRate(), p.lowestRate()
		if from == nil || to == nil || from.rate*from.inverse <= hotTrigger*p.meanRate() {
			return
		}
		index, found := p.hotSlot(from, to, moved)
		if !found {
			return
		}
		p.remove(from, index)
		p.add(to, index)
		p.move(index, from.ID, to, Hot)
		moved[index] = true
	}
}

func (p *planner) meanRate() float64 {
	rate, weight := 0.0, 0.0
	for _, n := range p.nodes {
		rate += n.rate
		weight += 1 / n.inverse
	}
	return rate / weight
}

// highestRate returns the node with the highest rate of hot slots among those that may lose a slot, or nil.
func (p *planner) highestRate() *node {
	var best *node
	for _, n := range p.nodes {
		if n.rate > 0 && n.load > n.low && (best == nil || n.rate*n.inverse > best.rate*best.inverse) {
			best = n
		}
	}
	return best
}

// lowestRate returns the node with the lowest rate of hot slots among those that may receive a slot, or nil.
func (p *planner) lowestRate() *node {
	var best *node
	for _, n := range p.nodes {
		if n.load >= n.high {
			continue
		}
		if best == nil || hasLowerRate(n, best) {
			best = n
		}
	}
	return best
}

func hasLowerRate(a, b *node) bool {
	x, y := a.rate*a.inverse, b.rate*b.inverse
	if x != y {
		return x < y
	}
	return a.relative < b.relative || a.relative == b.relative && winsTie(a, b)
}

// hotSlot returns the slot with the highest rate whose move lowers the peak enough. Slots already moved by this plan
// are excluded, so that no slot appears twice.
func (p *planner) hotSlot(from, to *node, moved map[int]bool) (index int, found bool) {
	limit := from.rate * from.inverse * hotGain
	best := 0.0
	for _, i := range from.slots {
		rate := p.input.Slots[i].Rate
		if rate <= best || moved[i] || !p.owned(i, from) {
			continue
		}
		if (to.rate+rate)*to.inverse <= limit {
			index, found, best = i, true, rate
		}
	}
	return index, found
}

// owned reports whether the node owns the slot now, as opposed to receiving it through this plan.
func (p *planner) owned(index int, n *node) bool { return p.input.Slots[index].Owner == n.ID }
