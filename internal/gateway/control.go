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
	groupName  = "leader"
	groupTopic = "tarragonpoint.leader"
	// groupTTL is how long a member counts after its last call; the store allows no less than 1 s.
	groupTTL = 1200 * time.Millisecond
	// groupEvery is the time between two calls, so that one lost call does not end the membership.
	groupEvery = 400 * time.Millisecond
	// linkGrace is how long VMs have to reach a new leader before it may be replaced.
	linkGrace = 2500 * time.Millisecond
	// narrowLink is the bandwidth in Mbit/s below which a VM waits for others to take the office. A leader of 75 VMs that
	// passes on 30 KB needs 20 Mbit for it.
	narrowLink = 50.0
	// narrowWait is how long such a VM waits: two calls of a VM with a wide link, and the write of its claim.
	narrowWait = 1200 * time.Millisecond
	// leaderTick is the time between two steps of the state machine while this VM leads.
	leaderTick = 40 * time.Millisecond
	// idleTick is the same while another VM leads.
	idleTick = time.Second
	// viewEvery is the time after which the leader looks at the registry and the load without a change.
	viewEvery = 250 * time.Millisecond
	// releaseTimeout bounds a release, which is answered when running work has ended.
	releaseTimeout = 6 * time.Second
	// eventQueue is the number of events that wait for the loop.
	eventQueue = 256
)

// control runs the key assignment's state machine in one goroutine and carries out its commands.
type control struct {
	gw      *gateway
	manager *keyspace.Manager
	targets *platform.Targets
	// releases uses connections of its own, as a release is answered only when running work has ended.
	releases *platform.Targets
	turns    *turns
	self     string
	events   chan func(now model.Instant)
	dirty    atomic.Bool
	leading  atomic.Bool
	// chosenUntil is when this VM stops counting as the member that is to lead.
	chosenUntil model.Instant
	// leader is the leader by the newest table, and leaderSince when it first was.
	leader      string
	leaderSince model.Instant
	// viewedAt is when the state machine last got the registry and the load.
	viewedAt model.Instant
	settings keyspace.Settings
	// unheardSince is since when no leader is heard; 0 while one is. Only join uses it.
	unheardSince model.Instant
	stopped      chan struct{}
}

func newControl(g *gateway, self string) *control {
	settings := keyspace.DefaultSettings()
	settings.Hold = min(settings.Hold, g.settings.HoldMax)
	return &control{
		gw: g, self: self, targets: platform.NewTargets(), releases: platform.NewTargets(), turns: newTurns(), settings: settings,
		manager: keyspace.New(settings, self, g.settings.ListenPeers, rand.Uint64),
		events:  make(chan func(model.Instant), eventQueue), stopped: make(chan struct{}),
	}
}

// post hands an event to the loop. It blocks while the queue is full, which bounds memory.
func (c *control) post(event func(now model.Instant)) {
	select {
	case c.events <- event:
	case <-c.stopped:
	}
}

// viewChanged tells that configuration or registry changed. The loop reads them at its next step.
func (c *control) viewChanged() { c.dirty.Store(true) }

// tableRead tells the state machine of a new table. It marks ranges in its table, so it gets a copy.
func (c *control) tableRead(now model.Instant, table *keyspace.Table) {
	copied := table.Clone()
	c.post(func(model.Instant) { c.manager.TableRead(now, copied, copied.Offset+1) })
}

func (c *control) tableConfirmed(started model.Instant, end uint64) {
	c.post(func(model.Instant) { c.manager.TableRead(started, nil, end) })
}

// run steps the state machine until ctx ends.
func (c *control) run(ctx context.Context) {
	defer close(c.stopped)
	timer := time.NewTimer(leaderTick)
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
		timer.Reset(c.tick())
	}
}

func (c *control) tick() time.Duration {
	if c.leading.Load() || c.chosenUntil != 0 {
		return leaderTick
	}
	return idleTick
}

func (c *control) step(ctx context.Context) {
	now := c.gw.clock.Now()
	if c.chosenUntil != 0 && now >= c.chosenUntil {
		c.chosenUntil = 0
	}
	c.manager.SetElected(c.chosenUntil != 0 && c.mayClaim(now))
	if c.chosenUntil != 0 || c.leading.Load() {
		if c.dirty.Swap(false) || now.Sub(c.viewedAt) >= viewEvery {
			c.viewedAt = now
			c.refreshView(now)
		}
	}
	for _, command := range c.manager.Step(now) {
		c.execute(ctx, command)
	}
	c.noteOffice(now)
}

// mayClaim reports whether the present leader may be replaced: it has resigned, or this VM does not hear it. Members
// of the group come and go, and with them the one that the store chooses; a leader that is heard stays.
func (c *control) mayClaim(now model.Instant) bool {
	table := c.manager.Table()
	if table.Leader != c.leader {
		c.leader = table.Leader
		c.leaderSince = now
	}
	if table.Leader == "" || table.Resigned || table.Leader == c.self {
		return true
	}
	return now.Sub(c.leaderSince) >= linkGrace && !c.gw.hearsLeader()
}

func (c *control) noteOffice(now model.Instant) {
	office := c.manager.IsLeader(now)
	if office == c.leading.Load() {
		return
	}
	c.leading.Store(office)
	log := c.gw.log.Part(logging.Keyspace)
	if office {
		log.Event("this VM leads", logging.Table(c.manager.Table().Offset))
	} else {
		log.Event("this VM leads no longer", logging.Table(c.manager.Table().Offset), logging.Name(c.manager.Table().Leader))
	}
}

// refreshView passes the registry and the measured load on to the state machine. Cold targets keep no keys, because
// they bear only a few requests.
func (c *control) refreshView(now model.Instant) {
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
		c.manager.SetLoad(name, c.gw.load.of(name))
	}
	c.manager.SetView(view)
}

