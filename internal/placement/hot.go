package placement

const (
	// hotTrigger is the ratio of a target's rate of hot slots to the mean from which hot slots leave it.
	hotTrigger = 1.5
	// hotGain is the largest ratio of the receiver's rate after a move to the giver's rate before it. A move must lower
	// the peak by a fifth, so rates that vary by 10 % do not send a slot back.
	hotGain = 0.8
	// hotMovesPerPlan bounds the moves of hot slots in one plan, because measured rates lag behind a move.
	hotMovesPerPlan = 4
	// hotKeeps is the divisor of the share of slots that a target keeps however hot one of them is.
	hotKeeps = 4
)

// spreadHot moves hot slots from targets far above the mean rate to the least busy ones.
func (p *planner) spreadHot() {
	moved := map[int]bool{}
	for len(moved) < hotMovesPerPlan && !p.full() {
		from, to := p.hottest(), p.coolest()
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

// hottest returns the node with the highest rate of hot slots that may give one away.
func (p *planner) hottest() *node {
	var best *node
	for _, n := range p.nodes {
		if n.rate > 0 && n.load > n.low && (best == nil || n.rate*n.inverse > best.rate*best.inverse) {
			best = n
		}
	}
	return best
}

// coolest returns the node with the lowest rate of hot slots that may take another slot, or nil.
func (p *planner) coolest() *node {
	var best *node
	for _, n := range p.nodes {
		if n.load >= n.high {
			continue
		}
		if best == nil || cooler(n, best) {
			best = n
		}
	}
	return best
}

func cooler(a, b *node) bool {
	x, y := a.rate*a.inverse, b.rate*b.inverse
	if x != y {
		return x < y
	}
	return a.relative < b.relative || a.relative == b.relative && winsTie(a, b)
}

// hotSlot returns the hottest slot whose move lowers the peak enough. Slots already moved by this plan are left out,
// so that no slot appears twice.
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

// owned reports whether the node owns the slot now, as opposed to receiving it by this plan.
func (p *planner) owned(index int, n *node) bool { return p.input.Slots[index].Owner == n.ID }
