package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"

	"github.com/tarragonpoint/tarragonpoint/internal/hub"
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
	// assignmentPace is the least time between two reads of the assignment. While load moves, a leader writes several
	// tables a second, and each would wake every VM that reads for itself.
	assignmentPace = 400 * time.Millisecond
	// leaderWait and leaderPace are the wait and the pace of the leader, on whose reads all VMs rely.
	leaderWait = 400 * time.Millisecond
	leaderPace = 400 * time.Millisecond
	// targetsEvery is the time between two reads of the targets' reports. Targets that leave must get no work 2 s after
	// their last report.
	targetsEvery = 800 * time.Millisecond
	// readRetry is the time after which a failed read is repeated, and maxReadRetry what it grows to. Many VMs read at once
	// when the store comes back, so the times are spread.
	readRetry    = 200 * time.Millisecond
	maxReadRetry = 400 * time.Millisecond
	// topicRelist and assignmentRelist are the ages from which a VM lists a topic instead of reading what it missed. In
	// one second 370 targets write 65 KB of reports, and a leader some tables of 20 KB; the lists have 150 and 27 KB.
	// After a cut of 12 s, what 29 VMs had missed filled the link between two regions for 4 s.
	topicRelist      = 2500 * time.Millisecond
	assignmentRelist = time.Second
	// outageWait is how long a read that failed waits for another topic's reads to find the store back.
	outageWait = 2 * time.Second
	// topicAssignment holds the assignment of keys, under one key.
	topicAssignment = "keyed.tarragonpoint"
	keyAssignment   = "assignment"
)

// follower keeps this VM's state up to date with one topic of the store. While the leader passes the topic on, it reads
// nothing itself.
type follower struct {
	name  string
	topic string
	gw    *gateway
	// wait returns how long a read waits for a record.
	wait func() time.Duration
	// pace is the least time between the starts of two reads.
	pace time.Duration
	// relist is the age of what is known from which the topic is listed instead of read on.
	relist time.Duration
	// leaderWait is how long a read of the leader waits for a record; 0 makes it read at leaderPace.
	leaderWait time.Duration
	// probes is true for the follower whose reads are repeated soon while the store is away.
	probes bool
	// list applies the newest record of each key and returns what others need to know of them; change does the same for
	// one new record, and returns nil if they need nothing.
	list   func(now model.Instant, page platform.Page) []passedRecord
	change func(now model.Instant, record platform.Record) *passedRecord
	// applyDelta applies a record that was passed on as a delta, and reports whether that was possible.
	applyDelta func(now model.Instant, record platform.Record) bool
	// read is told of each read: when the topic was known to end at the offset end.
	read func(known model.Instant, end uint64)

	lost bool

	mu     sync.Mutex
	next   uint64
	listed bool
	// known is when the topic was last known to end at next.
	known model.Instant
	// freshUntil is how long what the leader passed on is taken as up to date. It is read without the lock, because the
	// control loop asks for it while a follower may wait for that loop.
	freshUntil atomic.Int64
}

const (
	// passedOnFresh is how long a topic that the leader passed on is taken as up to date. The leader reads every topic
	// at least twice in that time.
	passedOnFresh = 1100 * time.Millisecond
)

// run follows the topic until ctx ends.
func (f *follower) run(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		if rest := f.rest(); rest > 0 {
			sleep(ctx, rest)
			continue
		}
		started := f.gw.clock.Now()
		callCtx, done := f.gw.outage.begin(ctx)
		err := f.update(callCtx, started)
		restarted := callCtx.Err() != nil && ctx.Err() == nil
		done()
		if restarted {
			continue
		}
		f.record(ctx, err)
		if err == nil {
			failures = 0
		}
		now := f.gw.clock.Now()
		f.gw.expireTargets(now, !f.gw.outage.ended(started, now, err == nil))
		switch {
		case err != nil:
			failures++
			f.gw.outage.pause(ctx, f.retryWait(failures))
		default:
			sleep(ctx, f.readPace()-f.gw.clock.Now().Sub(started))
		}
	}
}

// backoff returns the wait after a number of failed reads in a row.
func backoff(failures int) time.Duration {
	wait := min(maxReadRetry, readRetry*time.Duration(failures))
	return wait/2 + time.Duration(rand.Int64N(int64(wait)))
}

