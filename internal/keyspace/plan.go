package keyspace

import (
	"sort"

	"github.com/tarragonpoint/tarragonpoint/internal/fleet"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

const (
	// drainPieces is the number of pieces into which a range is split when its owner has to release it while serving
	// requests. Each piece can move as soon as its own running requests have ended.
	drainPieces = 4
	// minPieceFraction is the smallest load of a piece relative to a target's fair share. It prevents fragmentation.
	minPieceFraction = 0.08
	// minExcess is the smallest load above the mean, in slots, that is moved to balance load.
	minExcess = 0.3
)

// plan returns the table to write next, or nil if no change is due.
func (m *Manager) plan(now model.Instant) *Table {
	if !m.viewKnown {
		return nil
	}
	if m.isOfFormerEra() && m.IsLeader(now) {
		if draft := m.planWriteBack(); draft != nil {
			return draft
		}
	}
	// Nobody else may follow a leader whose own table precedes an unknown record, such as a late write of an earlier era.
	lostToUnknown := m.hasUndecodedRecord() && !m.IsLeader(now)
	if m.table.Leader != m.self || m.table.Resigned || m.isOfFormerEra() || lostToUnknown {
		if !m.elected || m.resigning {
			return nil
		}
		return m.planLeadershipClaim(now)
	}
	if !m.IsLeader(now) || m.hasUndecodedRecord() {
		return nil
	}
	if m.resigning {
		return m.planResignation(now)
	}
	return m.planAssignment(now)
}

// planAssignment returns the table with all changes that are due, or nil if there are none.
func (m *Manager) planAssignment(now model.Instant) *Table {
	draft := m.draft()
	p := newPlanner(m, now, draft)
	changed := m.changed
	changed = p.confirmFences() || changed
	changed = p.dropServices() || changed
	changed = p.renewFences() || changed
	changed = p.replaceOwners() || changed
	changed = p.coverGaps() || changed
	// Both give owners new fences without a wait, which needs a table that names all holders.
	if !draft.Unconfirmed && now.Sub(m.lastRebalance) >= m.settings.RebalanceEvery {
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

// draft returns a copy of the table with the header that this process would write next.
func (m *Manager) draft() *Table {
	draft := m.table.Clone()
	draft.Leader = m.self
	draft.LeaderAddress = m.address
	draft.Resigned, draft.FormerGrants = false, 0
	draft.Unconfirmed = m.unconfirmedUntil != 0
	draft.Nonce = m.random()
	draft.Offset = m.nextOffset
	return draft
}

// fenceEraBits is the number of offsets of an era whose fences are below those of the next era, as a power of two: 8 years of 2 records
// per second. With model.MaxEra and fenceStride, fences stay below 2^53, up to which JSON numbers are exact.
const fenceEraBits = 29

// fenceAt returns the fence of ranges that the record at a position assigns. It exceeds all fences of earlier eras.
func fenceAt(position uint64) uint64 {
	return (model.EraOf(position)<<fenceEraBits + model.OffsetOf(position) + 1) * fenceStride
}

// planLeadershipClaim returns the table with which this process becomes the leader. All ranges get new fences, because
// the former leader may have increased theirs and owners may have restarted since. Without evidence that the former leader's
// grants are in force, no range is ready until its owner has been granted it.
func (m *Manager) planLeadershipClaim(now model.Instant) *Table {
	draft := m.draft()
	draft.Unconfirmed = false
	inForce := m.holdsInForce(now)
	for i := range draft.Ranges {
		draft.Ranges[i].Fence = fenceAt(draft.Offset)
		draft.Ranges[i].Ready = draft.Ranges[i].Ready && inForce
	}
	if (m.hasUndecodedRecord() || m.table.Unconfirmed) && !m.addUnknownHolders(now, draft) {
		return nil
	}
	return draft
}

// unknownHolder stands for the holders that a record lists which this process cannot decode. It gets no release, so the next
// owner waits until every hold under that record has ended.
var unknownHolder = Holder{Incarnation: fleet.Incarnation{ID: "unknown holder"}}

// addUnknownHolders adds unknownHolder to the previous holders of all keys of a draft. It returns false if it cannot, because a
// service has keys that are in no range and no target to assign them to.
func (m *Manager) addUnknownHolders(now model.Instant, draft *Table) bool {
	p := newPlanner(m, now, draft)
	if p.coverGaps(); len(p.gaps()) > 0 {
		return false
	}
	draft.sort()
	for i := range draft.Ranges {
		r := &draft.Ranges[i]
		r.Ready = false
		if !contains(r.Previous, unknownHolder.Incarnation) {
			r.Previous = append(r.Previous, unknownHolder)
		}
	}
	return true
}

// planWriteBack returns the table of this leader as the claim of a new era, so that the targets keep the keys that they hold, or nil if
// that is not safe. Leaders that claimed after this process was last confirmed may have written tables that are lost. They move keys
// from a target without its release only once contactBound and holdBound have passed, and make no grants after
// LeadershipTimeout and CommandTimeout have passed since the new era. If the second comes first, the fences of this table are valid
// until then: a target that has released keys to an unknown leader refuses them.
func (m *Manager) planWriteBack() *Table {
	if m.resigning {
		return nil
	}
	unknownMoves := m.confirmedAt.Add(m.settings.contactBound() + m.settings.holdBound())
	if unknownMoves <= m.eraSince.Add(m.settings.LeadershipTimeout+m.settings.CommandTimeout) {
		return nil
	}
	draft := m.draft()
	draft.Unconfirmed = true
	return draft
}

// confirmFences gives all ranges fences of the present era once no leader of an earlier era can make grants. Their owners keep the
// keys throughout.
func (p *planner) confirmFences() bool {
	if p.m.unconfirmedUntil == 0 || p.now < p.m.unconfirmedUntil {
		return false
	}
	p.draft.Unconfirmed = false
	for i := range p.draft.Ranges {
		p.draft.Ranges[i].Fence = p.fence
	}
	return true
}

// planResignation returns the table with which this process gives up leadership. It states for how long grants of leaders before
// this one and unanswered grants of its own may be delivered, because the next leader trusts that a resigned leader makes none.
func (m *Manager) planResignation(now model.Instant) *Table {
	if len(m.grantsInFlight) > 0 {
		return nil
	}
	draft := m.draft()
	draft.Resigned = true
	draft.FormerGrants = max(0, max(m.formerGrantsUntil, m.undeliveredUntil()).Sub(now))
	return draft
}

// planner changes a draft of the table.
type planner struct {
	m     *Manager
	now   model.Instant
	draft *Table
	fence uint64
	// usable holds the targets that may be assigned keys, by service.
	usable        map[model.Service][]*targetLoad
	byIncarnation map[fleet.Incarnation]*targetLoad
}

// targetLoad is the part of a service's load and ranges that is assigned to one target.
type targetLoad struct {
	candidate *Candidate
	load      float64
	ranges    int
}

func newPlanner(m *Manager, now model.Instant, draft *Table) *planner {
	p := &planner{
		m: m, now: now, draft: draft, fence: fenceAt(draft.Offset),
		usable: map[model.Service][]*targetLoad{}, byIncarnation: map[fleet.Incarnation]*targetLoad{},
	}
	for i := range m.view.Candidates {
		candidate := &m.view.Candidates[i]
		if !m.isUsable(candidate) {
			continue
		}
		t := &targetLoad{candidate: candidate}
		p.usable[candidate.Service] = append(p.usable[candidate.Service], t)
		p.byIncarnation[candidate.Incarnation] = t
	}
	for _, list := range p.usable {
		sort.Slice(list, func(i, j int) bool {
			return list[i].candidate.Incarnation.ID < list[j].candidate.Incarnation.ID
		})
	}
	for i := range draft.Ranges {
		r := &draft.Ranges[i]
		if t := p.byIncarnation[r.Owner.Incarnation]; t != nil {
			t.load += p.load(r.Service).Sum(r.From, r.To)
			t.ranges++
		}
	}
	return p
}

// uniformLoad is the load of a service without load reports: one slot, evenly spread.
var uniformLoad = NewLoad(1.0 / Buckets)

func (p *planner) load(service model.Service) *Load {
	if load := p.m.loads[service]; load != nil {
		return load
	}
	return uniformLoad
}

// dropServices removes the ranges of services that are no longer keyed, once neither their owners nor previous holders
// can hold them. If the service returns, its keys are assigned as keys that nobody holds.
func (p *planner) dropServices() bool {
	kept := p.draft.Ranges[:0]
	for _, r := range p.draft.Ranges {
		unheld := p.m.holdEnded(p.now, r.Owner.Incarnation) && p.m.previousReleased(p.now, &r, p.m.stateOf(&r))
		if p.m.keyed[r.Service] || !unheld {
			kept = append(kept, r)
		}
	}
	dropped := len(kept) < len(p.draft.Ranges)
	p.draft.Ranges = kept
	return dropped
}

// renewFences assigns a new fence to each range whose owner has seen a higher one.
func (p *planner) renewFences() bool {
	changed := false
	for i := range p.draft.Ranges {
		r := &p.draft.Ranges[i]
		state := p.m.commandStates[rangeIDOf(r)]
		if state == nil || state.fencedAt == 0 && !p.m.hasExpiredFence(r, state) {
			continue
		}
		p.reassign(r, r.Owner)
		changed = true
	}
	return changed
}

// reassign assigns a range to an owner under the fence of this draft. All other incarnations that may hold the range
// are listed in Previous, so that the new owner gets it only after they have released it or can no longer hold it. The
// current owner is listed even if it was never granted the range, because a grant may still be sent while this draft is
// being written.
func (p *planner) reassign(r *Range, owner Holder) {
	state := p.m.commandStates[rangeIDOf(r)]
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
	if p.draft.Unconfirmed && !contains(previous, unknownHolder.Incarnation) {
		previous = append(previous, unknownHolder)
	}
	r.Owner = owner
	r.Previous = previous
	r.Fence = p.fence
	r.Ready = false
}

func contains(holders []Holder, incarnation fleet.Incarnation) bool {
	for _, holder := range holders {
		if holder.Incarnation == incarnation {
			return true
		}
	}
	return false
}

// replaceOwners moves the ranges of owners that are not usable.
func (p *planner) replaceOwners() bool {
	changed := false
	kept := make([]Range, 0, len(p.draft.Ranges))
	for _, r := range p.draft.Ranges {
		if p.byIncarnation[r.Owner.Incarnation] != nil || len(p.usable[r.Service]) == 0 {
			kept = append(kept, r)
			continue
		}
		kept = append(kept, p.divide(r)...)
		changed = true
	}
	p.draft.Ranges = kept
	return changed
}

// coverGaps assigns the keys that are in no range.
func (p *planner) coverGaps() bool {
	changed := false
	for _, gap := range p.gaps() {
		if len(p.usable[gap.Service]) > 0 {
			p.draft.Ranges = append(p.draft.Ranges, p.divide(gap)...)
			changed = true
		}
	}
	return changed
}

// gaps returns the keys of configured services that are in no range.
func (p *planner) gaps() []Range {
	p.draft.sort()
	var gaps []Range
	for _, service := range p.m.view.Services {
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
	return gaps
}

// divide splits a range into pieces and assigns each to the target that is furthest below its fair share.
func (p *planner) divide(r Range) []Range {
	load := p.load(r.Service)
	fair := p.fairShare(r.Service)
	limit := load.Sum(r.From, r.To)
	if r.Ready {
		limit /= drainPieces
	}
	var pieces []Range
	for from := r.From; from <= r.To; {
		t := p.mostUnderloaded(r.Service, fair)
		want := min(limit, max(fair*t.candidate.Weight-t.load, fair*minPieceFraction))
		piece := r
		piece.From = from
		piece.To = r.To
		if rest := load.Sum(from, r.To); rest > want+fair*minPieceFraction {
			piece.To = load.SplitKey(from, r.To, want)
		}
		p.assign(&piece, t, rangeIDOf(&r))
		pieces = append(pieces, piece)
		from = piece.To + 1
	}
	return pieces
}

// assign assigns a piece of the range origin to a target. The command state of origin shows which holders have released
// the piece.
func (p *planner) assign(piece *Range, t *targetLoad, origin rangeID) {
	whole := Range{Service: origin.service, From: origin.from, To: origin.to, Fence: origin.fence}
	whole.Owner, whole.Previous = piece.Owner, piece.Previous
	p.reassign(&whole, t.candidate.Holder)
	piece.Owner, piece.Previous, piece.Fence, piece.Ready = whole.Owner, whole.Previous, whole.Fence, false
	t.load += p.load(piece.Service).Sum(piece.From, piece.To)
	t.ranges++
}

// fairShare returns the load of a service per unit of weight.
func (p *planner) fairShare(service model.Service) float64 {
	weight := 0.0
	for _, t := range p.usable[service] {
		weight += t.candidate.Weight
	}
	return p.load(service).Sum(0, Keys-1) / max(weight, 1)
}

// mostUnderloaded returns the target that is furthest below its fair share, relative to that share.
func (p *planner) mostUnderloaded(service model.Service, fair float64) *targetLoad {
	var best *targetLoad
	for _, t := range p.usable[service] {
		if best == nil || p.deficit(t, fair) > p.deficit(best, fair) {
			best = t
		}
	}
	return best
}

// deficit returns the missing part of a target's fair share, relative to that share. It is 1 lower for a target that
// already has the maximum number of ranges.
func (p *planner) deficit(t *targetLoad, fair float64) float64 {
	need := 1 - t.load/(fair*t.candidate.Weight)
	if t.ranges >= p.m.settings.MaxRanges {
		need--
	}
	return need
}

// merge joins adjacent ranges of one owner under a new fence, to keep the number of renewals small. The owner keeps the
// keys throughout.
func (p *planner) merge() bool {
	p.draft.sort()
	changed := false
	kept := p.draft.Ranges[:0]
	for _, r := range p.draft.Ranges {
		if len(kept) > 0 && p.mergeable(&kept[len(kept)-1], &r) {
			last := &kept[len(kept)-1]
			last.To = r.To
			last.Fence = p.fence
			p.byIncarnation[r.Owner.Incarnation].ranges--
			changed = true
			continue
		}
		kept = append(kept, r)
	}
	p.draft.Ranges = kept
	return changed
}

func (p *planner) mergeable(a, b *Range) bool {
	t := p.byIncarnation[a.Owner.Incarnation]
	return t != nil && a.Service == b.Service && a.Owner == b.Owner && a.Ready && b.Ready && a.To+1 == b.From
}

// balance moves pieces from targets above their fair share to targets below it.
func (p *planner) balance() bool {
	changed := false
	for _, service := range p.m.view.Services {
		if len(p.usable[service]) < 2 {
			continue
		}
		fair := p.fairShare(service)
		limit := max(p.m.settings.MaxConcurrentMoves, int(float64(len(p.usable[service]))*p.m.settings.MovingShare))
		for moves := p.countMoving(service); moves < limit && p.moveOne(service, fair); moves++ {
			changed = true
		}
	}
	return changed
}

func (p *planner) countMoving(service model.Service) int {
	count := 0
	for i := range p.draft.Ranges {
		if r := &p.draft.Ranges[i]; r.Service == service && !r.Ready {
			count++
		}
	}
	return count
}

func (p *planner) moveOne(service model.Service, fair float64) bool {
	destination := p.mostUnderloaded(service, fair)
	source := p.mostOverloaded(service, fair)
	if source == nil || source == destination || destination.ranges >= p.m.settings.MaxRanges {
		return false
	}
	excess := source.load - fair*source.candidate.Weight
	missing := fair*destination.candidate.Weight - destination.load
	want := min(excess, missing)
	starved := destination.load < fair*destination.candidate.Weight*minPieceFraction*2
	if want <= fair*minPieceFraction || want < minExcess && !starved {
		return false
	}
	return p.movePiece(service, source, destination, want)
}

// mostOverloaded returns the target with the highest load per unit of weight, if it exceeds its fair share by more than
// the allowed imbalance or another target has almost no load. Otherwise it returns nil.
func (p *planner) mostOverloaded(service model.Service, fair float64) *targetLoad {
	var best *targetLoad
	for _, t := range p.usable[service] {
		if best == nil || t.load/t.candidate.Weight > best.load/best.candidate.Weight {
			best = t
		}
	}
	underloaded := p.mostUnderloaded(service, fair)
	if best.load > fair*best.candidate.Weight*p.m.settings.Imbalance ||
		p.deficit(underloaded, fair) > 1-minPieceFraction*2 {
		return best
	}
	return nil
}

// movePiece moves about the wanted load from the source's largest range to the destination.
func (p *planner) movePiece(service model.Service, source, destination *targetLoad, want float64) bool {
	load := p.load(service)
	index := -1
	for i := range p.draft.Ranges {
		r := &p.draft.Ranges[i]
		if r.Service != service || r.Owner.Incarnation != source.candidate.Incarnation || !r.Ready || len(r.Previous) > 0 {
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
	origin := rangeIDOf(r)
	piece := *r
	moved := load.Sum(r.From, r.To)
	if moved > want*1.3 && r.From < r.To {
		piece.To = load.SplitKey(r.From, r.To, want)
		moved = load.Sum(piece.From, piece.To)
		r.From = piece.To + 1
		// The remainder is renewed separately, so its fences must differ from those already used for the whole range.
		r.Fence = p.fence
	} else if moved > want*2 {
		return false
	} else {
		p.draft.Ranges = append(p.draft.Ranges[:index], p.draft.Ranges[index+1:]...)
		source.ranges--
	}
	source.load -= moved
	p.assign(&piece, destination, origin)
	p.draft.Ranges = append(p.draft.Ranges, piece)
	return true
}
