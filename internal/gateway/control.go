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
	// groupName and groupTopic name the group whose member with partition 0 is to lead.
	electionGroup = "leader"
	electionTopic = "tarragonpoint.leader"
	// groupTTL is how long a member counts after its last call; the store allows no less than 1 s.
	membershipTTL = 1200 * time.Millisecond
	// groupEvery is the time between two calls, so that one lost call does not end the membership.
	membershipInterval = 400 * time.Millisecond
	// linkGrace is how long VMs have to reach a new leader before it may be replaced.
	leaderConnectGrace = 2500 * time.Millisecond
	// narrowLink is the bandwidth in Mbit/s below which a VM waits for others to take the office. A leader of 75 VMs that
	// passes on 30 KB needs 20 Mbit for it.
	lowBandwidthMbps = 50.0
	// narrowWait is how long such a VM waits: two calls of a VM with a wide link, and the write of its claim.
	lowBandwidthDelay = 1200 * time.Millisecond
	// leaderTick is the time between two steps of the state machine while this VM leads.
	leaderStepInterval = 40 * time.Millisecond
	// idleTick is the same while another VM leads.
	idleStepInterval = time.Second
	// viewEvery is the time after which the leader looks at the registry and the load without a change.
	viewRefreshInterval = 250 * time.Millisecond
	// releaseTimeout bounds a release, which is answered when running work has ended.
	releaseTimeout = 6 * time.Second
	// eventQueue is the number of events that wait for the loop.
	eventQueueSize = 256
)

// control runs the key assignment's state machine in one goroutine and carries out its commands.
type controller struct {
	gw      *gateway
	manager *keyspace.Manager
	targets *platform.TargetClient
	// releases uses connections of its own, as a release is answered only when running work has ended.
	releases     *platform.TargetClient
	addressLocks *addressLocks
	self         string
	events       chan func(now model.Instant)
	viewDirty    atomic.Bool
	isLeader     atomic.Bool
	// chosenUntil is when this VM stops counting as the member that is to lead.
	electedUntil model.Instant
	// leader is the leader by the newest table, and leaderSince when it first was.
	leader      string
	leaderSince model.Instant
	// viewedAt is when the state machine last got the registry and the load.
	viewRefreshedAt model.Instant
	settings        keyspace.Settings
	// unheardSince is since when no leader is heard; 0 while one is. Only join uses it.
	noLeaderSince model.Instant
	stopped       chan struct{}
}

func newController(g *gateway, self string) *controller {
	settings := keyspace.DefaultSettings()
	settings.Hold = min(settings.Hold, g.settings.HoldMax)
	return &controller{
		gw: g, self: self, targets: platform.NewTargetClient(), releases: platform.NewTargetClient(), addressLocks: newAddressLocks(), settings: settings,
		manager: keyspace.New(settings, self, g.settings.ListenPeers, rand.Uint64),
		events:  make(chan func(model.Instant), eventQueueSize), stopped: make(chan struct{}),
	}
}

// post hands an event to the loop. It blocks while the queue is full, which bounds memory.
func (c *controller) post(event func(now model.Instant)) {
	select {
	case c.events <- event:
	case <-c.stopped:
	}
}

// viewChanged tells that configuration or registry changed. The loop reads them at its next step.
func (c *controller) viewChanged() { c.viewDirty.Store(true) }

// tableRead tells the state machine of a new table. It marks ranges in its table, so it gets a copy.
func (c *controller) tableRead(now model.Instant, table *keyspace.Table) {
	copied := table.Clone()
	c.post(func(model.Instant) { c.manager.TableRead(now, copied, copied.Offset+1) })
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
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		c.step(ctx)
		timer.Reset(c.stepInterval())
	}
}

func (c *controller) stepInterval() time.Duration {
	if c.isLeader.Load() || c.electedUntil != 0 {
		return leaderStepInterval
	}
	return idleStepInterval
}

func (c *controller) step(ctx context.Context) {
	now := c.gw.clock.Now()
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
}

// mayClaim reports whether the present leader may be replaced: it has resigned, or this VM does not hear it. Members
// of the group come and go, and with them the one that the store chooses; a leader that is heard stays.
func (c *controller) mayClaimLeadership(now model.Instant) bool {
	table := c.manager.Table()
	if table.Leader != c.leader {
		c.leader = table.Leader
		c.leaderSince = now
	}
	if table.Leader == "" || table.Resigned || table.Leader == c.self {
		return true
	}
	return now.Sub(c.leaderSince) >= leaderConnectGrace && !c.gw.leaderIsRelaying()
}

func (c *controller) updateLeadership(now model.Instant) {
	isLeader := c.manager.IsLeader(now)
	if isLeader == c.isLeader.Load() {
		return
	}
	c.isLeader.Store(isLeader)
	log := c.gw.log.Part(logging.Keyspace)
	if isLeader {
		log.Event("this VM leads", logging.Table(c.manager.Table().Offset))
	} else {
		log.Event("this VM leads no longer", logging.Table(c.manager.Table().Offset), logging.Name(c.manager.Table().Leader))
	}
}