// retryWait returns the wait after a number of failed reads in a row. While the store is away one follower tries again
// soon, and wakes the others when it succeeds.
func (f *follower) retryWait(failures int) time.Duration {
	if f.probes || !f.gw.outage.isLost() || !f.gw.probing() {
		return backoff(failures)
	}
	return outageWait
}

// probing reports whether the follower that probes the store reads it.
func (g *gateway) probing() bool {
	for _, f := range g.followers {
		if f.probes {
			return f.rest() <= 0
		}
	}
	return false
}

// rest returns how long this VM need not read the topic.
func (f *follower) rest() time.Duration {
	if f.gw.control.leading.Load() {
		return 0
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.listed {
		return 0
	}
	return f.freshFor()
}

// freshFor returns how long what the leader passed on is still taken as up to date.
func (f *follower) freshFor() time.Duration {
	return model.Instant(f.freshUntil.Load()).Sub(f.gw.clock.Now())
}

// fresh reports whether the leader passes the topic on to this VM.
func (f *follower) fresh() bool { return f.freshFor() > 0 }

func (f *follower) readPace() time.Duration {
	if !f.gw.control.leading.Load() {
		return f.pace
	}
	if f.leaderWait > 0 {
		return 0
	}
	return leaderPace
}

func (f *follower) readWait() time.Duration {
	if f.gw.control.leading.Load() {
		return f.leaderWait
	}
	return f.wait()
}

// update reads the topic once.
func (f *follower) update(ctx context.Context, started model.Instant) error {
	f.mu.Lock()
	listed, next, age := f.listed, f.next, started.Sub(f.known)
	f.mu.Unlock()
	if !listed || age >= f.relist {
		return f.listAll(ctx, started)
	}
	err := f.readOn(ctx, started, next)
	if errorx.IsOfType(err, platform.ErrExpired) {
		f.mu.Lock()
		f.listed = false
		f.mu.Unlock()
	}
	return err
}

func (f *follower) listAll(ctx context.Context, started model.Instant) error {
	page, err := f.gw.store.Newest(ctx, f.topic)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	passed := f.list(f.gw.clock.Now(), page)
	former := f.next
	f.next, f.listed, f.known = page.Next, true, started
	if former > 0 && f.gw.control.leading.Load() {
		// History that the store has dropped need not be read by all VMs at once.
		f.gw.passOn(f.topic, former, page.Next, f.gw.clock.Now().Sub(started), passed)
	}
	f.readDone(started, page.End)
	return nil
}

func (f *follower) readOn(ctx context.Context, started model.Instant, next uint64) error {
	wait := f.readWait()
	page, err := f.gw.store.Read(ctx, f.topic, next, wait)
	if err != nil {
		return err
	}
	now := f.gw.clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.next != next {
		// The leader has passed on newer records in the meantime; the next read starts after them.
		return nil
	}
	effective := f.apply(now, page.Records)
	if len(page.Records) == 0 {
		// An empty answer says that nothing had come when the wait ended. It may have been held up since.
		started = min(started.Add(wait), now)
	}
	f.next = page.Next
	if page.Next >= page.End {
		f.known = started
	}
	if f.gw.control.leading.Load() {
		f.gw.passOn(f.topic, next, page.Next, f.gw.clock.Now().Sub(started), effective)
	}
	if page.Next >= page.End {
		f.readDone(started, page.End)
	}
	return nil
}

// appended applies a record that this VM wrote, and passes it on without reading it back.
func (f *follower) appended(now model.Instant, record platform.Record) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.listed || f.next != record.Offset {
		// Records before it are not known yet, so the next read brings both.
		return
	}
	effective := f.apply(now, []platform.Record{record})
	f.next = record.Offset + 1
	if f.gw.control.leading.Load() {
		f.gw.passOn(f.topic, record.Offset, f.next, 0, effective)
	}
}

// apply applies records and returns those that other VMs need.
func (f *follower) apply(now model.Instant, records []platform.Record) []passedRecord {
	var passed []passedRecord
	for _, record := range records {
		if p := f.change(now, record); p != nil {
			passed = append(passed, *p)
		}
	}
	return passed
}

// whole passes a record on as it is.
func whole(record platform.Record) *passedRecord { return &passedRecord{Record: record} }

