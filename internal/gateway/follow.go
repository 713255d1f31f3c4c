package gateway

import (
	"context"
	"time"

	"github.com/joomcode/errorx"

	"github.com/tarragonpoint/tarragonpoint/internal/keyspace"
	"github.com/tarragonpoint/tarragonpoint/internal/logging"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/registry"
	"github.com/tarragonpoint/tarragonpoint/platform"
)

const (
	// operatorWait is how long a read waits for a change of the configuration. An answer that is lost is noticed after
	// this time and the call's time-out, which together must stay below the platform's 3 s of contact.
	operatorWait = 1800 * time.Millisecond
	// assignmentWait is the same for the assignment of keys, whose followers are told by targets too.
	assignmentWait = 4 * time.Second
	// leaderWait is the same for the leader, whose office rests on recent reads.
	leaderWait = 2 * time.Second
	// targetsEvery is the time between two reads of the targets' reports. Targets that leave must get no work 2 s after
	// their last report.
	targetsEvery = 800 * time.Millisecond
	// readRetry is the time after which a failed read is repeated.
	readRetry = 200 * time.Millisecond
	// topicAssignment holds the assignment of keys, under one key.
	topicAssignment = "keyed.tarragonpoint"
	keyAssignment   = "assignment"
)

// follower reads one topic of the store from its newest records on and applies each record.
type follower struct {
	name  string
	topic string
	gw    *gateway
	// wait returns how long a read waits for a record.
	wait func() time.Duration
	// pace is the time between two reads that do not wait.
	pace time.Duration
	// list applies the newest record of each key; change applies one new record.
	list   func(now model.Instant, page platform.Page)
	change func(now model.Instant, record platform.Record)
	// read is told of each read: when it started, and the end of the topic.
	read func(started model.Instant, end uint64)
	// answered is told after each read whether the store answered.
	answered func(now model.Instant, answered bool)

	lost bool
}

// run follows the topic until ctx ends.
func (f *follower) run(ctx context.Context) {
	next, listed := uint64(0), false
	for ctx.Err() == nil {
		started := f.gw.clock.Now()
		var err error
		callCtx, done := f.gw.outage.begin(ctx)
		if !listed {
			next, err = f.listAll(callCtx, started)
			listed = err == nil
		} else {
			next, err = f.readOn(callCtx, started, next)
		}
		restarted := callCtx.Err() != nil && ctx.Err() == nil
		done()
		if restarted {
			continue
		}
		f.record(ctx, err)
		f.gw.outage.ended(err == nil)
		if f.answered != nil {
			f.answered(f.gw.clock.Now(), err == nil)
		}
		if errorx.IsOfType(err, platform.ErrExpired) {
			listed = false
		}
		switch {
		case err != nil:
			sleep(ctx, readRetry)
		case f.pace > 0:
			sleep(ctx, f.pace-f.gw.clock.Now().Sub(started))
		}
	}
}

func (f *follower) listAll(ctx context.Context, started model.Instant) (uint64, error) {
	page, err := f.gw.store.Newest(ctx, f.topic)
	if err != nil {
		return 0, err
	}
	f.list(f.gw.clock.Now(), page)
	f.readDone(started, page.End)
	return page.Next, nil
}

func (f *follower) readOn(ctx context.Context, started model.Instant, next uint64) (uint64, error) {
	wait := f.wait()
	page, err := f.gw.store.Read(ctx, f.topic, next, wait)
	if err != nil {
		return next, err
	}
	now := f.gw.clock.Now()
	for _, record := range page.Records {
		f.change(now, record)
	}
	if len(page.Records) == 0 {
		// An empty answer says that nothing had come when the wait ended. It may have been held up since.
		started = min(started.Add(wait), now)
	}
	if page.Next >= page.End {
		f.readDone(started, page.End)
	}
	return page.Next, nil
}

func (f *follower) readDone(started model.Instant, end uint64) {
	if f.read != nil {
		f.read(started, end)
	}
}

// record logs the loss and the return of the topic.
func (f *follower) record(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	f.gw.metrics.storeCall(f.name, err)
	log := f.gw.log.Part(logging.Platform)
	switch {
	case err != nil && !f.lost:
		f.lost = true
		log.Event("store is lost", logging.Name(f.name), logging.SystemError(err))
	case err == nil && f.lost:
		f.lost = false
		log.Event("store is back", logging.Name(f.name))
	}
}

