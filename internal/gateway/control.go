package gateway

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"

	"github.com/tarragonpoint/tarragonpoint/internal/keyspace"
	"github.com/tarragonpoint/tarragonpoint/internal/logging"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/registry"
	"github.com/tarragonpoint/tarragonpoint/internal/upstream"
	"github.com/tarragonpoint/tarragonpoint/platform"
)

const (
	// electionGroup and electionTopic name the store's consumer group that elects the leader: the member that is
	// assigned partition 0.
	electionGroup = "leader"
	electionTopic = "tarragonpoint.leader"
	// membershipTTL is how long a membership lasts after the member's last call; the store allows no less than 1 s.
	membershipTTL = 1200 * time.Millisecond
	// membershipInterval is the time between two membership calls. It is short enough that one lost call does not end
	// the membership.
	membershipInterval = 400 * time.Millisecond
	// leaderConnectGrace is how long VMs may take to connect to a new leader before it may be replaced.
	leaderConnectGrace = 2500 * time.Millisecond
	// lowBandwidthMbps is the link bandwidth in Mbit/s below which a VM delays its candidacy. A leader that relays 30 KB
	// to 75 VMs sends 20 Mbit for it.
	lowBandwidthMbps = 50.0
	// lowBandwidthDelay is how long such a VM waits. It covers two membership calls of a VM with more bandwidth and the
	// write that claims leadership.
	lowBandwidthDelay = 1200 * time.Millisecond
	// leaderStepInterval is the time between two steps of the state machine while this VM is the leader or is elected.
	leaderStepInterval = 40 * time.Millisecond
	// stepSpacingPerRange is the shortest time between two steps of the leader for each range of a table of at least
	// spacedTableSize ranges. A step looks at all ranges; with one for each ended grant, the renewals of 3,000 ranges (3,750 a
	// second, 2.4 ms a step) would need several cores.
	stepSpacingPerRange = 10 * time.Microsecond
	// spacedTableSize is about the size of the tables of 100 VMs and 1,000 targets. Smaller tables have a step for each event.
	spacedTableSize = 400
	// idleStepInterval is the time between two steps otherwise.
	idleStepInterval = time.Second
	// viewRefreshInterval is the longest time between two refreshes of the state machine's view of registry and load.
	viewRefreshInterval = 250 * time.Millisecond
	// releaseTimeout bounds a release call. The target responds to it once running work on the keys has ended.
	releaseTimeout = 6 * time.Second
	// eventQueueSize is the capacity of the event queue.
	eventQueueSize = 256
)

// controller runs the state machine of the key assignment in one goroutine and executes its commands.
type controller struct {
	gw      *gateway
	manager *keyspace.Manager
	targets *platform.TargetClient
	// releases has its own connection pool, because the response to a release waits for running work to end.
	releases     *platform.TargetClient
	addressLocks *addressLocks
	self         string
	events       chan func(now model.Instant)
	viewDirty    atomic.Bool
	isLeader     atomic.Bool
	// electedUntil is when this VM's election expires; 0 if it is not elected.
	electedUntil model.Instant
	// steppedAt is when the last step ended.
	steppedAt model.Instant
	// leader is the leader in the newest table; leaderSince is when this VM first saw it there.
	leader      string
	leaderSince model.Instant
	// tableLeader is the leader in the state machine's table at the last step; "" if there has never been one.
	tableLeader string
	// tableEra is the era of that table.
	tableEra uint64
	// termEra is the era of the table with which the last term of leadership began. A table that is written back in a later era
	// confirms the leadership only once the next term has begun.
	termEra atomic.Uint64
	// viewRefreshedAt is when the state machine last received the registry and the load.
	viewRefreshedAt model.Instant
	settings        keyspace.Settings
	// noLeaderSince is when this VM stopped receiving updates from a leader; 0 while it receives them. Only the
	// goroutine of maintainMembership uses it.
	noLeaderSince model.Instant
	// joinDelay is how long this VM then waits before it joins the election group.
	joinDelay time.Duration
	stopped   chan struct{}
}

func newController(g *gateway, self string) *controller {
	settings := keyspace.DefaultSettings()
	settings.Hold = min(settings.Hold, g.settings.HoldMax)
	return &controller{
		gw: g, self: self, targets: newTargetClient(g.clock, controlBodyMemory), releases: newTargetClient(g.clock, controlBodyMemory),
		addressLocks: newAddressLocks(), settings: settings,
		manager: keyspace.New(settings, self, g.settings.ListenPeers, rand.Uint64),
		events:  make(chan func(model.Instant), eventQueueSize), stopped: make(chan struct{}),
	}
}