// applyBatch applies what the leader passed on. A batch that leaves a gap is of no use: this VM reads on by itself.
func (f *follower) applyBatch(batch *hub.Batch) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.listed || batch.From > f.next || batch.To < f.next {
		return
	}
	now := f.gw.clock.Now()
	for _, record := range batch.Records {
		if !f.applyPassed(now, record) {
			return
		}
	}
	f.next = batch.To
	f.known = now.Add(-time.Duration(batch.Age) * time.Millisecond)
	f.freshUntil.Store(int64(now.Add(passedOnFresh - time.Duration(batch.Age)*time.Millisecond)))
	f.gw.expireTargets(now, true)
}

// applyPassed applies a record that the leader passed on. It returns false if this VM has to read it itself.
func (f *follower) applyPassed(now model.Instant, passed hub.Record) bool {
	record := platform.Record{Key: passed.Key, Value: passed.Value, Offset: passed.Offset}
	if passed.Delta {
		return f.applyDelta != nil && f.applyDelta(now, record)
	}
	f.change(now, record)
	return true
}

func (f *follower) readDone(known model.Instant, end uint64) {
	if f.read != nil {
		f.read(known, end)
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
		wait: func() time.Duration { return operatorWait }, leaderWait: leaderWait, relist: topicRelist,
		list: g.listOperator,
		change: func(now model.Instant, record platform.Record) *passedRecord {
			g.applyOperator(now, record)
			return whole(record)
		},
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
		name: "targets", topic: platform.TopicTargets, gw: g, pace: targetsEvery, relist: topicRelist, probes: true,
		wait: func() time.Duration { return 0 },
		list: g.listTargets,
		change: func(now model.Instant, record platform.Record) *passedRecord {
			if !g.changeTarget(now, record) && !g.watched.has(now, model.TargetID(record.Key)) {
				return nil
			}
			return whole(record)
		},
	}
	return f
}

// expireTargets tells the registry whether the store answers, and drops entries that lapsed while it was away and have
// not returned since.
func (g *gateway) expireTargets(now model.Instant, answered bool) {
	g.state.withRegistry(func(r *registry.Registry) {
		r.StoreAnswered(now, answered)
		for _, id := range r.Expire(now) {
			g.log.Part(logging.Registry).Event("target is gone", logging.TargetID(id), logging.Reason("entry lapsed"))
			g.control.viewChanged()
		}
	})
}

// listOperator applies all records of the operators. Zones that are not listed are in service.
func (g *gateway) listOperator(now model.Instant, page platform.Page) []passedRecord {
	listed := map[model.Zone]bool{}
	var passed []passedRecord
	for _, record := range page.Records {
		if decoded := g.applyOperator(now, record); decoded.Evacuated {
			listed[decoded.Evacuate] = true
		}
		passed = append(passed, *whole(record))
	}
	var zones []model.Zone
	g.state.withRegistry(func(r *registry.Registry) { zones = r.EvacuatedZones() })
	for _, zone := range zones {
		if !listed[zone] {
			returned := platform.ReturnRecord(zone, page.Next)
			g.applyOperator(now, returned)
			passed = append(passed, *whole(returned))
		}
	}
	return passed
}

// listTargets applies all registrations. Targets that are not listed are gone.
func (g *gateway) listTargets(now model.Instant, page platform.Page) []passedRecord {
	listed := map[model.TargetID]bool{}
	var passed []passedRecord
	for _, record := range page.Records {
		if g.changeTarget(now, record) {
			passed = append(passed, *whole(record))
		}
		listed[model.TargetID(record.Key)] = true
	}
	var known []model.TargetID
	g.state.withRegistry(func(r *registry.Registry) { known = r.IDs() })
	for _, id := range known {
		if !listed[id] {
			g.removeTarget(now, id, "entry not listed")
			passed = append(passed, *whole(platform.Record{Key: string(id), Offset: page.Next}))
		}
	}
	g.state.mu.Lock()
	g.state.registryRead = true
	g.state.mu.Unlock()
	g.control.viewChanged()
	return passed
}

// listTables applies the newest assignment.
func (g *gateway) listTables(_ model.Instant, page platform.Page) []passedRecord {
	if len(page.Records) == 0 && g.state.table.Load() == nil {
		g.state.setTable(&keyspace.Table{})
	}
	var passed []passedRecord
	for _, record := range page.Records {
		g.applyTable(record)
		passed = append(passed, *whole(record))
	}
	return passed
}