func sleep(ctx context.Context, wait time.Duration) {
	if wait <= 0 {
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (g *gateway) operatorFollower() *follower {
	return &follower{
		name: "operator", topic: platform.TopicOperator, gw: g,
		wait: func() time.Duration { return operatorWait },
		list: func(now model.Instant, page platform.Page) {
			listed := map[model.Zone]bool{}
			for _, record := range page.Records {
				if decoded := g.applyOperator(now, record); decoded.Evacuated {
					listed[decoded.Evacuate] = true
				}
			}
			g.state.withRegistry(func(r *registry.Registry) {
				for _, zone := range r.EvacuatedZones() {
					if !listed[zone] {
						r.Evacuate(now, zone, false)
					}
				}
			})
		},
		change: func(now model.Instant, record platform.Record) { g.applyOperator(now, record) },
	}
}

func (g *gateway) applyOperator(now model.Instant, record platform.Record) platform.OperatorRecord {
	log := g.log.Part(logging.Config)
	decoded, err := platform.DecodeOperator(record)
	if err != nil {
		log.Event("record is refused", logging.Name(record.Key), logging.Offset(model.Offset(record.Offset)),
			logging.ErrorType(err), logging.SystemError(err))
		return platform.OperatorRecord{}
	}
	if config := decoded.Config; config != nil {
		current := g.state.config.Load()
		if current != nil && config.Version <= current.Version {
			return decoded
		}
		g.state.setConfig(config)
		log.Event("configuration is in force", logging.Version(config.Version),
			logging.Offset(model.Offset(record.Offset)), logging.Count(config.Routes()))
		g.control.viewChanged()
	}
	if zone := decoded.Evacuate; zone != "" {
		changed := false
		g.state.withRegistry(func(r *registry.Registry) { changed = r.Evacuate(now, zone, decoded.Evacuated) })
		if changed {
			log.Event("zone changes", logging.Zone(zone), logging.State(evacuationState(decoded.Evacuated)))
			g.control.viewChanged()
		}
	}
	return decoded
}

func evacuationState(evacuated bool) string {
	if evacuated {
		return "out of service"
	}
	return "in service"
}

func (g *gateway) targetFollower() *follower {
	f := &follower{
		name: "targets", topic: platform.TopicTargets, gw: g, pace: targetsEvery, answered: g.expireTargets,
		wait: func() time.Duration { return 0 },
		list: func(now model.Instant, page platform.Page) {
			listed := map[model.TargetID]bool{}
			for _, record := range page.Records {
				if g.applyTarget(now, record) {
					listed[model.TargetID(record.Key)] = true
				}
			}
			g.state.withRegistry(func(r *registry.Registry) { r.Retain(now, listed) })
			g.state.mu.Lock()
			g.state.registryRead = true
			g.state.mu.Unlock()
			g.control.viewChanged()
		},
		change: func(now model.Instant, record platform.Record) { g.applyTarget(now, record) },
	}
	return f
}

// expireTargets drops entries that lapsed while the store was away and have not returned since.
func (g *gateway) expireTargets(now model.Instant, answered bool) {
	g.state.withRegistry(func(r *registry.Registry) {
		r.StoreAnswered(now, answered)
		for _, id := range r.Expire(now) {
			g.log.Part(logging.Registry).Event("target is gone", logging.TargetID(id), logging.Reason("entry lapsed"))
			g.control.viewChanged()
		}
	})
}

// applyTarget returns false if the record names no target to use.
func (g *gateway) applyTarget(now model.Instant, record platform.Record) bool {
	log := g.log.Part(logging.Registry)
	id := model.TargetID(record.Key)
	changed := false
	if len(record.Value) == 0 {
		g.state.withRegistry(func(r *registry.Registry) { changed = r.Remove(now, id) })
		if changed {
			log.Event("target is gone", logging.TargetID(id), logging.Reason("entry removed"))
			g.control.viewChanged()
		}
		return false
	}
	registration, err := platform.DecodeTarget(record)
	if err != nil {
		log.Event("record is refused", logging.TargetID(id), logging.Offset(model.Offset(record.Offset)), logging.SystemError(err))
		g.state.withRegistry(func(r *registry.Registry) { changed = r.Remove(now, id) })
		return false
	}
	target := registration.Target
	g.state.withRegistry(func(r *registry.Registry) { changed = r.Report(now, target, registration.ColdLeft) })
	if changed {
		log.Event("target changes", logging.TargetID(id), logging.Service(target.Service), logging.Zone(target.Zone),
			logging.Address(target.Address), logging.State(targetState(registration)))
		g.control.viewChanged()
	}
	return true
}

func targetState(registration platform.Registration) string {
	switch {
	case registration.Target.Draining:
		return "draining"
	case registration.ColdLeft > 0:
		return "cold"
	}
	return "ready"
}

func (g *gateway) tableFollower() *follower {
	apply := func(now model.Instant, record platform.Record) {
		if record.Key != keyAssignment {
			return
		}
		g.applyTable(now, record)
	}
	return &follower{
		name: "assignment", topic: topicAssignment, gw: g,
		wait: func() time.Duration {
			if g.control.leading.Load() {
				return leaderWait
			}
			return assignmentWait
		},
		list: func(now model.Instant, page platform.Page) {
			if len(page.Records) == 0 && g.state.table.Load() == nil {
				g.state.setTable(&keyspace.Table{})
			}
			for _, record := range page.Records {
				apply(now, record)
			}
		},
		change: apply,
		read:   func(started model.Instant, end uint64) { g.control.tableConfirmed(started, end) },
	}
}

func (g *gateway) applyTable(now model.Instant, record platform.Record) {
	log := g.log.Part(logging.Keyspace)
	table, err := keyspace.DecodeTable(record.Value, record.Offset)
	if err != nil {
		log.Event("record is refused", logging.Offset(model.Offset(record.Offset)), logging.SystemError(err))
		return
	}
	if current := g.state.table.Load(); current != nil && current.Leader != "" && table.Offset <= current.Offset {
		return
	}
	g.state.setTable(table)
	log.Event("assignment is in force", logging.Table(table.Offset), logging.Name(table.Leader), logging.Count(len(table.Ranges)))
	g.control.tableRead(now, record)
}