func (c *control) execute(ctx context.Context, command keyspace.Command) {
	switch command.Kind {
	case keyspace.AppendTable:
		go c.append(ctx, command)
	case keyspace.GrantKeys:
		go c.grant(ctx, command)
	case keyspace.ReleaseKeys:
		go c.release(ctx, command)
	}
}

func (c *control) append(ctx context.Context, command keyspace.Command) {
	raw, err := command.Append.Encode()
	if err == nil {
		_, err = c.gw.store.Append(ctx, topicAssignment, command.AsOf, keyAssignment, raw)
	}
	c.gw.metrics.storeCall("append", err)
	if err != nil {
		c.gw.log.Part(logging.Keyspace).Event("assignment is not written", logging.Table(command.AsOf),
			logging.ErrorType(err), logging.SystemError(err))
		unknown := errorx.IsOfType(err, platform.ErrUnknown)
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
func (c *control) grant(ctx context.Context, command keyspace.Command) {
	callCtx, cancel := context.WithTimeout(ctx, c.settings.CommandTimeout)
	defer cancel()
	outcome, connection := keyspace.NotSent, uint64(0)
	if leave := c.turns.enter(callCtx, command.Target.Address); leave != nil {
		result, answered, err := c.targets.Grant(callCtx, keyRange(command), c.settings.Hold, command.Handover)
		leave()
		outcome, connection = c.orderEnded(command, result, err), answered
	}
	c.post(func(now model.Instant) { c.manager.GrantEnded(now, command, outcome, connection) })
}

func (c *control) release(ctx context.Context, command keyspace.Command) {
	callCtx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	handover, result, err := c.releases.Release(callCtx, keyRange(command))
	outcome := c.orderEnded(command, result, err)
	c.post(func(now model.Instant) { c.manager.ReleaseEnded(now, command, outcome, handover) })
}

func keyRange(command keyspace.Command) platform.KeyRange {
	return platform.KeyRange{
		Target: command.Target.Incarnation.ID, Address: command.Target.Address, From: command.From, To: command.To, Fence: command.Fence,
		Connection: command.Connection,
	}
}

// orderEnded translates and logs the result of an order. After a failure the next order uses a new connection.
func (c *control) orderEnded(command keyspace.Command, result platform.OrderResult, err error) keyspace.Outcome {
	outcome := orderOutcome(result, err)
	c.logOrder(command, outcome, err)
	return outcome
}

func orderOutcome(result platform.OrderResult, err error) keyspace.Outcome {
	switch {
	case err != nil:
		return orderFailure(err)
	case result == platform.Carried:
		return keyspace.Done
	case result == platform.Fenced:
		return keyspace.Fenced
	case result == platform.Replaced:
		return keyspace.Replaced
	}
	return keyspace.Refused
}

func orderFailure(err error) keyspace.Outcome {
	if errorx.IsOfType(err, upstream.ErrNotConnected) {
		return keyspace.Disconnected
	}
	if errorx.IsOfType(err, upstream.ErrNotSent) {
		return keyspace.NotSent
	}
	return keyspace.Unresponsive
}

func (c *control) logOrder(command keyspace.Command, outcome keyspace.Outcome, err error) {
	c.gw.metrics.order(command.Kind.String(), outcome.String())
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
func (c *control) join(ctx context.Context) {
	generation := uint64(0)
	member := false
	for ctx.Err() == nil {
		started := c.gw.clock.Now()
		switch {
		case c.isCandidate(started):
			membership, err := c.gw.store.Join(ctx, groupName, c.self, groupTopic, groupTTL, generation)
			c.gw.metrics.storeCall("join", err)
			member = true
			if err == nil {
				generation = membership.Generation
				c.post(func(model.Instant) { c.setChosen(started, membership) })
			}
		case member:
			member = false
			c.leave(ctx)
		}
		sleep(ctx, groupEvery-c.gw.clock.Now().Sub(started))
	}
}

// isCandidate reports whether this VM has to be in the group: a few VMs are enough while the leader is heard, and all
// are once it is not, those with narrow links last.
func (c *control) isCandidate(now model.Instant) bool {
	if !c.gw.state.complete() || c.gw.draining.Load() {
		c.unheardSince = 0
		return false
	}
	if place := c.gw.place.Load(); place != nil && (c.leading.Load() || c.gw.hearsLeader()) {
		c.unheardSince = 0
		return place.Candidate
	}
	if c.unheardSince == 0 {
		c.unheardSince = now
	}
	link := c.gw.settings.LinkMbps
	return link == 0 || link >= narrowLink || now.Sub(c.unheardSince) >= narrowWait
}

func (c *control) setChosen(started model.Instant, membership platform.Membership) {
	c.chosenUntil = 0
	for _, partition := range membership.Partitions {
		if partition == 0 {
			c.chosenUntil = started.Add(groupTTL)
		}
	}
}

// resign gives up the office, so that the next leader need not wait for it to run out.
func (c *control) resign(ctx context.Context) {
	c.post(func(model.Instant) { c.manager.Resign() })
	resigned := make(chan bool, 1)
	for ctx.Err() == nil {
		c.post(func(model.Instant) { resigned <- c.manager.Resigned() })
		select {
		case done := <-resigned:
			if done {
				c.leave(ctx)
				return
			}
		case <-ctx.Done():
			return
		}
		sleep(ctx, leaderTick)
	}
}

func (c *control) leave(ctx context.Context) {
	err := c.gw.store.Leave(ctx, groupName, c.self)
	c.gw.metrics.storeCall("leave", err)
	if err != nil {
		c.gw.log.Part(logging.Platform).Event("group is not left; the membership lapses", logging.SystemError(err))
	}
}