// post queues an event for the loop. It blocks while the queue is full, which bounds memory.
func (c *controller) post(event func(now model.Instant)) {
	select {
	case c.events <- event:
	case <-c.stopped:
	}
}

// viewChanged marks the configuration or the registry as changed. The loop reads both at its next step.
func (c *controller) viewChanged() { c.viewDirty.Store(true) }

// tableReceived passes a new table to the state machine. The state machine modifies its table, so it gets a copy.
func (c *controller) tableReceived(now model.Instant, table *keyspace.Table) {
	copied := table.Clone()
	c.post(func(model.Instant) { c.manager.TableReceived(now, copied) })
}

func (c *controller) leaderHeard(at model.Instant, leader string) {
	c.post(func(model.Instant) { c.manager.LeaderHeard(at, leader) })
}

func (c *controller) tableConfirmed(started model.Instant, end uint64) {
	c.post(func(model.Instant) { c.manager.TableRead(started, nil, end) })
}

// run steps the state machine until ctx ends.
func (c *controller) run(ctx context.Context) {
	defer close(c.stopped)
	timer := time.NewTimer(leaderStepInterval)
	defer timer.Stop()
	for {
		select {
		case event := <-c.events:
			event(c.gw.clock.Now())
			c.handleQueued()
			c.handleEvents(ctx)
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		c.step(ctx)
		c.steppedAt = c.gw.clock.Now()
		timer.Reset(c.stepInterval())
	}
}

// handleEvents handles further events until the next step is due. It returns at once when the leader or the era of its table
// changes, because the step after it begins the term.
func (c *controller) handleEvents(ctx context.Context) {
	wait := c.steppedAt.Add(c.stepSpacing()).Sub(c.gw.clock.Now())
	if wait <= 0 {
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for !c.isTermDue() {
		select {
		case event := <-c.events:
			event(c.gw.clock.Now())
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// isTermDue reports whether the table has another leader, or is of another era, than at the last step.
func (c *controller) isTermDue() bool {
	table := c.manager.Table()
	return table.Leader != c.tableLeader || model.EraOf(table.Offset) != c.tableEra
}

// handleQueued handles the events that are queued already. A step reads all ranges, so that one step for each of the responses to
// 1,000 grants would take a VM with 0.12 of a core seconds.
func (c *controller) handleQueued() {
	for range eventQueueSize {
		select {
		case event := <-c.events:
			event(c.gw.clock.Now())
		default:
			return
		}
	}
}

// stepSpacing returns the shortest time between two steps.
func (c *controller) stepSpacing() time.Duration {
	ranges := len(c.manager.Table().Ranges)
	if ranges < spacedTableSize {
		return 0
	}
	return min(leaderStepInterval, time.Duration(ranges)*stepSpacingPerRange)
}

func (c *controller) stepInterval() time.Duration {
	if c.isLeader.Load() || c.electedUntil != 0 {
		return leaderStepInterval
	}
	return idleStepInterval
}

func (c *controller) step(ctx context.Context) {
	now := c.gw.clock.Now()
	if table := c.manager.Table(); c.isTermDue() {
		if table.Leader == c.self {
			// Records before the table may be those of leaders that this VM could not decode, or that the store has lost. Leaders of
			// an earlier era may have granted leases.
			era := model.EraOf(table.Offset)
			c.gw.hub.BeginTerm(c.tableLeader != "" || model.OffsetOf(table.Offset) > 0 || era > 1)
			c.termEra.Store(era)
		}
		c.tableLeader, c.tableEra = table.Leader, model.EraOf(table.Offset)
	}
	c.trackLeader(now)
	if c.electedUntil != 0 && now >= c.electedUntil {
		c.electedUntil = 0
	}
	c.manager.SetElected(c.electedUntil != 0 && c.mayClaimLeadership(now))
	if c.electedUntil != 0 || c.isLeader.Load() {
		if c.viewDirty.Swap(false) || now.Sub(c.viewRefreshedAt) >= viewRefreshInterval {
			c.viewRefreshedAt = now
			c.refreshView(now)
		}
	}
	for _, command := range c.manager.Step(now) {
		c.execute(ctx, command)
	}
	c.updateLeadership(now)
	if c.manager.ConfirmationDue() {
		wake(c.gw.follower(topicAssignment).readNow)
	}
}

// trackLeader records since when this VM has seen the present leader in the table, whether or not this VM is elected.
func (c *controller) trackLeader(now model.Instant) {
	if leader := c.manager.Table().Leader; leader != c.leader {
		c.leader, c.leaderSince = leader, now
	}
}

// mayClaimLeadership reports whether this VM may become the leader or remain it: there is no other leader, the current
// leader has resigned, or this VM receives no updates from it. The elected member changes as members join and leave the
// group, so a leader that still sends updates is not replaced.
func (c *controller) mayClaimLeadership(now model.Instant) bool {
	table := c.manager.Table()
	if table.Leader == "" || table.Resigned || table.Leader == c.self {
		return true
	}
	isAbsent := now.Sub(c.leaderSince) >= leaderAbsentGrace && c.gw.absence.isAbsent(table.Leader)
	return (isAbsent || now.Sub(c.leaderSince) >= leaderConnectGrace) && !c.gw.leaderIsRelaying()
}

func (c *controller) updateLeadership(now model.Instant) {
	isLeader := c.manager.IsLeader(now)
	if isLeader == c.isLeader.Load() {
		return
	}
	c.isLeader.Store(isLeader)
	log := c.gw.log.Part(logging.Keyspace)
	if isLeader {
		log.Event("this VM became the leader", logging.TableOffset(c.manager.Table().Offset),
			logging.Duration(max(0, c.manager.FormerGrantsUntil().Sub(now))), logging.Unready(c.manager.Unready()))
	} else {
		log.Event("this VM is no longer the leader", logging.TableOffset(c.manager.Table().Offset),
			logging.Name(c.manager.Table().Leader))
	}
}

// refreshView passes the registry and the measured load to the state machine. Cold targets are not usable for keys,
// because they can serve only a few requests per second.
func (c *controller) refreshView(now model.Instant) {
	config := c.gw.state.config.Load()
	if config == nil || !c.gw.state.complete() {
		return
	}
	view := keyspace.View{}
	for name, service := range config.Services {
		if !service.Keyed {
			continue
		}
		view.Services = append(view.Services, name)
		for _, entry := range c.gw.state.service(now, name) {
			view.Candidates = append(view.Candidates, keyspace.Candidate{
				Holder:  keyspace.Holder{Incarnation: entry.Target.Incarnation(), Address: entry.Target.Address},
				Service: name, Weight: float64(entry.Target.Slots), Region: entry.Target.Region,
				Usable: !entry.Leaving && entry.State != registry.Cold,
			})
		}
		c.manager.SetLoad(name, c.gw.load.snapshot(name))
	}
	c.manager.SetView(view)
}

func (c *controller) execute(ctx context.Context, command keyspace.Command) {
	switch command.Kind {
	case keyspace.AppendTable:
		go c.append(ctx, command)
	case keyspace.GrantKeys:
		c.logUnreleased(command)
		go c.grant(ctx, command)
	case keyspace.ReleaseKeys:
		go c.release(ctx, command)
	}
}

func (c *controller) append(ctx context.Context, command keyspace.Command) {
	started := c.gw.clock.Now()
	raw, err := command.Append.Encode()
	if err == nil {
		err = c.appendRecord(ctx, command.AsOf, raw)
	}
	c.gw.metrics.storeCall("append", err)
	if err != nil {
		c.gw.log.Part(logging.Keyspace).Event("appending the assignment failed", logging.TableOffset(command.AsOf),
			logging.ErrorType(err), logging.SystemError(err))
		failure := appendFailure(err)
		c.post(func(now model.Instant) { c.manager.AppendFailed(now, failure) })
		return
	}
	record := platform.Record{Key: keyAssignment, Value: raw, Offset: command.AsOf}
	table := c.gw.decodeTable(record)
	if table == nil {
		return
	}
	copied := table.Clone()
	c.post(func(now model.Instant) { c.manager.Appended(started, now, copied) })
	c.gw.setTable(table, started)
	c.gw.follower(topicAssignment).appended(started, c.gw.clock.Now(), record)
}

// appendRecord writes the assignment if its topic ends at a position. It returns platform.ErrOutdated if the store was in a later era.
// The record may be there then, but it states the era for which it was planned.
func (c *controller) appendRecord(ctx context.Context, asOf uint64, raw []byte) error {
	end, err := c.gw.store.Append(ctx, topicAssignment, asOf, keyAssignment, raw)
	if err == nil && model.EraOf(end) != model.EraOf(asOf) {
		return platform.ErrOutdated.New("assignment was planned in era %d, the store is in era %d", model.EraOf(asOf), model.EraOf(end))
	}
	return err
}

// appendFailure returns the failure of a write that ended with an error. Only some errors state that it was not executed.
func appendFailure(err error) keyspace.AppendFailure {
	if errorx.IsOfType(err, platform.ErrConflict) {
		return keyspace.AppendConflict
	}
	for _, notExecuted := range []*errorx.Type{
		platform.ErrUnavailable, platform.ErrRejected, platform.ErrFenced, keyspace.ErrTable,
	} {
		if errorx.IsOfType(err, notExecuted) {
			return keyspace.AppendNotExecuted
		}
	}
	return keyspace.AppendUnanswered
}

// grant sends a grant. Grants to one target are sent one at a time over one connection.
func (c *controller) grant(ctx context.Context, command keyspace.Command) {
	callCtx, cancel := context.WithTimeout(ctx, c.settings.CommandTimeout)
	defer cancel()
	outcome, connection := keyspace.NotSent, uint64(0)
	if unlock := c.addressLocks.lock(callCtx, command.Target.Address); unlock != nil {
		response, err := c.targets.Grant(callCtx, keyRange(command), c.settings.Hold, command.Handover)
		unlock()
		outcome, connection = c.recordCommandResponse(command, response, err), response.ConnectionID
	}
	c.post(func(now model.Instant) { c.manager.GrantEnded(now, command, outcome, connection) })
}

func (c *controller) release(ctx context.Context, command keyspace.Command) {
	callCtx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	response, err := c.releases.Release(callCtx, keyRange(command))
	outcome := c.recordCommandResponse(command, response, err)
	c.post(func(now model.Instant) { c.manager.ReleaseEnded(now, command, outcome, response.Handover) })
}

func keyRange(command keyspace.Command) platform.KeyRange {
	keys := platform.KeyRange{
		Target: command.Target.Incarnation.ID, Address: command.Target.Address, From: command.From, To: command.To,
		Fence: command.Fence, ConnectionID: command.ConnectionID,
	}
	if command.Kind == keyspace.GrantKeys && command.ConnectionID == 0 {
		keys.ConnectedBefore = command.ConnectedBefore
	}
	return keys
}

// recordCommandResponse converts the response to a command to its outcome and logs it. The connection of a command that
// failed with an error is closed, so the next command uses a new connection.
func (c *controller) recordCommandResponse(
	command keyspace.Command, response platform.CommandResponse, err error,
) keyspace.Outcome {
	outcome := commandOutcome(response.Result, err)
	c.logCommand(command, outcome, response.Status, err)
	if response.Leaving {
		c.gw.markLeaving(command.Target.Incarnation, "response to a command")
	}
	return outcome
}

func commandOutcome(result platform.CommandResult, err error) keyspace.Outcome {
	switch {
	case err != nil:
		return failureOutcome(err)
	case result == platform.Applied:
		return keyspace.Done
	case result == platform.Fenced:
		return keyspace.Fenced
	case result == platform.Replaced:
		return keyspace.Replaced
	}
	return keyspace.Rejected
}

func failureOutcome(err error) keyspace.Outcome {
	if errorx.IsOfType(err, upstream.ErrNotConnected) {
		return keyspace.Disconnected
	}
	if errorx.IsOfType(err, upstream.ErrRefused) {
		return keyspace.ConnectionRefused
	}
	if errorx.IsOfType(err, upstream.ErrTooRecent) {
		return keyspace.Unconfirmed
	}
	if errorx.IsOfType(err, upstream.ErrNotSent) {
		return keyspace.NotSent
	}
	return keyspace.Unresponsive
}

// logCommand logs a command that ended. status is that of the response; 0 if there was none.
func (c *controller) logCommand(command keyspace.Command, outcome keyspace.Outcome, status int, err error) {
	c.gw.metrics.command(command.Kind.String(), outcome.String())
	if outcome == keyspace.Disconnected || outcome == keyspace.Unconfirmed || outcome == keyspace.Done && command.Kind == keyspace.GrantKeys && command.Handover == "" {
		return
	}
	fields := []logging.Field{
		logging.TargetID(command.Target.Incarnation.ID), logging.KeyRange(command.From, command.To), logging.Fence(command.Fence),
		logging.State(outcome.String()),
	}
	if status != 0 {
		fields = append(fields, logging.Status(status))
	}
	if err != nil {
		fields = append(fields, logging.SystemError(err))
	}
	c.gw.log.Part(logging.Keyspace).Event(command.Kind.String()+" ended", fields...)
}

// logUnreleased logs a grant of keys that previous holders did not release, and why they can no longer hold them.
func (c *controller) logUnreleased(command keyspace.Command) {
	for _, holder := range command.Unreleased {
		fields := []logging.Field{
			logging.TargetID(command.Target.Incarnation.ID), logging.KeyRange(command.From, command.To), logging.Fence(command.Fence),
			logging.Name(string(holder.Target)), logging.Elapsed(holder.HoldEnded),
		}
		if holder.Granted {
			fields = append(fields, logging.State(holder.LastGrant.String()), logging.DataAge(holder.LastGrantAge))
		}
		reason := "hold of the previous holder ended"
		if holder.Terminated {
			reason = "previous holder terminated"
		}
		c.gw.log.Part(logging.Keyspace).Event("granting keys without a release", append(fields, logging.Reason(reason))...)
	}
}

// maintainMembership keeps this VM in the election group while it is a candidate, until ctx ends.
func (c *controller) maintainMembership(ctx context.Context) {
	generation := uint64(0)
	member := false
	for ctx.Err() == nil {
		started := c.gw.clock.Now()
		switch {
		case c.isCandidate(started):
			membership, err := c.gw.store.Join(ctx, electionGroup, c.self, electionTopic, membershipTTL, generation)
			c.gw.metrics.storeCall("join", err)
			member = true
			if err == nil {
				generation = membership.Generation
				c.post(func(model.Instant) { c.setElected(started, membership) })
			}
		case member:
			member = false
			c.leaveGroup(ctx)
		}
		sleep(ctx, membershipInterval-c.gw.clock.Now().Sub(started))
	}
}

// isCandidate reports whether this VM has to be in the election group. While the leader sends updates, a few VMs are
// enough. Without a leader all VMs join, those with low bandwidth after a delay.
func (c *controller) isCandidate(now model.Instant) bool {
	if !c.gw.state.complete() || c.gw.draining.Load() {
		c.noLeaderSince = 0
		return false
	}
	if position := c.gw.position.Load(); position != nil && (c.isLeader.Load() || c.gw.leaderIsRelaying()) {
		c.noLeaderSince = 0
		return position.Candidate
	}
	if c.noLeaderSince == 0 {
		c.noLeaderSince, c.joinDelay = now, c.gw.joinDelay()
	}
	link, waited := c.gw.settings.LinkMbps, now.Sub(c.noLeaderSince)
	return waited >= c.joinDelay && (link == 0 || link >= lowBandwidthMbps || waited >= lowBandwidthDelay)
}

func (c *controller) setElected(started model.Instant, membership platform.Membership) {
	wasElected := c.electedUntil != 0
	c.electedUntil = 0
	for _, partition := range membership.Partitions {
		if partition == 0 {
			c.electedUntil = started.Add(membershipTTL)
		}
	}
	if isElected := c.electedUntil != 0; isElected != wasElected {
		c.logElection(isElected)
	}
}

// logElection logs that this VM is elected or not any more, and what decides whether it may replace the leader.
func (c *controller) logElection(isElected bool) {
	table := c.manager.Table()
	c.gw.log.Part(logging.Keyspace).Event("election changed", logging.State(electionState(isElected)), logging.Name(table.Leader),
		logging.Elapsed(c.gw.clock.Now().Sub(c.leaderSince)), logging.Reason(c.leaderState(table.Leader)))
}

func electionState(isElected bool) string {
	if isElected {
		return "elected"
	}
	return "not elected"
}

// leaderState returns what this VM knows of the leader of the table, for logs.
func (c *controller) leaderState(leader string) string {
	switch {
	case leader == c.self:
		return "this VM leads"
	case c.gw.leaderIsRelaying():
		return "leader sends records"
	case c.gw.absence.isAbsent(leader):
		return "no process leads at the leader's address"
	}
	return "leader is silent"
}

// resign gives up leadership, so that the next leader does not have to wait for it to expire.
func (c *controller) resign(ctx context.Context) {
	c.post(func(model.Instant) { c.manager.Resign() })
	resigned := make(chan bool, 1)
	for ctx.Err() == nil {
		c.post(func(model.Instant) { resigned <- c.manager.Resigned() })
		select {
		case done := <-resigned:
			if done {
				c.leaveGroup(ctx)
				return
			}
		case <-ctx.Done():
			return
		}
		sleep(ctx, leaderStepInterval)
	}
}

func (c *controller) leaveGroup(ctx context.Context) {
	err := c.gw.store.Leave(ctx, electionGroup, c.self)
	c.gw.metrics.storeCall("leave", err)
	if err != nil {
		c.gw.log.Part(logging.Platform).Event("leaving the election group failed; the membership will expire",
			logging.SystemError(err))
	}
}