// refreshView passes the registry and the measured load on to the state machine. Cold targets keep no keys, because
// they bear only a few requests.
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
				Service: name, Weight: float64(entry.Target.Slots),
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
		go c.grant(ctx, command)
	case keyspace.ReleaseKeys:
		go c.release(ctx, command)
	}
}

func (c *controller) append(ctx context.Context, command keyspace.Command) {
	raw, err := command.Append.Encode()
	if err == nil {
		_, err = c.gw.store.Append(ctx, topicAssignment, command.AsOf, keyAssignment, raw)
	}
	c.gw.metrics.storeCall("append", err)
	if err != nil {
		c.gw.log.Part(logging.Keyspace).Event("assignment is not written", logging.Table(command.AsOf),
			logging.ErrorType(err), logging.SystemError(err))
		unknown := errorx.IsOfType(err, platform.ErrOutcomeUnknown)
		c.post(func(now model.Instant) { c.manager.AppendFailed(now, unknown) })
		return
	}
	record := platform.Record{Key: keyAssignment, Value: raw, Offset: command.AsOf}
	table := c.gw.decodeTable(record)
	if table == nil {
		return
	}
	copied := table.Clone()
	c.post(func(now model.Instant) { c.manager.Appended(now, copied) })
	c.gw.setTable(table)
	c.gw.follower(topicAssignment).appended(c.gw.clock.Now(), record)
}

// grant sends a grant. The grants of one target go over one connection, one after the other.
func (c *controller) grant(ctx context.Context, command keyspace.Command) {
	callCtx, cancel := context.WithTimeout(ctx, c.settings.CommandTimeout)
	defer cancel()
	outcome, connection := keyspace.NotSent, uint64(0)
	if unlock := c.addressLocks.lock(callCtx, command.Target.Address); unlock != nil {
		result, responseConnection, err := c.targets.Grant(callCtx, keyRange(command), c.settings.Hold, command.Handover)
		unlock()
		outcome, connection = c.commandEnded(command, result, err), responseConnection
	}
	c.post(func(now model.Instant) { c.manager.GrantEnded(now, command, outcome, connection) })
}

func (c *controller) release(ctx context.Context, command keyspace.Command) {
	callCtx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	handover, result, err := c.releases.Release(callCtx, keyRange(command))
	outcome := c.commandEnded(command, result, err)
	c.post(func(now model.Instant) { c.manager.ReleaseEnded(now, command, outcome, handover) })
}

func keyRange(command keyspace.Command) platform.KeyRange {
	return platform.KeyRange{
		Target: command.Target.Incarnation.ID, Address: command.Target.Address, From: command.From, To: command.To, Fence: command.Fence,
		ConnectionID: command.Connection,
	}
}

// orderEnded translates and logs the result of an order. After a failure the next order uses a new connection.
func (c *controller) commandEnded(command keyspace.Command, result platform.CommandResult, err error) keyspace.Outcome {
	outcome := commandOutcome(result, err)
	c.logCommand(command, outcome, err)
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
	return keyspace.Refused
}

func failureOutcome(err error) keyspace.Outcome {
	if errorx.IsOfType(err, upstream.ErrNotConnected) {
		return keyspace.Disconnected
	}
	if errorx.IsOfType(err, upstream.ErrNotSent) {
		return keyspace.NotSent
	}
	return keyspace.Unresponsive
}

func (c *controller) logCommand(command keyspace.Command, outcome keyspace.Outcome, err error) {
	c.gw.metrics.command(command.Kind.String(), outcome.String())
	if outcome == keyspace.Disconnected || outcome == keyspace.Done && command.Kind == keyspace.GrantKeys && command.Handover == "" {
		return
	}
	fields := []logging.Field{
		logging.TargetID(command.Target.Incarnation.ID), logging.Keys(command.From, command.To), logging.Fence(command.Fence),
		logging.State(outcome.String()),
	}
	if err != nil {
		fields = append(fields, logging.SystemError(err))
	}
	c.gw.log.Part(logging.Keyspace).Event(command.Kind.String()+" ended", fields...)
}

// join keeps this VM in the group from which the store chooses the leader, as far as the group needs it.
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

// isCandidate reports whether this VM has to be in the group: a few VMs are enough while the leader is heard, and all
// are once it is not, those with narrow links last.
func (c *controller) isCandidate(now model.Instant) bool {
	if !c.gw.state.complete() || c.gw.draining.Load() {
		c.noLeaderSince = 0
		return false
	}
	if place := c.gw.place.Load(); place != nil && (c.isLeader.Load() || c.gw.leaderIsRelaying()) {
		c.noLeaderSince = 0
		return place.Candidate
	}
	if c.noLeaderSince == 0 {
		c.noLeaderSince = now
	}
	link := c.gw.settings.LinkMbps
	return link == 0 || link >= lowBandwidthMbps || now.Sub(c.noLeaderSince) >= lowBandwidthDelay
}

func (c *controller) setElected(started model.Instant, membership platform.Membership) {
	c.electedUntil = 0
	for _, partition := range membership.Partitions {
		if partition == 0 {
			c.electedUntil = started.Add(membershipTTL)
		}
	}
}

// resign gives up the office, so that the next leader need not wait for it to run out.
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
		c.gw.log.Part(logging.Platform).Event("group is not left; the membership lapses", logging.SystemError(err))
	}
}
