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
	operatorPollWait = 1800 * time.Millisecond
	// assignmentWait is the same for the assignment of keys, whose followers are told by targets too.
	assignmentPollWait = 4 * time.Second
	// assignmentPace is the least time between two reads of the assignment. While load moves, a leader writes several
	// tables a second, and each would wake every VM that reads for itself.
	assignmentReadInterval = 400 * time.Millisecond
	// leaderWait and leaderPace are the wait and the pace of the leader, on whose reads all VMs rely.
	leaderPollWait     = 400 * time.Millisecond
	leaderReadInterval = 400 * time.Millisecond
	// targetsEvery is the time between two reads of the targets' reports. Targets that leave must get no work 2 s after
	// their last report.
	targetsReadInterval = 800 * time.Millisecond
	// readRetry is the time after which a failed read is repeated, and maxReadRetry what it grows to. Many VMs read at once
	// when the store comes back, so the times are spread.
	readRetryDelay    = 200 * time.Millisecond
	maxReadRetryDelay = 400 * time.Millisecond
	// topicRelist and assignmentRelist are the ages from which a VM lists a topic instead of reading what it missed. In
	// one second 370 targets write 65 KB of reports, and a leader some tables of 20 KB; the lists have 150 and 27 KB.
	// After a cut of 12 s, what 29 VMs had missed filled the link between two regions for 4 s.
	topicRelistAge      = 2500 * time.Millisecond
	assignmentRelistAge = time.Second
	// outageWait is how long a read that failed waits for another topic's reads to find the store back.
	outageRetryDelay = 2 * time.Second
	// topicAssignment holds the assignment of keys, under one key.
	topicAssignment = "keyed.tarragonpoint"
	keyAssignment   = "assignment"
)

// follower keeps this VM's state up to date with one topic of the store. While the leader passes the topic on, it reads
// nothing itself.
type topicFollower struct {
	name  string
	topic string
	gw    *gateway
	// wait returns how long a read waits for a record.
	pollWait func() time.Duration
	// pace is the least time between the starts of two reads.
	readInterval time.Duration
	// relist is the age of what is known from which the topic is listed instead of read on.
	relistAge time.Duration
	// leaderWait is how long a read of the leader waits for a record; 0 makes it read at leaderPace.
	leaderPollWait time.Duration
	// list applies the newest record of each key and returns what others need to know of them; change does the same for
	// one new record, and returns nil if they need nothing.
	applyList   func(now model.Instant, page platform.Page) []relayedRecord
	applyRecord func(now model.Instant, record platform.Record) *relayedRecord
	// applyDelta applies a record that was passed on as a delta, and reports whether that was possible.
	applyDelta func(now model.Instant, record platform.Record) bool
	// read is told of each read: when the topic was known to end at the offset end.
	onRead func(known model.Instant, end uint64)

	failing bool

	mu         sync.Mutex
	nextOffset uint64
	listed     bool
	// known is when an answer or the leader last said that the topic ends at next.
	confirmedAt model.Instant
	// freshUntil is how long what the leader passed on is taken as up to date. It is read without the lock, because the
	// control loop asks for it while a follower may wait for that loop.
	freshUntil atomic.Int64
}

const (
	// passedOnFresh is how long a topic that the leader passed on is taken as up to date. The leader reads every topic
	// at least twice in that time.
	relayFreshness = 1100 * time.Millisecond
)

// run follows the topic until ctx ends.
func (f *topicFollower) run(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		if idle := f.idleTime(); idle > 0 {
			sleep(ctx, idle)
			continue
		}
		started := f.gw.clock.Now()
		callCtx, done := f.gw.outage.beginRead(ctx)
		err := f.update(callCtx, started)
		restarted := callCtx.Err() != nil && ctx.Err() == nil
		done()
		if restarted {
			continue
		}
		f.recordResult(ctx, err)
		if err == nil {
			failures = 0
		}
		now := f.gw.clock.Now()
		f.gw.expireTargets(now, !f.gw.outage.endRead(started, now, err == nil))
		switch {
		case err != nil:
			failures++
			f.gw.outage.waitRetry(ctx, f.retryDelay(failures))
		default:
			sleep(ctx, f.currentReadInterval()-f.gw.clock.Now().Sub(started))
		}
	}
}

// backoff returns the wait after a number of failed reads in a row.
func backoff(failures int) time.Duration {
	wait := min(maxReadRetryDelay, readRetryDelay*time.Duration(failures))
	return wait/2 + time.Duration(rand.Int64N(int64(wait)))
}

// retryWait returns the wait after a number of failed reads in a row. While the store is away the follower of the targets
// tries again soon, as its reads do not wait for a record, and wakes the others when it succeeds.
func (f *topicFollower) retryDelay(failures int) time.Duration {
	if f.topic == platform.TopicTargets || !f.gw.outage.isDown() || !f.gw.probesStore() {
		return backoff(failures)
	}
	return outageRetryDelay
}

// follower returns the follower of a topic, or nil for a topic that no VM follows.
func (g *gateway) follower(topic string) *topicFollower {
	for _, f := range g.followers {
		if f.topic == topic {
			return f
		}
	}
	return nil
}

// probing reports whether the follower of the targets reads the store, rather than what the leader passes on.
func (g *gateway) probesStore() bool { return g.follower(platform.TopicTargets).idleTime() <= 0 }

