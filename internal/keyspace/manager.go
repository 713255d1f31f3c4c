package keyspace

import (
	"slices"
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/fleet"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

// rangeID identifies a range by its service, keys and fence.
type rangeID struct {
	service model.Service
	from    int
	to      int
	fence   uint64
}

func rangeIDOf(r *Range) rangeID {
	return rangeID{service: r.Service, from: r.From, to: r.To, fence: r.Fence}
}

// commandState tracks the commands that this process sends for one range.
type commandState struct {
	inFlight bool
	// nextGrantAt is the earliest time of the next grant to the owner.
	nextGrantAt model.Instant
	// failures counts consecutive failed grants.
	failures int
	// connectionID identifies the connection over which the owner was granted the range under the current fence; 0 if it
	// was not.
	connectionID uint64
	// fenceIncrement is added to the range's fence. A grant that follows a failed one has a higher fence, because the
	// target may have restarted in between, and its new incarnation may get a key only under a higher fence.
	fenceIncrement uint64
	// fencedAt is when the owner rejected the range's fence as too low; 0 if it did not.
	fencedAt model.Instant
	// released holds the previous holders that have released the range.
	released map[fleet.Incarnation]bool
	// nextReleaseAt maps the previous holders to the earliest time of the next release command.
	nextReleaseAt map[fleet.Incarnation]model.Instant
	handover      string
}

// endedGrant is the outcome of a grant and when it ended.
type endedGrant struct {
	at      model.Instant
	outcome Outcome
}

// Manager is the state machine of one VM. All methods must be called by one goroutine.
type Manager struct {
	settings Settings
	self     string
	address  string
	random   func() uint64

	table *Table
	// eraKnown is true once this process has learned an era of the store.
	eraKnown bool
	// eraChanged is true until the first step after a later era was learned, and eraSince is when that step was.
	eraChanged bool
	eraSince   model.Instant
	// unconfirmedUntil is the time until which leaders of earlier eras that this process does not know may have made grants that
	// are valid; 0 unless this process is the leader and its table is unconfirmed.
	unconfirmedUntil model.Instant
	// formerConfirmedAt is confirmedAt as it was when the first era ended whose fences the table still has.
	formerConfirmedAt model.Instant
	// elected is true while the store names this VM as the one that may claim leadership.
	elected bool
	// nextOffset is the position at which the next record of the table's topic is written.
	nextOffset uint64
	// confirmedAt is when this VM last confirmed in the store that the table is the newest.
	confirmedAt  model.Instant
	view         View
	viewKnown    bool
	incarnations incarnationsByID
	// keyed holds the services whose keys are assigned.
	keyed map[model.Service]bool
	loads map[model.Service]*Load

	// pending is a table whose write has not been confirmed yet. It is nil if it is certain that no such write takes effect.
	pending         *Table
	pendingInFlight bool
	// pendingUnanswered is true if an attempt to write pending got no response.
	pendingUnanswered bool
	// conflictAt is when the write of pending conflicted with a record that this VM has not read yet; 0 if it did not.
	conflictAt    model.Instant
	nextAppend    model.Instant
	commandStates map[rangeID]*commandState
	// holdUntil maps each incarnation to the time until which its grants may be valid.
	holdUntil map[fleet.Incarnation]model.Instant
	// undelivered maps the incarnations that a grant without a response may still reach to when the last such grant ended.
	undelivered map[fleet.Incarnation]model.Instant
	// regions holds the region of each incarnation that was registered since this process started.
	regions map[fleet.Incarnation]model.Region
	// lastGrants holds the end of the last grant to each incarnation, for logs.
	lastGrants map[fleet.Incarnation]endedGrant
	// unresponsive maps the incarnations that get no grants after repeated failures to the time of the last failure.
	unresponsive map[fleet.Incarnation]model.Instant
	// terminated maps the incarnations that are known to have terminated to the time at which this VM detected it.
	terminated    map[fleet.Incarnation]model.Instant
	lastRebalance model.Instant
	// formerGrantsUntil is the time until which leaders before this process may make grants.
	formerGrantsUntil model.Instant
	resigning         bool
	// changed is true if ranges have been marked ready in memory since the table was written.
	changed bool
	// grantsInFlight counts the grants to each incarnation whose outcome has not been reported yet.
	grantsInFlight map[fleet.Incarnation]int
	// connectedAt holds, for each incarnation whose last grant was Unconfirmed, an instant by which the connection was open.
	connectedAt map[fleet.Incarnation]model.Instant
	// confirmationDue is true if the last step held grants back until the table has been confirmed once more.
	confirmationDue bool
	// firstGrants holds when the grants over new connections were issued that are recent and unanswered, in order.
	firstGrants []model.Instant
	// heardLeader is the leader that was alive at heardAt, as what it relayed showed; "" if none was heard.
	heardLeader string
	heardAt     model.Instant
	// settling is true from a claim that marked the ranges as not ready until the next write of the table.
	settling bool
}

// New returns the state machine of the process named self. Other VMs send load reports to address, IP:port. random
// returns nonces.
func New(settings Settings, self, address string, random func() uint64) *Manager {
	return &Manager{
		settings: settings, self: self, address: address, random: random, table: &Table{}, incarnations: incarnationsByID{},
		loads: map[model.Service]*Load{}, commandStates: map[rangeID]*commandState{},
		holdUntil: map[fleet.Incarnation]model.Instant{}, unresponsive: map[fleet.Incarnation]model.Instant{},
		lastGrants: map[fleet.Incarnation]endedGrant{}, undelivered: map[fleet.Incarnation]model.Instant{},
		regions:        map[fleet.Incarnation]model.Region{},
		terminated:     map[fleet.Incarnation]model.Instant{},
		grantsInFlight: map[fleet.Incarnation]int{}, connectedAt: map[fleet.Incarnation]model.Instant{},
	}
}

// Table returns the newest known table. The caller must not modify it.
func (m *Manager) Table() *Table { return m.table }

// IsLeader reports whether this process is the leader and may make grants now.
func (m *Manager) IsLeader(now model.Instant) bool {
	return m.table.Leader == m.self && !m.table.Resigned && now.Sub(m.confirmedAt) < m.settings.LeadershipTimeout
}

// FormerGrantsUntil returns the time until which leaders before this process may make grants.
func (m *Manager) FormerGrantsUntil() model.Instant { return m.formerGrantsUntil }

// SetElected sets whether this VM is the one that may claim leadership, as elected in the store.
func (m *Manager) SetElected(elected bool) { m.elected = elected }

// SetView replaces the view of the configured services and registered targets.
func (m *Manager) SetView(view View) {
	m.view = view
	m.viewKnown = true
	m.keyed = make(map[model.Service]bool, len(view.Services))
	for _, service := range view.Services {
		m.keyed[service] = true
	}
	m.incarnations = make(incarnationsByID, len(view.Candidates))
	for i := range view.Candidates {
		incarnation := view.Candidates[i].Incarnation
		m.incarnations[incarnation.ID] = incarnation
		m.regions[incarnation] = view.Candidates[i].Region
	}
}

// SetLoad sets the load of a service's keys.
func (m *Manager) SetLoad(service model.Service, load *Load) { m.loads[service] = load }

// Resign makes the process give up leadership as soon as no grant is in flight, and never claim it again.
func (m *Manager) Resign() { m.resigning = true }

// Resigned reports whether the table shows that this process is not the leader, so that it makes no more grants.
func (m *Manager) Resigned() bool { return m.table.Leader != m.self || m.table.Resigned }

// TableRead reports the newest table in the store at an instant at which the topic ended at the position end. A nil table
// means that no newer table than the known one could be read.
func (m *Manager) TableRead(at model.Instant, table *Table, end uint64) {
	m.advance(end)
	if table != nil {
		m.replaceTable(at, table)
	}
	if !m.hasUndecodedRecord() && model.EraOf(end) == model.EraOf(m.nextOffset) {
		m.confirm(at)
	}
	if m.conflictAt != 0 && at >= m.conflictAt {
		m.dropPending()
	}
}

// advance records that the topic ends at a position or after it.
func (m *Manager) advance(end uint64) {
	if era := model.EraOf(end); era > model.EraOf(m.nextOffset) {
		m.beginEra(era)
	}
	m.eraKnown = true
	m.nextOffset = max(m.nextOffset, end)
}

// beginEra ends what rests on the records of earlier eras. A store that states its era starts in era 1, so a process that starts in it
// and finds no table takes none for lost.
func (m *Manager) beginEra(era uint64) {
	if !m.eraKnown && era == 1 && m.table.Leader == "" {
		m.table.Offset = model.PositionAt(era, 0)
		return
	}
	if m.unconfirmedUntil == 0 {
		m.formerConfirmedAt = m.confirmedAt
	}
	m.eraChanged = true
	m.dropPending()
	if m.resigning && m.table.Leader == m.self {
		// The resignation may have been written, and another leader may have trusted it.
		m.table.Resigned = true
	}
}

// isOfFormerEra reports whether the known table is of an earlier era than the topic.
func (m *Manager) isOfFormerEra() bool {
	return model.EraOf(m.table.Offset) < model.EraOf(m.nextOffset)
}

// hasFormerFence reports whether a range has a fence of an earlier era than the table.
func (m *Manager) hasFormerFence(r *Range) bool {
	return r.Fence < fenceAt(model.PositionAt(model.EraOf(m.table.Offset), 0))
}

// fenceConfirmedAt returns an instant until which no other leader had granted a range under a higher fence.
func (m *Manager) fenceConfirmedAt(r *Range) model.Instant {
	if m.hasFormerFence(r) {
		return m.formerConfirmedAt
	}
	return m.confirmedAt
}

// isUnconfirmed reports whether the connections to the owner of a range may have been opened after its fence was confirmed. Another
// leader may have granted the keys to an earlier process of the owner then, of which the present one knows nothing.
func (m *Manager) isUnconfirmed(r *Range) bool {
	connectedAt, found := m.connectedAt[r.Owner.Incarnation]
	return found && connectedAt >= m.fenceConfirmedAt(r)
}

// hasExpiredFence reports whether a range needs a fence of the present era, because its connection is lost and the fence of an
// earlier era allows no grant over another one.
func (m *Manager) hasExpiredFence(r *Range, state *commandState) bool {
	return m.hasFormerFence(r) && state.connectionID == 0 && !state.inFlight && m.isUnconfirmed(r)
}

// ConfirmationDue reports whether grants over new connections wait until the table has been read once more.
func (m *Manager) ConfirmationDue() bool { return m.confirmationDue }

// trackUnconfirmed updates for how long unknown leaders of earlier eras count after the table has been replaced.
func (m *Manager) trackUnconfirmed() {
	if m.table.Leader != m.self || !m.table.Unconfirmed {
		m.unconfirmedUntil = 0
		return
	}
	m.formerGrantsUntil = max(m.formerGrantsUntil, m.eraSince.Add(m.settings.contactBound()))
	m.unconfirmedUntil = max(m.unconfirmedUntil, m.formerGrantsUntil.Add(m.settings.holdBound()))
	m.extendHold(unknownHolder.Incarnation, m.unconfirmedUntil)
}

// hasUndecodedRecord reports whether the topic ends after the known table. The records in between could not be decoded, and one
// may be the table of another leader.
func (m *Manager) hasUndecodedRecord() bool { return m.nextOffset > m.table.Offset+1 }

// TableReceived reports a table that this process received at an instant. How old the table was is not known, so it does not
// confirm leadership.
func (m *Manager) TableReceived(now model.Instant, table *Table) {
	m.advance(table.Offset + 1)
	m.replaceTable(now, table)
}

// LeaderHeard reports an instant at which a leader was alive and able to renew grants, as a table that it relayed shows.
func (m *Manager) LeaderHeard(at model.Instant, leader string) {
	if leader != m.heardLeader {
		m.heardLeader, m.heardAt = leader, at
	}
	m.heardAt = max(m.heardAt, at)
}

// holdsInForce reports whether this process has evidence that the leader of the known table renewed its grants within the
// hold time, so that owners hold the ranges that the table shows as ready.
func (m *Manager) holdsInForce(now model.Instant) bool {
	return m.table.Leader != "" && m.heardLeader == m.table.Leader && now.Sub(m.heardAt) < m.settings.Hold
}

// Unready returns the number of ranges whose owners have not been granted them yet, as far as this process knows.
func (m *Manager) Unready() int {
	count := 0
	for i := range m.table.Ranges {
		if !m.table.Ranges[i].Ready {
			count++
		}
	}
	return count
}

// confirm records an instant at which the table was the newest in the store.
func (m *Manager) confirm(at model.Instant) { m.confirmedAt = max(m.confirmedAt, at) }

// replaceTable adopts a table unless it is the known one or older.
func (m *Manager) replaceTable(at model.Instant, table *Table) {
	if table.Offset < m.table.Offset && m.table.Leader != "" {
		return
	}
	if table.Offset == m.table.Offset && table.Nonce == m.table.Nonce && m.table.Leader != "" {
		return
	}
	m.adopt(at, table)
}

// adopt replaces the table. When leadership passes to this process, also from itself after records that it does not know, it extends
// the hold of every holder, because former leaders may have granted them their keys until they resigned or their leadership timed out.
func (m *Manager) adopt(at model.Instant, table *Table) {
	former := m.table
	m.table = table
	m.changed = false
	m.carryOverReady(former)
	if m.pending != nil && table.Offset >= m.pending.Offset {
		m.dropPending()
	}
	m.dropCommandStates()
	m.trackUnconfirmed()
	isWrittenBack := table.Unconfirmed && model.EraOf(table.Offset) > model.EraOf(former.Offset)
	if table.Leader != m.self || former.Leader == m.self && (isWrittenBack || table.Offset == former.Offset+1) {
		return
	}
	m.settling = len(table.Ranges) > 0 && m.Unready() == len(table.Ranges)
	m.formerGrantsUntil = at.Add(former.FormerGrants)
	if !former.Resigned || table.Offset != former.Offset+1 {
		// The former leader, or one whose table could not be decoded, has not resigned.
		m.formerGrantsUntil = at.Add(m.settings.contactBound())
	}
	bound := m.formerGrantsUntil.Add(m.settings.holdBound())
	for i := range table.Ranges {
		r := &table.Ranges[i]
		m.extendHold(r.Owner.Incarnation, bound)
		for _, previous := range r.Previous {
			m.extendHold(previous.Incarnation, bound)
		}
	}
}

// carryOverReady keeps the Ready marks that were set while the new table was being written.
func (m *Manager) carryOverReady(former *Table) {
	ready := map[rangeID]bool{}
	for i := range former.Ranges {
		if r := &former.Ranges[i]; r.Ready {
			ready[rangeIDOf(r)] = true
		}
	}
	for i := range m.table.Ranges {
		r := &m.table.Ranges[i]
		if !r.Ready && ready[rangeIDOf(r)] && m.table.Leader == m.self {
			r.Ready = true
			r.Previous = nil
			m.changed = true
		}
	}
}

func (m *Manager) extendHold(incarnation fleet.Incarnation, until model.Instant) {
	if until > m.holdUntil[incarnation] {
		m.holdUntil[incarnation] = until
	}
}

// dropCommandStates removes the state of ranges that the table no longer has.
func (m *Manager) dropCommandStates() {
	known := make(map[rangeID]bool, len(m.table.Ranges))
	for i := range m.table.Ranges {
		known[rangeIDOf(&m.table.Ranges[i])] = true
	}
	for key := range m.commandStates {
		if !known[key] {
			delete(m.commandStates, key)
		}
	}
}

func (m *Manager) stateOf(r *Range) *commandState {
	key := rangeIDOf(r)
	state := m.commandStates[key]
	if state == nil {
		state = &commandState{released: map[fleet.Incarnation]bool{}, nextReleaseAt: map[fleet.Incarnation]model.Instant{}}
		m.commandStates[key] = state
	}
	return state
}

// Step returns the commands that are due. The caller executes them and reports each outcome.
func (m *Manager) Step(now model.Instant) []Command {
	var commands []Command
	if m.eraChanged {
		m.eraChanged, m.eraSince = false, now
	}
	m.expireTargetMarks(now)
	m.forgetFirstGrants(now)
	m.confirmationDue = false
	if m.IsLeader(now) {
		commands = m.stepCommands(now, commands)
	}
	for i := range commands {
		commands[i].issuedAt = now
	}
	if command, due := m.stepTable(now); due {
		commands = append(commands, command)
	}
	return commands
}

// stepTable returns the next write of the table, if one is due. A write whose response was lost is repeated unchanged
// until the store shows whether it took effect.
func (m *Manager) stepTable(now model.Instant) (Command, bool) {
	if m.pendingInFlight || m.conflictAt != 0 || now < m.nextAppend && !m.isSettled() {
		return Command{}, false
	}
	if m.pending == nil {
		m.pending = m.plan(now)
	}
	if m.pending == nil {
		return Command{}, false
	}
	m.pendingInFlight = true
	return Command{Kind: AppendTable, Append: m.pending, AsOf: m.pending.Offset}, true
}

// isSettled reports whether all grants under a claim without ready ranges have been answered, apart from those of silent targets.
// The ranges are then published before the interval between two writes has passed, because no requests are sent for them before.
func (m *Manager) isSettled() bool {
	return m.settling && m.changed && len(m.firstGrants) == 0 && !m.confirmationDue
}

// Appended reports that a write of the table that was sent at the instant started took effect. Its response may have been
// delayed, so the table may have been replaced since.
func (m *Manager) Appended(started, now model.Instant, table *Table) {
	m.pendingInFlight = false
	m.dropPending()
	if model.EraOf(table.Offset) < model.EraOf(m.nextOffset) {
		// The store has lost the record since, or nobody knows whether it has.
		return
	}
	m.confirm(started)
	m.advance(table.Offset + 1)
	m.nextAppend = now.Add(time.Duration(len(table.Ranges)) * m.settings.WriteIntervalPerRange)
	m.settling = false
	m.replaceTable(now, table)
}

// AppendFailed reports that a write of the table was not confirmed. The table stays pending while an attempt to write it may
// have taken effect, which limits what may be granted.
func (m *Manager) AppendFailed(now model.Instant, failure AppendFailure) {
	m.pendingInFlight = false
	m.nextAppend = now.Add(m.settings.RetryEvery)
	if m.pending == nil {
		return
	}
	switch failure {
	case AppendUnanswered:
		m.pendingUnanswered = true
	case AppendConflict:
		m.conflictAt = now
	case AppendNotExecuted:
		if !m.pendingUnanswered {
			m.dropPending()
		}
	}
}

// dropPending forgets the pending table, because it is known whether it took effect.
func (m *Manager) dropPending() {
	m.pending, m.pendingUnanswered, m.conflictAt = nil, false, 0
}

// stepCommands appends the grants and releases that are due. A range is granted only after its previous holders have
// released it or can no longer hold it.
func (m *Manager) stepCommands(now model.Instant, commands []Command) []Command {
	for i := range m.table.Ranges {
		r := &m.table.Ranges[i]
		state := m.stateOf(r)
		if !m.previousReleased(now, r, state) {
			commands = m.stepReleases(now, r, state, commands)
			continue
		}
		if command, due := m.stepGrant(now, r, state); due {
			commands = append(commands, command)
		}
	}
	return commands
}

// previousReleased reports whether no previous holder can hold keys of the range.
func (m *Manager) previousReleased(now model.Instant, r *Range, state *commandState) bool {
	for _, previous := range r.Previous {
		if !state.released[previous.Incarnation] && !m.holdEnded(now, previous.Incarnation) {
			return false
		}
	}
	return true
}

// holdEnded reports whether an incarnation can no longer hold any key: all its grants have expired, or another target
// has responded at its address. A later incarnation with the same ID is not sufficient, because a delayed grant to the
// earlier incarnation may have reached the later one.
func (m *Manager) holdEnded(now model.Instant, incarnation fleet.Incarnation) bool {
	if _, terminated := m.terminated[incarnation]; terminated {
		return true
	}
	return m.grantsInFlight[incarnation] == 0 && now >= m.holdEnd(incarnation)
}

// holdEnd returns when all grants to an incarnation have expired, apart from grants in flight.
func (m *Manager) holdEnd(incarnation fleet.Incarnation) model.Instant {
	end := m.holdUntil[incarnation]
	if ended, found := m.undelivered[incarnation]; found {
		end = max(end, ended.Add(m.settings.MaxDelivery+m.settings.holdBound()))
	}
	return end
}

// recordResponse notes the response to a command, if there was one. Messages from this VM to a region wait in the same queues, so
// all grants to the target's region that had ended when the command was issued count as delivered.
func (m *Manager) recordResponse(now model.Instant, command Command, outcome Outcome) {
	if !outcome.provesDelivery() {
		return
	}
	region := m.regions[command.Target.Incarnation]
	for incarnation, ended := range m.undelivered {
		samePath := incarnation == command.Target.Incarnation || region != "" && m.regions[incarnation] == region
		if samePath && ended <= command.issuedAt {
			delete(m.undelivered, incarnation)
			m.extendHold(incarnation, now.Add(m.settings.holdBound()))
		}
	}
}

// undeliveredUntil returns the time until which any unanswered grant of this process may be delivered; 0 if there is none.
func (m *Manager) undeliveredUntil() model.Instant {
	until := model.Instant(0)
	for _, ended := range m.undelivered {
		until = max(until, ended.Add(m.settings.MaxDelivery))
	}
	return until
}

func (m *Manager) stepReleases(now model.Instant, r *Range, state *commandState, commands []Command) []Command {
	for _, previous := range r.Previous {
		if previous == unknownHolder || state.released[previous.Incarnation] || m.holdEnded(now, previous.Incarnation) ||
			now < state.nextReleaseAt[previous.Incarnation] {
			continue
		}
		// The target responds only after its running requests have ended, so the next release waits for the outcome.
		state.nextReleaseAt[previous.Incarnation] = now.Add(time.Hour)
		commands = append(commands, Command{
			Kind: ReleaseKeys, Service: r.Service, Target: previous, From: r.From, To: r.To,
			Fence: r.Fence, recordFence: r.Fence,
		})
	}
	return commands
}

// stepGrant returns the next grant of a range to its owner, if one is due.
func (m *Manager) stepGrant(now model.Instant, r *Range, state *commandState) (Command, bool) {
	if state.inFlight || state.fencedAt != 0 || now < state.nextGrantAt {
		return Command{}, false
	}
	if m.isTerminated(r.Owner.Incarnation) || m.awaitsMove(now, r) || !m.mayGrant(r) {
		return Command{}, false
	}
	if current, found := m.incarnations[r.Owner.Incarnation.ID]; found && current != r.Owner.Incarnation {
		return Command{}, false
	}
	if state.connectionID == 0 {
		if m.isUnconfirmed(r) {
			// No read confirms the fence of an earlier era.
			m.confirmationDue = m.confirmationDue || !m.hasFormerFence(r)
			return Command{}, false
		}
		if len(m.firstGrants) >= m.settings.MaxFirstGrants {
			return Command{}, false
		}
		m.firstGrants = append(m.firstGrants, now)
	}
	state.inFlight = true
	m.grantsInFlight[r.Owner.Incarnation]++
	return Command{
		Kind: GrantKeys, Service: r.Service, Target: r.Owner, From: r.From, To: r.To,
		Fence: r.Fence + state.fenceIncrement, recordFence: r.Fence, Handover: state.handover, ConnectionID: state.connectionID,
		ConnectedBefore: m.fenceConfirmedAt(r),
		Unreleased:      m.unreleased(now, r, state),
	}, true
}

// awaitsMove reports whether a range gets no grant because its owner is unresponsive. If its service has no other target, the owner is
// asked again: nothing but its response can show that it is back.
func (m *Manager) awaitsMove(now model.Instant, r *Range) bool {
	since, unresponsive := m.unresponsive[r.Owner.Incarnation]
	return unresponsive && (m.hasUsableTarget(r.Service) || now.Sub(since) < m.settings.UnresponsiveRetry)
}

// hasUsableTarget reports whether a target of a service may be assigned keys.
func (m *Manager) hasUsableTarget(service model.Service) bool {
	return slices.ContainsFunc(m.view.Candidates, func(c Candidate) bool { return c.Service == service && m.isUsable(&c) })
}

// isUsable reports whether a target may be assigned keys.
func (m *Manager) isUsable(candidate *Candidate) bool {
	return candidate.Usable && !m.isUnresponsive(candidate.Incarnation) && !m.isTerminated(candidate.Incarnation)
}

// forgetFirstGrants removes the grants that have been unanswered for a while from firstGrants: silent targets must not delay
// the grants to others.
func (m *Manager) forgetFirstGrants(now model.Instant) {
	recent := 0
	for recent < len(m.firstGrants) && now.Sub(m.firstGrants[recent]) >= m.settings.FirstGrantWindow {
		recent++
	}
	m.firstGrants = append(m.firstGrants[:0], m.firstGrants[recent:]...)
}

// firstGrantEnded removes a grant that was issued at an instant from firstGrants.
func (m *Manager) firstGrantEnded(issuedAt model.Instant) {
	if i, found := slices.BinarySearch(m.firstGrants, issuedAt); found {
		m.firstGrants = slices.Delete(m.firstGrants, i, i+1)
	}
}

// unreleased returns the previous holders that have not released a range.
func (m *Manager) unreleased(now model.Instant, r *Range, state *commandState) []UnreleasedHolder {
	var holders []UnreleasedHolder
	for _, previous := range r.Previous {
		incarnation := previous.Incarnation
		if state.released[incarnation] {
			continue
		}
		holder := UnreleasedHolder{Target: incarnation.ID, Terminated: m.isTerminated(incarnation)}
		if end := m.holdEnd(incarnation); end != 0 {
			holder.HoldEnded = now.Sub(end)
		}
		if last, granted := m.lastGrants[incarnation]; granted {
			holder.Granted, holder.LastGrant, holder.LastGrantAge = true, last.outcome, now.Sub(last.at)
		}
		holders = append(holders, holder)
	}
	return holders
}

// mayGrant reports whether the state of this process and of its table allows a range to be granted. A resigning leader renews
// no grants, because it can resign only while none is in flight. It makes none at all while its resignation is being
// written, which may have taken effect already.
func (m *Manager) mayGrant(r *Range) bool {
	if m.resigning && (r.Ready || m.pending != nil && m.pending.Resigned) {
		return false
	}
	return m.keyed[r.Service] && !m.isBeingDropped(r)
}

// isBeingDropped reports whether the table that is being written does not assign the keys of a range. Nobody may get them
// before that table is replaced, because its successor treats them as held by nobody.
func (m *Manager) isBeingDropped(r *Range) bool {
	return m.pending != nil && m.pending.Find(r.Service, r.From) == nil
}

// expireTargetMarks removes old marks, so that unresponsive targets are tried again.
func (m *Manager) expireTargetMarks(now model.Instant) {
	for incarnation, since := range m.unresponsive {
		if now.Sub(since) >= m.settings.UnresponsiveCooldown {
			delete(m.unresponsive, incarnation)
		}
	}
	for incarnation, ended := range m.undelivered {
		if now.Sub(ended) >= m.settings.MaxDelivery {
			delete(m.undelivered, incarnation)
			m.extendHold(incarnation, ended.Add(m.settings.MaxDelivery+m.settings.holdBound()))
		}
	}
	for incarnation, since := range m.terminated {
		if now.Sub(since) >= terminatedRetention {
			delete(m.terminated, incarnation)
		}
	}
	for incarnation, at := range m.connectedAt {
		if now.Sub(at) >= terminatedRetention {
			delete(m.connectedAt, incarnation)
		}
	}
}

// terminatedRetention is how long it is remembered that an incarnation has terminated, or that a connection to it was opened: longer
// than any grant is valid.
const terminatedRetention = time.Minute

func (m *Manager) isTerminated(incarnation fleet.Incarnation) bool {
	_, terminated := m.terminated[incarnation]
	return terminated
}

func (m *Manager) isUnresponsive(incarnation fleet.Incarnation) bool {
	_, unresponsive := m.unresponsive[incarnation]
	return unresponsive
}

// GrantEnded reports the outcome of a grant, and the connection over which its response came if that stays open, or 0.
func (m *Manager) GrantEnded(now model.Instant, command Command, outcome Outcome, connection uint64) {
	incarnation := command.Target.Incarnation
	m.lastGrants[incarnation] = endedGrant{at: now, outcome: outcome}
	if command.ConnectionID == 0 {
		m.firstGrantEnded(command.issuedAt)
	}
	m.grantsInFlight[incarnation]--
	if m.grantsInFlight[incarnation] <= 0 {
		delete(m.grantsInFlight, incarnation)
	}
	if outcome.mayHaveTakenEffect() {
		m.extendHold(incarnation, now.Add(m.settings.holdBound()))
	}
	switch outcome {
	case Unresponsive:
		m.undelivered[incarnation] = now
	case Unconfirmed:
		m.connectedAt[incarnation] = now
	case Done:
		delete(m.connectedAt, incarnation)
		delete(m.unresponsive, incarnation)
	}
	m.recordResponse(now, command, outcome)
	if outcome == Replaced {
		m.terminated[incarnation] = now
	}
	if r := m.find(command); r != nil && r.Owner.Incarnation == incarnation {
		m.recordGrantOutcome(now, r, command, outcome, connection)
	}
}

// recordGrantOutcome applies the outcome of a grant to its range.
func (m *Manager) recordGrantOutcome(now model.Instant, r *Range, command Command, outcome Outcome, connection uint64) {
	state := m.stateOf(r)
	state.inFlight = false
	switch outcome {
	case Done:
		state.failures = 0
		state.setConnection(connection)
		state.handover = ""
		state.nextGrantAt = now.Add(m.settings.RenewEvery)
		state.fencedAt = 0
		if !r.Ready {
			m.changed = true
			m.markReady(r)
		}
	case Fenced:
		state.fencedAt = now
	case Disconnected:
		state.incrementFence()
		state.nextGrantAt = now
	case Unconfirmed:
		state.nextGrantAt = now
	case Replaced:
	default:
		m.grantFailed(now, command.Target.Incarnation, state, outcome)
	}
}

// grantFailed schedules the next attempt of a failed grant. After repeated failures it marks the target as
// unresponsive.
func (m *Manager) grantFailed(now model.Instant, incarnation fleet.Incarnation, state *commandState, outcome Outcome) {
	state.incrementFence()
	// The handover may be the cause of the failure: a target may reject one that it cannot use.
	state.handover = ""
	state.failures++
	state.nextGrantAt = now.Add(m.settings.RetryEvery)
	if outcome == Unresponsive && state.failures >= maxGrantsWithoutResponse || state.failures >= maxFailedGrants {
		m.unresponsive[incarnation] = now
	}
	if outcome == Unresponsive && state.failures < maxGrantsWithoutResponse {
		state.nextGrantAt = now
	}
}

const (
	// maxGrantsWithoutResponse is the number of consecutive failed grants after which a target's keys are moved if the
	// last one got no response. A single one may be due to a broken connection; the next one uses a new connection.
	maxGrantsWithoutResponse = 2
	// maxFailedGrants is the number of consecutive failed grants of any kind after which a target's keys are moved. One
	// refused connection is not enough, because a host also refuses connections above the target's limit.
	maxFailedGrants = 3
	// fenceStride is the distance between the fences of two successive records. Within it, the leader increases fences
	// without writing a record, so that it can renew grants while the store is unavailable.
	fenceStride       = 1 << 16
	maxFenceIncrement = fenceStride - 1
)

// markReady records in memory that the owner holds the keys. The next write of the table publishes it to other VMs.
func (m *Manager) markReady(r *Range) {
	state := m.stateOf(r)
	state.nextReleaseAt = nil
	r.Ready = true
	r.Previous = nil
}

// ReleaseEnded reports the outcome of a release.
func (m *Manager) ReleaseEnded(now model.Instant, command Command, outcome Outcome, handover string) {
	m.recordResponse(now, command, outcome)
	r := m.find(command)
	if r == nil {
		return
	}
	state := m.stateOf(r)
	incarnation := command.Target.Incarnation
	if outcome == Replaced {
		m.terminated[incarnation] = now
		return
	}
	if outcome == Done {
		delete(m.unresponsive, incarnation)
		state.released[incarnation] = true
		if handover != "" {
			state.handover = handover
		}
		return
	}
	if state.nextReleaseAt != nil {
		state.nextReleaseAt[incarnation] = now.Add(m.settings.RetryEvery)
	}
}

// incrementFence gives the next grant a higher fence, up to the limit of fenceStride, and lets it use any connection.
func (s *commandState) incrementFence() {
	s.fenceIncrement = min(s.fenceIncrement+1, maxFenceIncrement)
	s.connectionID = 0
}

// setConnection records the connection of a successful grant. Without one the next grant gets a higher fence.
func (s *commandState) setConnection(connection uint64) {
	if connection == 0 {
		s.incrementFence()
		return
	}
	s.connectionID = connection
}

func (m *Manager) find(command Command) *Range {
	for i := range m.table.Ranges {
		r := &m.table.Ranges[i]
		if r.Service == command.Service && r.Fence == command.recordFence && r.From == command.From && r.To == command.To {
			return r
		}
	}
	return nil
}