// changeTarget applies a record and reports whether it changed what is known of the target.
func (g *gateway) changeTarget(now model.Instant, record platform.Record) bool {
	log := g.log.Part(logging.Registry)
	id := model.TargetID(record.Key)
	if len(record.Value) == 0 {
		g.removeTarget(now, id, "entry removed")
		return true
	}
	registration, err := platform.DecodeTarget(record)
	if err != nil {
		log.Event("record is refused", logging.TargetID(id), logging.Offset(model.Offset(record.Offset)), logging.SystemError(err))
		g.removeTarget(now, id, "entry cannot be read")
		return true
	}
	target := registration.Target
	changed := false
	g.state.withRegistry(func(r *registry.Registry) { changed = r.Report(now, target, registration.ColdLeft) })
	if changed {
		log.Event("target changes", logging.TargetID(id), logging.Service(target.Service), logging.Zone(target.Zone),
			logging.Address(target.Address), logging.State(targetState(registration)))
		g.control.viewChanged()
	}
	return changed
}

func (g *gateway) removeTarget(now model.Instant, id model.TargetID, reason string) {
	removed := false
	g.state.withRegistry(func(r *registry.Registry) { removed = r.Remove(now, id) })
	if removed {
		g.log.Part(logging.Registry).Event("target is gone", logging.TargetID(id), logging.Reason(reason))
		g.control.viewChanged()
	}
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
	return &follower{
		name: "assignment", topic: topicAssignment, gw: g, pace: assignmentPace, relist: assignmentRelist,
		wait:       func() time.Duration { return assignmentWait },
		list:       g.listTables,
		change:     g.changeTable,
		applyDelta: g.applyTableDelta,
		read:       func(started model.Instant, end uint64) { g.control.tableConfirmed(started, end) },
	}
}

// changeTable applies a record of the assignment and returns the delta by which other VMs follow.
func (g *gateway) changeTable(_ model.Instant, record platform.Record) *passedRecord {
	table := g.decodeTable(record)
	if table == nil {
		return whole(record)
	}
	base := g.passedTable
	g.passedTable = table
	g.setTable(table)
	if base == nil {
		return whole(record)
	}
	raw, err := keyspace.EncodeDelta(base, table)
	if err != nil {
		g.log.Part(logging.Keyspace).Event("delta is not encoded", logging.SystemError(err))
		return whole(record)
	}
	return &passedRecord{Record: platform.Record{Key: record.Key, Value: raw, Offset: record.Offset}, delta: true}
}

// applyTableDelta applies a delta that the leader passed on.
func (g *gateway) applyTableDelta(_ model.Instant, record platform.Record) bool {
	base := g.state.table.Load()
	if base != nil && base.Offset >= record.Offset {
		return true
	}
	table, err := keyspace.ApplyDelta(base, record.Value, record.Offset)
	if err != nil {
		return false
	}
	g.setTable(table)
	return true
}

// applyTable applies a record of the assignment.
func (g *gateway) applyTable(record platform.Record) {
	if table := g.decodeTable(record); table != nil {
		g.passedTable = table
		g.setTable(table)
	}
}

// decodeTable returns nil for a record that holds no table.
func (g *gateway) decodeTable(record platform.Record) *keyspace.Table {
	if record.Key != keyAssignment {
		return nil
	}
	table, err := keyspace.DecodeTable(record.Value, record.Offset)
	if err != nil {
		g.log.Part(logging.Keyspace).Event("record is refused", logging.Offset(model.Offset(record.Offset)), logging.SystemError(err))
		return nil
	}
	return table
}

// setTable puts a table in force if it is newer than the present one.
func (g *gateway) setTable(table *keyspace.Table) {
	if current := g.state.table.Load(); current != nil && current.Leader != "" && table.Offset <= current.Offset {
		return
	}
	former := g.leaderAddress()
	g.state.setTable(table)
	if g.leaderAddress() != former {
		select {
		case g.newLeader <- struct{}{}:
		default:
		}
	}
	g.log.Part(logging.Keyspace).Info("assignment is in force", logging.Table(table.Offset), logging.Name(table.Leader),
		logging.Count(len(table.Ranges)))
	g.control.tableRead(g.clock.Now(), table)
}
