package shares

import (
	"slices"
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

const (
	// sweepInterval is the shortest time between two removals of members that have gone.
	sweepInterval = LeaseTTL / 10
	// connectTime is how long VMs may take to connect to the first leader before it grants leases, as the first VM would get all of
	// them.
	connectTime = 2 * time.Second
)

// Allocator is the leader's side: it grants the leases. It is not safe for concurrent use.
type Allocator struct {
	random   func() uint64
	holdings [Units]holding
	members  map[string]*member
	parts    parts
	// assignableFrom is when the leases of all former leaders have ended; 0 before the first term.
	assignableFrom model.Instant
	// noneFreeBefore is the earliest instant at which a unit can be free; earlier searches are futile.
	noneFreeBefore model.Instant
	sweptAt        model.Instant
	// latest is the latest instant passed in.
	latest model.Instant
}

// holding is the last lease of a unit, as counted by the leader. It is zero for a unit of which this leader knows nothing.
type holding struct {
	vm    string
	until model.Instant
}

type member struct {
	// name is the name of the VM, which its incarnations have in common.
	name      string
	units     []Unit
	version   uint64
	renewedAt model.Instant
}

// NewAllocator returns an allocator that grants nothing before Begin. window is that of the budget. Versions of grants start at
// random numbers.
func NewAllocator(window time.Duration, random func() uint64) *Allocator {
	return &Allocator{random: random, members: map[string]*member{}, parts: parts{window: window + window/50}}
}

// Begin starts a term of leadership. hasPredecessor is false only if there has never been another leader. now must not be
// before the store made this VM the leader.
func (a *Allocator) Begin(now model.Instant, hasPredecessor bool) {
	a.holdings = [Units]holding{}
	a.members = map[string]*member{}
	a.latest, a.noneFreeBefore = now, 0
	a.assignableFrom = now.Add(connectTime)
	a.parts.begin(now, hasPredecessor)
	if hasPredecessor {
		// Until then the former leader, which may not know that it was replaced, has granted its last lease, and that has ended.
		a.assignableFrom = now.Add(ConfirmationTTL + LeaseTTL + clockMargin + restTime)
	}
}

// Renew renews the leases of an incarnation of a VM, and grants it further units up to an equal share of all. name is the name of
// the VM, vm that of its incarnation; a new incarnation means that the former ones have ended. claimable is true if the request was sent after the term began; only then its claims count. The caller ensures that the store confirms
// the leadership.
func (a *Allocator) Renew(now model.Instant, name, vm string, request Request, claimable bool) Grant {
	if a.assignableFrom == 0 {
		return Grant{}
	}
	// A report may be handled after later ones. An earlier instant would shorten leases that those have renewed.
	now = max(now, a.latest)
	a.latest = now
	a.sweep(now)
	if request.Ends {
		delete(a.members, vm)
		a.parts.renew(now, vm, 0)
		return Grant{}
	}
	m := a.members[vm]
	if m == nil {
		a.dropIncarnations(name)
		m = &member{name: name, version: max(1, a.random())}
		a.members[vm] = m
	}
	m.renewedAt = max(m.renewedAt, now)
	before := slices.Clone(m.units)
	if claimable {
		a.adopt(now, vm, m, request.Claims)
		a.parts.adopt(now, vm, request.Part)
	}
	a.dropExcess(m)
	if now >= a.assignableFrom {
		a.assign(now, m)
	}
	a.reserve(now, vm, m)
	if !slices.Equal(before, m.units) {
		m.version++
	}
	grant := Grant{Number: request.Number, Version: m.version, Part: a.parts.renew(now, vm, equalPart(len(a.members)))}
	if request.Version != m.version {
		grant.Units = slices.Clone(m.units)
	}
	return grant
}

// Keep handles the report of a VM while the leadership is not confirmed: it grants nothing, but keeps the VM's units for it. Nobody
// else can have got them if the leadership is confirmed again in the same term.
func (a *Allocator) Keep(now model.Instant, vm string) {
	a.sweep(now)
	if m := a.members[vm]; m != nil {
		m.renewedAt = max(m.renewedAt, now)
		a.reserve(now, vm, m)
	}
}

// reserve keeps a VM's units for it until a lease that is granted now has ended.
func (a *Allocator) reserve(now model.Instant, vm string, m *member) {
	for _, unit := range m.units {
		a.holdings[unit] = holding{vm: vm, until: max(a.holdings[unit].until, now.Add(LeaseTTL+clockMargin))}
	}
}

// dropIncarnations drops the incarnations of a VM, which do not count for the shares any more. Their units become free as their
// leases end.
func (a *Allocator) dropIncarnations(name string) {
	for vm, m := range a.members {
		if m.name == name {
			delete(a.members, vm)
		}
	}
}

// sweep drops the VMs whose leases have ended. Their units become free after restTime.
func (a *Allocator) sweep(now model.Instant) {
	if now.Sub(a.sweptAt) < sweepInterval {
		return
	}
	a.sweptAt = now
	a.parts.sweep(now)
	for vm, m := range a.members {
		if now.Sub(m.renewedAt) > LeaseTTL+clockMargin {
			delete(a.members, vm)
		}
	}
}

// adopt takes over leases of a former leader that had not ended when the request was sent. No former leader can have granted such
// a unit to another VM since; see restTime.
func (a *Allocator) adopt(now model.Instant, vm string, m *member, claims []Unit) {
	for _, unit := range claims {
		if unit < Units && a.holdings[unit].vm == "" {
			m.units = append(m.units, unit)
			// The VM's lease ends before, also if it is not renewed.
			a.holdings[unit] = holding{vm: vm, until: now.Add(LeaseTTL + clockMargin)}
		}
	}
}

// fairShare returns the number of units of each VM, rounded up.
func (a *Allocator) fairShare() int { return (Units + len(a.members) - 1) / len(a.members) }

// dropExcess stops renewing what a VM holds beyond its share, at first in groups in which it holds the most. It may use these
// units until their leases end.
func (a *Allocator) dropExcess(m *member) {
	if fair := a.fairShare(); len(m.units) > fair {
		m.units = spread(nil, m.units)[:fair]
	}
}

// assign leases free units to a VM up to its share, at first in groups in which it holds the fewest.
func (a *Allocator) assign(now model.Instant, m *member) {
	missing := a.fairShare() - len(m.units)
	if missing <= 0 || now < a.noneFreeBefore {
		return
	}
	// VMs that search from different units take units of different groups.
	offset := int(m.version % Units)
	earliest := now.Add(LeaseTTL)
	var free []Unit
	for i := range Units {
		unit := Unit((offset + i) % Units)
		if freeAt := a.freeAt(unit); freeAt > now {
			earliest = min(earliest, freeAt)
			continue
		}
		free = append(free, unit)
	}
	if len(free) == 0 {
		a.noneFreeBefore = earliest
		return
	}
	free = spread(m.units, free)
	m.units = append(m.units, free[:min(missing, len(free))]...)
}

// spread sorts units by how many units of their groups come before them, with those held first of all.
func spread(held, units []Unit) []Unit {
	var before [Groups]int
	for _, unit := range held {
		before[unit.Group()]++
	}
	var byCount [UnitsPerGroup][]Unit
	for _, unit := range units {
		byCount[before[unit.Group()]] = append(byCount[before[unit.Group()]], unit)
		before[unit.Group()]++
	}
	return slices.Concat(byCount[:]...)
}

// freeAt returns when a unit may be leased to another VM if its lease is not renewed; 0 if it has had none in this term.
func (a *Allocator) freeAt(unit Unit) model.Instant {
	held := a.holdings[unit]
	if held.vm == "" {
		return 0
	}
	return held.until.Add(restTime)
}