// rest returns how long this VM need not read the topic.
func (f *topicFollower) idleTime() time.Duration {
	if f.gw.controller.isLeader.Load() {
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
func (f *topicFollower) freshFor() time.Duration {
	return model.Instant(f.freshUntil.Load()).Sub(f.gw.clock.Now())
}

// fresh reports whether the leader passes the topic on to this VM.
func (f *topicFollower) fresh() bool { return f.freshFor() > 0 }

func (f *topicFollower) currentReadInterval() time.Duration {
	if !f.gw.controller.isLeader.Load() {
		return f.readInterval
	}
	if f.leaderPollWait > 0 {
		return 0
	}
	return leaderReadInterval
}

func (f *topicFollower) currentPollWait() time.Duration {
	if f.gw.controller.isLeader.Load() {
		return f.leaderPollWait
	}
	return f.pollWait()
}

// update reads the topic once.
func (f *topicFollower) update(ctx context.Context, started model.Instant) error {
	f.mu.Lock()
	listed, next, age := f.listed, f.nextOffset, started.Sub(f.confirmedAt)
	f.mu.Unlock()
	if !listed || age >= f.relistAge {
		return f.listAll(ctx, started)
	}
	err := f.readNext(ctx, started, next)
	if errorx.IsOfType(err, platform.ErrExpired) {
		f.mu.Lock()
		f.listed = false
		f.mu.Unlock()
	}
	return err
}

func (f *topicFollower) listAll(ctx context.Context, started model.Instant) error {
	page, err := f.gw.store.Newest(ctx, f.topic)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	relayed := f.applyList(f.gw.clock.Now(), page)
	previous := f.nextOffset
	f.nextOffset, f.listed, f.confirmedAt = page.Next, true, f.gw.clock.Now()
	if previous > 0 && f.gw.controller.isLeader.Load() {
		// History that the store has dropped need not be read by all VMs at once.
		f.gw.relay(f.topic, previous, page.Next, f.gw.clock.Now().Sub(started), relayed)
	}
	f.notifyRead(started, page.End)
	return nil
}

func (f *topicFollower) readNext(ctx context.Context, started model.Instant, next uint64) error {
	wait := f.currentPollWait()
	page, err := f.gw.store.Read(ctx, f.topic, next, wait)
	if err != nil {
		return err
	}
	now := f.gw.clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.nextOffset != next {
		// The leader has passed on newer records in the meantime; the next read starts after them.
		return nil
	}
	relayed := f.applyRecords(now, page.Records)
	if len(page.Records) == 0 {
		// An empty answer says that nothing had come when the wait ended. It may have been held up since.
		started = min(started.Add(wait), now)
	}
	f.nextOffset = page.Next
	if page.Next >= page.End {
		f.confirmedAt = now
	}
	if f.gw.controller.isLeader.Load() {
		f.gw.relay(f.topic, next, page.Next, f.gw.clock.Now().Sub(started), relayed)
	}
	if page.Next >= page.End {
		f.notifyRead(started, page.End)
	}
	return nil
}

// appended applies a record that this VM wrote, and passes it on without reading it back.
func (f *topicFollower) appended(now model.Instant, record platform.Record) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.listed || f.nextOffset != record.Offset {
		// Records before it are not known yet, so the next read brings both.
		return
	}
	relayed := f.applyRecords(now, []platform.Record{record})
	f.nextOffset = record.Offset + 1
	if f.gw.controller.isLeader.Load() {
		f.gw.relay(f.topic, record.Offset, f.nextOffset, 0, relayed)
	}
}

// apply applies records and returns those that other VMs need.
func (f *topicFollower) applyRecords(now model.Instant, records []platform.Record) []relayedRecord {
	var relayed []relayedRecord
	for _, record := range records {
		if p := f.applyRecord(now, record); p != nil {
			relayed = append(relayed, *p)
		}
	}
	return relayed
}

// whole passes a record on as it is.
func fullRecord(record platform.Record) *relayedRecord { return &relayedRecord{Record: record} }

// applyBatch applies what the leader passed on. A batch that leaves a gap is of no use: this VM reads on by itself.
func (f *topicFollower) applyBatch(batch *hub.Batch) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.listed || batch.From > f.nextOffset || batch.To < f.nextOffset {
		return
	}
	now := f.gw.clock.Now()
	for _, record := range batch.Records {
		if !f.applyRelayed(now, record) {
			return
		}
	}
	f.nextOffset = batch.To
	f.confirmedAt = now.Add(-time.Duration(batch.Age) * time.Millisecond)
	f.freshUntil.Store(int64(now.Add(relayFreshness - time.Duration(batch.Age)*time.Millisecond)))
	f.gw.expireTargets(now, true)
}

// applyPassed applies a record that the leader passed on. It returns false if this VM has to read it itself.
func (f *topicFollower) applyRelayed(now model.Instant, relayed hub.Record) bool {
	record := platform.Record{Key: relayed.Key, Value: relayed.Value, Offset: relayed.Offset}
	if relayed.Delta {
		return f.applyDelta != nil && f.applyDelta(now, record)
	}
	f.applyRecord(now, record)
	return true
}

func (f *topicFollower) notifyRead(confirmedAt model.Instant, end uint64) {
	if f.onRead != nil {
		f.onRead(confirmedAt, end)
	}
}

// record logs the loss and the return of the topic.
func (f *topicFollower) recordResult(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	f.gw.metrics.storeCall(f.name, err)
	log := f.gw.log.Part(logging.Platform)
	switch {
	case err != nil && !f.failing:
		f.failing = true
		log.Event("store is lost", logging.Name(f.name), logging.SystemError(err))
	case err == nil && f.failing:
		f.failing = false
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
