package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"

	"github.com/tarragonpoint/tarragonpoint/internal/hub"
	"github.com/tarragonpoint/tarragonpoint/internal/logging"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
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
	// known is when an answer or the leader last said that the topic ends at next.
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

// retryWait returns the wait after a number of failed reads in a row. While the store is away the follower of the targets
// tries again soon, as its reads do not wait for a record, and wakes the others when it succeeds.
func (f *follower) retryWait(failures int) time.Duration {
	if f.topic == platform.TopicTargets || !f.gw.outage.isLost() || !f.gw.probing() {
		return backoff(failures)
	}
	return outageWait
}

// follower returns the follower of a topic, or nil for a topic that no VM follows.
func (g *gateway) follower(topic string) *follower {
	for _, f := range g.followers {
		if f.topic == topic {
			return f
		}
	}
	return nil
}

// probing reports whether the follower of the targets reads the store, rather than what the leader passes on.
func (g *gateway) probing() bool { return g.follower(platform.TopicTargets).rest() <= 0 }

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
	f.next, f.listed, f.known = page.Next, true, f.gw.clock.Now()
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
		f.known = now
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
