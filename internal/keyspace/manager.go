package keyspace

import (
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/fleet"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

// span identifies a range by its keys and fence.
type span struct {
	service model.Service
	from    int
	to      int
	fence   uint64
}

func spanOf(r *Range) span {
	return span{service: r.Service, from: r.From, to: r.To, fence: r.Fence}
}

// orderState is what this process knows of the orders for one range.
type orderState struct {
	inFlight bool
	// nextGrant is when the owner's grant is sent again.
	nextGrant model.Instant
	// failures counts grants in a row that the owner did not answer.
	failures int
	// connection is the one over which the owner was granted the range under the present fence; 0 if it was not.
	connection uint64
	// raised is added to the range's fence. A grant that follows a failed one has a higher fence, as the target may have
	// started anew in between, and its new life may get a key only under a higher fence.
	raised uint64
	// fencedAt is when the owner refused the range's fence; 0 if it did not.
	fencedAt model.Instant
	// released lists the previous holders that have given up the range.
	released map[fleet.Incarnation]bool
	// releasing maps the previous holders to the time of the next release.
	releasing map[fleet.Incarnation]model.Instant
	handover  string
}

// Manager is the state machine of one VM. All methods must be called by one goroutine.
type Manager struct {
	settings Settings
	self     string
	address  string
	random   func() uint64

	table *Table
	// chosen is true while the store names this VM for the leader's office.
	chosen bool
	// end is the offset at which the next record of the table's topic is written.
	end uint64
	// confirmed is when this VM last saw in the store that the table is the newest.
	confirmed model.Instant
	view      View
	viewKnown bool
	lives     lifetimes
	// keyed holds the services whose keys are assigned.
	keyed map[model.Service]bool
	loads map[model.Service]*Load

	// pending is a table whose write is not settled.
	pending       *Table
	pendingFlying bool
	nextAppend    model.Instant
	orders        map[span]*orderState
	holdUntil     map[fleet.Incarnation]model.Instant
	silent        map[fleet.Incarnation]model.Instant
	// over holds the lives that are known to have ended, and since when.
	over           map[fleet.Incarnation]model.Instant
	lastRebalance  model.Instant
	resigning      bool
	changed        bool
	flightsByLives map[fleet.Incarnation]int
}

// New returns the state machine of the process named self, which takes reports at an address. random yields nonces.
func New(settings Settings, self, address string, random func() uint64) *Manager {
	return &Manager{
		settings: settings, self: self, address: address, random: random, table: &Table{}, lives: lifetimes{},
		loads: map[model.Service]*Load{}, orders: map[span]*orderState{},
		holdUntil: map[fleet.Incarnation]model.Instant{}, silent: map[fleet.Incarnation]model.Instant{},
		over:           map[fleet.Incarnation]model.Instant{},
		flightsByLives: map[fleet.Incarnation]int{},
	}
}

// Table returns the newest table known. It must not be changed.
func (m *Manager) Table() *Table { return m.table }

// IsLeader reports whether this process may make grants now.
func (m *Manager) IsLeader(now model.Instant) bool {
	return m.table.Leader == m.self && !m.table.Resigned && now.Sub(m.confirmed) < m.settings.LeadershipTimeout
}

// SetElected tells whether the store names this VM for the leader's office.
func (m *Manager) SetElected(chosen bool) { m.chosen = chosen }

// SetView tells what is registered.
func (m *Manager) SetView(view View) {
	m.view = view
	m.viewKnown = true
	m.keyed = make(map[model.Service]bool, len(view.Services))
	for _, service := range view.Services {
		m.keyed[service] = true
	}
	m.lives = make(lifetimes, len(view.Candidates))
	for i := range view.Candidates {
		life := view.Candidates[i].Incarnation
		m.lives[life.ID] = life
	}
}

// SetLoad tells the load of a service's keys.
func (m *Manager) SetLoad(service model.Service, load *Load) { m.loads[service] = load }

// Resign makes the process give up the office as soon as possible.
func (m *Manager) Resign() { m.resigning = true }

// Resigned reports whether this process holds no office and can make no more grants.
func (m *Manager) Resigned() bool { return m.table.Leader != m.self || m.table.Resigned }

// TableRead tells that the table was the newest in the store at an instant, when the topic ended at the offset end. A
// nil table means that the newest table is the one known already.
func (m *Manager) TableRead(at model.Instant, table *Table, end uint64) {
	if at > m.confirmed {
		m.confirmed = at
	}
	m.end = max(m.end, end)
	if table == nil || table.Offset < m.table.Offset && m.table.Leader != "" {
		return
	}
	if table.Offset == m.table.Offset && table.Nonce == m.table.Nonce && m.table.Leader != "" {
		return
	}
	m.adopt(at, table)
}

// adopt replaces the table. When the leader's office passes to this process, every holder may have been granted its
// keys by the former leader until its office ran out.
func (m *Manager) adopt(at model.Instant, table *Table) {
	former := m.table
	m.table = table
	m.changed = false
	m.keepReady(former)
	if m.pending != nil && table.Offset >= m.pending.Offset {
		m.pending = nil
	}
	m.dropOrders()
	if table.Leader != m.self || former.Leader == m.self {
		return
	}
	bound := at.Add(m.settings.holdBound())
	if !former.Resigned {
		bound = bound.Add(m.settings.contactBound())
	}
	for i := range table.Ranges {
		r := &table.Ranges[i]
		m.raiseHold(r.Owner.Incarnation, bound)
		for _, previous := range r.Previous {
			m.raiseHold(previous.Incarnation, bound)
		}
	}
}

// keepReady carries over marks that were made while the new table was being written.
func (m *Manager) keepReady(former *Table) {
	ready := map[span]bool{}
	for i := range former.Ranges {
		if r := &former.Ranges[i]; r.Ready {
			ready[spanOf(r)] = true
		}
	}
	for i := range m.table.Ranges {
		r := &m.table.Ranges[i]
		if !r.Ready && ready[spanOf(r)] && m.table.Leader == m.self {
			r.Ready = true
			r.Previous = nil
			m.changed = true
		}
	}
}

func (m *Manager) raiseHold(life fleet.Incarnation, until model.Instant) {
	if until > m.holdUntil[life] {
		m.holdUntil[life] = until
	}
}

// dropOrders forgets orders of ranges that the table no longer has.
func (m *Manager) dropOrders() {
	known := make(map[span]bool, len(m.table.Ranges))
	for i := range m.table.Ranges {
		known[spanOf(&m.table.Ranges[i])] = true
	}
	for key := range m.orders {
		if !known[key] {
			delete(m.orders, key)
		}
	}
}

func (m *Manager) order(r *Range) *orderState {
	key := spanOf(r)
	state := m.orders[key]
	if state == nil {
		state = &orderState{released: map[fleet.Incarnation]bool{}, releasing: map[fleet.Incarnation]model.Instant{}}
		m.orders[key] = state
	}
	return state
}

// Step returns the commands that are due. The host carries them out and reports each outcome.
func (m *Manager) Step(now model.Instant) []Command {
	var commands []Command
	m.expireSilence(now)
	if m.IsLeader(now) {
		commands = m.stepOrders(now, commands)
	}
	if command, due := m.stepTable(now); due {
		commands = append(commands, command)
	}
	return commands
}

// stepTable returns the next write of the table, if one is due. A write whose answer was lost is repeated unchanged
// until the store shows what became of it.
func (m *Manager) stepTable(now model.Instant) (Command, bool) {
	if m.pendingFlying || now < m.nextAppend {
		return Command{}, false
	}
	if m.pending == nil {
		m.pending = m.plan(now)
	}
	if m.pending == nil {
		return Command{}, false
	}
	m.pendingFlying = true
	return Command{Kind: AppendTable, Append: m.pending, AsOf: m.pending.Offset}, true
}

// Appended reports a write of the table that took effect.
func (m *Manager) Appended(now model.Instant, table *Table) {
	m.pendingFlying = false
	m.pending = nil
	m.confirmed = now
	m.end = max(m.end, table.Offset+1)
	m.adopt(now, table)
}

// AppendFailed reports a write without effect, or without an answer if unknown is true.
func (m *Manager) AppendFailed(now model.Instant, unknown bool) {
	m.pendingFlying = false
	m.nextAppend = now.Add(m.settings.RetryEvery)
	if !unknown {
		m.pending = nil
	}
}

// stepOrders sends the grants and releases that are due.
func (m *Manager) stepOrders(now model.Instant, commands []Command) []Command {
	for i := range m.table.Ranges {
		r := &m.table.Ranges[i]
		state := m.order(r)
		if !m.previousGone(now, r, state) {
			commands = m.stepReleases(now, r, state, commands)
			continue
		}
		if command, due := m.stepGrant(now, r, state); due {
			commands = append(commands, command)
		}
	}
	return commands
}

// previousGone reports whether no previous holder can hold keys of the range.
func (m *Manager) previousGone(now model.Instant, r *Range, state *orderState) bool {
	for _, previous := range r.Previous {
		if !state.released[previous.Incarnation] && !m.holdOver(now, previous.Incarnation) {
			return false
		}
	}
	return true
}

// holdOver reports whether a life can hold no key because every grant has run out. A later life of the same ID is no
// proof, as a late grant to the former life may have reached it; another target at its address is.
func (m *Manager) holdOver(now model.Instant, life fleet.Incarnation) bool {
	if _, over := m.over[life]; over {
		return true
	}
	return m.flightsByLives[life] == 0 && now >= m.holdUntil[life]
}

func (m *Manager) stepReleases(now model.Instant, r *Range, state *orderState, commands []Command) []Command {
	for _, previous := range r.Previous {
		if state.released[previous.Incarnation] || m.holdOver(now, previous.Incarnation) || now < state.releasing[previous.Incarnation] {
			continue
		}
		// The answer arrives when running work has ended, so the next release waits for the outcome.
		state.releasing[previous.Incarnation] = now.Add(time.Hour)
		commands = append(commands, Command{
			Kind: ReleaseKeys, Service: r.Service, Target: previous, From: r.From, To: r.To, Fence: r.Fence, record: r.Fence,
		})
	}
	return commands
}

func (m *Manager) stepGrant(now model.Instant, r *Range, state *orderState) (Command, bool) {
	if state.inFlight || state.fencedAt != 0 || m.isOver(r.Owner.Incarnation) || now < state.nextGrant || m.isSilent(r.Owner.Incarnation) {
		return Command{}, false
	}
	if m.resigning && r.Ready || !m.keyed[r.Service] {
		return Command{}, false
	}
	if state.connection == 0 && now.Sub(m.confirmed) >= m.settings.MaxTableAge {
		return Command{}, false
	}
	if current, found := m.lives[r.Owner.Incarnation.ID]; found && current != r.Owner.Incarnation {
		return Command{}, false
	}
	state.inFlight = true
	m.flightsByLives[r.Owner.Incarnation]++
	return Command{
		Kind: GrantKeys, Service: r.Service, Target: r.Owner, From: r.From, To: r.To,
		Fence: r.Fence + state.raised, record: r.Fence, Handover: state.handover, Connection: state.connection,
	}, true
}

// expireSilence lets targets that did not answer be tried again.
func (m *Manager) expireSilence(now model.Instant) {
	for life, since := range m.silent {
		if now.Sub(since) >= m.settings.UnresponsiveCooldown {
			delete(m.silent, life)
		}
	}
	for life, since := range m.over {
		if now.Sub(since) >= overMemory {
			delete(m.over, life)
		}
	}
}

// overMemory is how long an ended life is remembered: longer than any grant lasts.
const overMemory = time.Minute

func (m *Manager) isOver(life fleet.Incarnation) bool {
	_, over := m.over[life]
	return over
}

func (m *Manager) isSilent(life fleet.Incarnation) bool {
	_, silent := m.silent[life]
	return silent
}

// GrantEnded reports the outcome of a grant, and the connection of its answer if that stays open.
func (m *Manager) GrantEnded(now model.Instant, command Command, outcome Outcome, connection uint64) {
	life := command.Target.Incarnation
	m.flightsByLives[life]--
	if m.flightsByLives[life] <= 0 {
		delete(m.flightsByLives, life)
	}
	if outcome == Done || outcome == Unresponsive {
		m.raiseHold(life, now.Add(m.settings.holdBound()))
	}
	if outcome == Replaced {
		m.over[life] = now
	}
	if r := m.find(command); r != nil && r.Owner.Incarnation == life {
		m.ownerAnswered(now, r, command, outcome, connection)
	}
}

// ownerAnswered applies the outcome of a grant to the range that it was for.
func (m *Manager) ownerAnswered(now model.Instant, r *Range, command Command, outcome Outcome, connection uint64) {
	state := m.order(r)
	state.inFlight = false
	switch outcome {
	case Done:
		state.failures = 0
		state.connected(connection)
		state.handover = ""
		state.nextGrant = now.Add(m.settings.RenewEvery)
		state.fencedAt = 0
		if !r.Ready {
			m.changed = true
			m.markReady(r)
		}
	case Fenced:
		state.fencedAt = now
	case Disconnected:
		state.raise()
		state.nextGrant = now
	case Replaced:
	default:
		m.grantFailed(now, command.Target.Incarnation, state, outcome)
	}
}

// grantFailed decides when a failed grant is sent again, and from when on its target counts as silent.
func (m *Manager) grantFailed(now model.Instant, life fleet.Incarnation, state *orderState, outcome Outcome) {
	state.raise()
	// A target may refuse a handover that it cannot use.
	state.handover = ""
	state.failures++
	state.nextGrant = now.Add(m.settings.RetryEvery)
	if outcome == Unresponsive && state.failures >= maxSilentGrants || state.failures >= maxRefusedGrants {
		m.silent[life] = now
	}
	if outcome == Unresponsive && state.failures < maxSilentGrants {
		state.nextGrant = now
	}
}

const (
	// maxSilentGrants is the number of unanswered grants after which keys are moved. One may be due to a connection that
	// has gone silent; the next one uses a new connection.
	maxSilentGrants = 2
	// maxRefusedGrants is the number of grants in a row that a target's host may refuse before its keys are moved. A host
	// also refuses connections above the target's limit.
	maxRefusedGrants = 3
	// fenceStep is the distance between the fences of two successive records. The leader raises fences within it without
	// writing a record, so that it can renew grants while the store is away.
	fenceStep = 1 << 16
	maxRaised = fenceStep - 1
)

// markReady records in memory that the owner has taken the keys; the next write of the table tells the other VMs.
func (m *Manager) markReady(r *Range) {
	state := m.order(r)
	state.releasing = nil
	r.Ready = true
	r.Previous = nil
}

// ReleaseEnded reports the outcome of a release.
func (m *Manager) ReleaseEnded(now model.Instant, command Command, outcome Outcome, handover string) {
	r := m.find(command)
	if r == nil {
		return
	}
	state := m.order(r)
	life := command.Target.Incarnation
	if outcome == Replaced {
		m.over[life] = now
		return
	}
	if outcome == Done {
		delete(m.silent, life)
		state.released[life] = true
		if handover != "" {
			state.handover = handover
		}
		return
	}
	if state.releasing != nil {
		state.releasing[life] = now.Add(m.settings.RetryEvery)
	}
}

// raise lets the next grant have a higher fence.
func (s *orderState) raise() {
	s.raised = min(s.raised+1, maxRaised)
	s.connection = 0
}

// connected records the connection of a grant. Without one the next grant has a higher fence.
func (s *orderState) connected(connection uint64) {
	if connection == 0 {
		s.raise()
		return
	}
	s.connection = connection
}

func (m *Manager) find(command Command) *Range {
	for i := range m.table.Ranges {
		r := &m.table.Ranges[i]
		if r.Service == command.Service && r.Fence == command.record && r.From == command.From && r.To == command.To {
			return r
		}
	}
	return nil
}
