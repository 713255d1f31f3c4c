package keyspace

import (
	"sort"

	"github.com/tarragonpoint/tarragonpoint/internal/fleet"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

const (
	// drainPieces is the number of pieces into which a range is cut when its owner is to give it up while it works. Each
	// piece is free as soon as its own running work has ended.
	drainPieces = 4
	// smallestPiece is the smallest load of a piece relative to a target's fair share, so that ranges do not splinter.
	smallestPiece = 0.08
	// smallestExcess is the load in slots above the mean below which nothing is moved to balance load.
	smallestExcess = 0.3
)

// plan returns the table to write next, or nil if the present one stands.
func (m *Manager) plan(now model.Instant) *Table {
	if !m.viewKnown {
		return nil
	}
	if m.table.Leader != m.self || m.table.Resigned {
		if !m.chosen || m.resigning {
			return nil
		}
		return m.claim()
	}
	if !m.IsLeader(now) {
		return nil
	}
	if m.resigning {
		return m.planResignation()
	}
	return m.planAssignment(now)
}

// planAssignment returns the table with all changes that are due, or nil if there are none.
func (m *Manager) planAssignment(now model.Instant) *Table {
	draft := m.draft()
	p := newPlanner(m, now, draft)
	changed := m.changed
	changed = p.dropServices() || changed
	changed = p.renewFences() || changed
	changed = p.replaceOwners() || changed
	changed = p.coverGaps() || changed
	if now.Sub(m.lastRebalance) >= m.settings.RebalanceEvery {
		m.lastRebalance = now
		changed = p.merge() || changed
		changed = p.balance() || changed
	}
	if !changed {
		return nil
	}
	draft.sort()
	return draft
}

// draft returns a copy of the table as this leader would write it next.
func (m *Manager) draft() *Table {
	draft := m.table.Clone()
	draft.Leader = m.self
	draft.LeaderAddress = m.address
	draft.Resigned = false
	draft.Nonce = m.random()
	draft.Offset = m.end
	return draft
}

// fenceAt returns the fence of ranges that the record at an offset assigns.
func fenceAt(offset uint64) uint64 { return (offset + 1) * fenceStep }

// claim returns the table by which this process takes the leader's office. All ranges get new fences, as the former
// leader may have raised theirs, and owners may have started anew since.
func (m *Manager) claim() *Table {
	draft := m.draft()
	for i := range draft.Ranges {
		draft.Ranges[i].Fence = fenceAt(draft.Offset)
	}
	return draft
}

func (m *Manager) planResignation() *Table {
	if len(m.flightsByLives) > 0 {
		return nil
	}
	draft := m.draft()
	draft.Resigned = true
	return draft
}

// planner changes a draft of the table.
type planner struct {
	m     *Manager
	now   model.Instant
	draft *Table
	fence uint64
	// usable holds the targets that may get keys, by service.
	usable map[model.Service][]*share
	byLife map[fleet.Incarnation]*share
}

// share is the part of a service's load that one target has.
type share struct {
	candidate *Candidate
	load      float64
	ranges    int
}

func newPlanner(m *Manager, now model.Instant, draft *Table) *planner {
	p := &planner{
		m: m, now: now, draft: draft, fence: fenceAt(draft.Offset),
		usable: map[model.Service][]*share{}, byLife: map[fleet.Incarnation]*share{},
	}
	for i := range m.view.Candidates {
		candidate := &m.view.Candidates[i]
		if !candidate.Usable || m.isSilent(candidate.Incarnation) || m.isOver(candidate.Incarnation) {
			continue
		}
		s := &share{candidate: candidate}
		p.usable[candidate.Service] = append(p.usable[candidate.Service], s)
		p.byLife[candidate.Incarnation] = s
	}
	for _, list := range p.usable {
		sort.Slice(list, func(i, j int) bool { return list[i].candidate.Incarnation.ID < list[j].candidate.Incarnation.ID })
	}
	for i := range draft.Ranges {
		r := &draft.Ranges[i]
		if s := p.byLife[r.Owner.Incarnation]; s != nil {
			s.load += p.load(r.Service).Sum(r.From, r.To)
			s.ranges++
		}
	}
	return p
}

// uniform is the load of a service of which nothing is known: one slot, evenly spread.
var uniform = NewLoad(1.0 / Buckets)

func (p *planner) load(service model.Service) *Load {
	if load := p.m.loads[service]; load != nil {
		return load
	}
	return uniform
}

// dropServices removes the ranges of services that are no longer keyed, once their grants have run out.
func (p *planner) dropServices() bool {
	kept := p.draft.Ranges[:0]
	for _, r := range p.draft.Ranges {
		if p.m.keyed[r.Service] || !p.m.holdOver(p.now, r.Owner.Incarnation) {
			kept = append(kept, r)
		}
	}
	dropped := len(kept) < len(p.draft.Ranges)
	p.draft.Ranges = kept
	return dropped
}

// renewFences gives a new fence to ranges whose owner has seen a higher one.
func (p *planner) renewFences() bool {
	changed := false
	for i := range p.draft.Ranges {
		r := &p.draft.Ranges[i]
		state := p.m.orders[spanOf(r)]
		if state == nil || state.fencedAt == 0 {
			continue
		}
		p.reassign(r, r.Owner)
		changed = true
	}
	return changed
}

// reassign gives a range to an owner under the fence of this draft. Everyone who may hold the range is listed, so that
// the new owner gets it only after them. The present owner is listed even if it was never granted the range, because a
// grant may still be sent while this draft is being written.
func (p *planner) reassign(r *Range, owner Holder) {
	state := p.m.orders[spanOf(r)]
	previous := make([]Holder, 0, len(r.Previous)+1)
	for _, holder := range append(r.Previous, r.Owner) {
		if holder.Incarnation == owner.Incarnation || holder.Incarnation.ID == "" {
			continue
		}
		if state != nil && state.released[holder.Incarnation] || contains(previous, holder.Incarnation) {
			continue
		}
		previous = append(previous, holder)
	}
	r.Owner = owner
	r.Previous = previous
	r.Fence = p.fence
	r.Ready = false
}

func contains(holders []Holder, life fleet.Incarnation) bool {
	for _, holder := range holders {
		if holder.Incarnation == life {
			return true
		}
	}
	return false
}

// replaceOwners moves the ranges of owners that may hold no keys.
func (p *planner) replaceOwners() bool {
	changed := false
	kept := make([]Range, 0, len(p.draft.Ranges))
	for _, r := range p.draft.Ranges {
		if p.byLife[r.Owner.Incarnation] != nil || len(p.usable[r.Service]) == 0 {
			kept = append(kept, r)
			continue
		}
		kept = append(kept, p.divide(r)...)
		changed = true
	}
	p.draft.Ranges = kept
	return changed
}

// coverGaps assigns keys that no range has.
func (p *planner) coverGaps() bool {
	p.draft.sort()
	var gaps []Range
	for _, service := range p.m.view.Services {
		if len(p.usable[service]) == 0 {
			continue
		}
		next := 0
		for i := range p.draft.Ranges {
			r := &p.draft.Ranges[i]
			if r.Service != service {
				continue
			}
			if r.From > next {
				gaps = append(gaps, Range{Service: service, From: next, To: r.From - 1})
			}
			next = r.To + 1
		}
		if next < Keys {
			gaps = append(gaps, Range{Service: service, From: next, To: Keys - 1})
		}
	}
	for _, gap := range gaps {
		p.draft.Ranges = append(p.draft.Ranges, p.divide(gap)...)
	}
	return len(gaps) > 0
}

// divide cuts a range into pieces and gives each to the target that has the least of its fair share.
func (p *planner) divide(r Range) []Range {
	load := p.load(r.Service)
	fair := p.fairShare(r.Service)
	limit := load.Sum(r.From, r.To)
	if r.Ready {
		limit /= drainPieces
	}
	var pieces []Range
	for from := r.From; from <= r.To; {
		s := p.neediest(r.Service, fair)
		want := min(limit, max(fair*s.candidate.Weight-s.load, fair*smallestPiece))
		piece := r
		piece.From = from
		piece.To = r.To
		if rest := load.Sum(from, r.To); rest > want+fair*smallestPiece {
			piece.To = load.SplitKey(from, r.To, want)
		}
		p.give(&piece, s, spanOf(&r))
		pieces = append(pieces, piece)
		from = piece.To + 1
	}
	return pieces
}

// give assigns a piece of the range that had the given span.
func (p *planner) give(piece *Range, s *share, origin span) {
	whole := Range{Service: origin.service, From: origin.from, To: origin.to, Fence: origin.fence}
	whole.Owner, whole.Previous = piece.Owner, piece.Previous
	p.reassign(&whole, s.candidate.Holder)
	piece.Owner, piece.Previous, piece.Fence, piece.Ready = whole.Owner, whole.Previous, whole.Fence, false
	s.load += p.load(piece.Service).Sum(piece.From, piece.To)
	s.ranges++
}

// fairShare is the load of a service for each unit of weight.
func (p *planner) fairShare(service model.Service) float64 {
	weight := 0.0
	for _, s := range p.usable[service] {
		weight += s.candidate.Weight
	}
	return p.load(service).Sum(0, Keys-1) / max(weight, 1)
}

// neediest returns the target with the largest part of its fair share missing.
func (p *planner) neediest(service model.Service, fair float64) *share {
	var best *share
	for _, s := range p.usable[service] {
		if best == nil || p.need(s, fair) > p.need(best, fair) {
			best = s
		}
	}
	return best
}

func (p *planner) need(s *share, fair float64) float64 {
	need := 1 - s.load/(fair*s.candidate.Weight)
	if s.ranges >= p.m.settings.MaxRanges {
		need--
	}
	return need
}

// merge joins neighboring ranges of one owner under a new fence, so that the number of renewals stays small. The owner
// keeps the keys all the while.
func (p *planner) merge() bool {
	p.draft.sort()
	changed := false
	kept := p.draft.Ranges[:0]
	for _, r := range p.draft.Ranges {
		if len(kept) > 0 && p.mergeable(&kept[len(kept)-1], &r) {
			last := &kept[len(kept)-1]
			last.To = r.To
			last.Fence = p.fence
			p.byLife[r.Owner.Incarnation].ranges--
			changed = true
			continue
		}
		kept = append(kept, r)
	}
	p.draft.Ranges = kept
	return changed
}

func (p *planner) mergeable(a, b *Range) bool {
	s := p.byLife[a.Owner.Incarnation]
	return s != nil && a.Service == b.Service && a.Owner == b.Owner && a.Ready && b.Ready && a.To+1 == b.From
}

// balance moves pieces from targets with more than their share to those with less.
func (p *planner) balance() bool {
	changed := false
	for _, service := range p.m.view.Services {
		if len(p.usable[service]) < 2 {
			continue
		}
		fair := p.fairShare(service)
		for moves := p.moving(service); moves < p.m.settings.MaxConcurrentMoves && p.moveOne(service, fair); moves++ {
			changed = true
		}
	}
	return changed
}

func (p *planner) moving(service model.Service) int {
	count := 0
	for i := range p.draft.Ranges {
		if r := &p.draft.Ranges[i]; r.Service == service && !r.Ready {
			count++
		}
	}
	return count
}

func (p *planner) moveOne(service model.Service, fair float64) bool {
	receiver := p.neediest(service, fair)
	giver := p.fullest(service, fair)
	if giver == nil || giver == receiver || receiver.ranges >= p.m.settings.MaxRanges {
		return false
	}
	excess := giver.load - fair*giver.candidate.Weight
	missing := fair*receiver.candidate.Weight - receiver.load
	want := min(excess, missing)
	starved := receiver.load < fair*receiver.candidate.Weight*smallestPiece*2
	if want <= fair*smallestPiece || want < smallestExcess && !starved {
		return false
	}
	return p.movePiece(service, giver, receiver, want)
}

// fullest returns the target that is most above its fair share by the allowed imbalance, or the fullest one if a
// target has almost nothing.
func (p *planner) fullest(service model.Service, fair float64) *share {
	var best *share
	for _, s := range p.usable[service] {
		if best == nil || s.load/s.candidate.Weight > best.load/best.candidate.Weight {
			best = s
		}
	}
	needy := p.neediest(service, fair)
	if best.load > fair*best.candidate.Weight*p.m.settings.Imbalance || p.need(needy, fair) > 1-smallestPiece*2 {
		return best
	}
	return nil
}

// movePiece moves about the wanted load out of the giver's ranges.
func (p *planner) movePiece(service model.Service, giver, receiver *share, want float64) bool {
	load := p.load(service)
	index := -1
	for i := range p.draft.Ranges {
		r := &p.draft.Ranges[i]
		if r.Service != service || r.Owner.Incarnation != giver.candidate.Incarnation || !r.Ready || len(r.Previous) > 0 {
			continue
		}
		if index < 0 || load.Sum(r.From, r.To) > load.Sum(p.draft.Ranges[index].From, p.draft.Ranges[index].To) {
			index = i
		}
	}
	if index < 0 {
		return false
	}
	r := &p.draft.Ranges[index]
	origin := spanOf(r)
	piece := *r
	moved := load.Sum(r.From, r.To)
	if moved > want*1.3 && r.From < r.To {
		piece.To = load.SplitKey(r.From, r.To, want)
		moved = load.Sum(piece.From, piece.To)
		r.From = piece.To + 1
		// The rest is renewed on its own, so its fences must not repeat those of the whole.
		r.Fence = p.fence
	} else if moved > want*2 {
		return false
	} else {
		p.draft.Ranges = append(p.draft.Ranges[:index], p.draft.Ranges[index+1:]...)
		giver.ranges--
	}
	giver.load -= moved
	p.give(&piece, receiver, origin)
	p.draft.Ranges = append(p.draft.Ranges, piece)
	return true
}
