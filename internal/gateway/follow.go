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
	// operatorPollWait is how long a read of the operators' records waits for a new one. A lost response is detected
	// after this time plus the call's timeout; the sum must stay below the platform's contact limit of 3 s.
	operatorPollWait = 1800 * time.Millisecond
	// assignmentPollWait is the same for the key assignment. It can be longer, because targets also notify VMs that use
	// an outdated assignment.
	assignmentPollWait = 4 * time.Second
	// assignmentReadInterval is the shortest time between two reads of the assignment. While load shifts, a leader
	// writes several tables per second, each of which would wake every VM that reads the store directly.
	assignmentReadInterval = 400 * time.Millisecond
	// assignmentReadIntervalPerRange is added for each range of the assignment, because all VMs that read the store directly
	// read each table whole.
	assignmentReadIntervalPerRange = time.Millisecond
	// leaderPollWait and leaderReadInterval are the poll wait and the read interval of the leader, whose reads all VMs
	// depend on.
	leaderPollWait     = 400 * time.Millisecond
	leaderReadInterval = 400 * time.Millisecond
	// confirmationInterval is the shortest time between two reads of the assignment by a leader whose grants wait for a confirmation.
	// It bounds the calls to the store while connections to many targets are opened one after the other.
	confirmationInterval = 50 * time.Millisecond
	// targetsReadInterval is the time between two reads of the targets' reports. A target that leaves must get no work
	// 2 s after its last report.
	targetsReadInterval = 800 * time.Millisecond
	// readRetryDelay is the delay before a failed read is retried; it doubles up to maxReadRetryDelay. The delays are
	// randomized, because many VMs read at once when the store recovers. While the store turns hundreds of VMs away, their
	// retries are most of the calls that it gets.
	readRetryDelay    = 200 * time.Millisecond
	maxReadRetryDelay = 600 * time.Millisecond
	// topicRelistAge and assignmentRelistAge are the ages of the local state from which a VM lists the newest records of
	// a topic instead of reading the ones it missed. In one second 370 targets write 65 KB of reports and a leader
	// several tables of 20 KB; the lists are 150 and 27 KB. After a network partition of 12 s, the missed records of
	// 29 VMs saturated the link between two regions for 4 s.
	topicRelistAge      = 2500 * time.Millisecond
	assignmentRelistAge = time.Second
	// outageRetryDelay is how long a failed read waits for another topic's read to detect that the store has recovered.
	outageRetryDelay = 2 * time.Second
	// topicAssignment is the topic of the key assignment, which is stored under the single key keyAssignment.
	topicAssignment = "keyed.tarragonpoint"
	keyAssignment   = "assignment"
)

// topicFollower keeps this VM's state up to date with one topic of the store. While the leader relays the topic, it
// does not read the store.
type topicFollower struct {
	name  string
	topic string
	gw    *gateway
	// pollWait returns how long a read waits for a record.
	pollWait func() time.Duration
	// readInterval returns the shortest time between the starts of two reads.
	readInterval func() time.Duration
	// relistAge is the age of the local state from which the topic is listed instead of read from the next offset.
	relistAge time.Duration
	// leaderPollWait is how long a read by the leader waits for a record; 0 makes it read every leaderReadInterval.
	leaderPollWait time.Duration
	// freshness is how long the topic counts as up to date once the leader has relayed it. It exceeds the time between two
	// reads by the leader.
	freshness time.Duration
	// ignoresOutages is true if the results of reads do not show whether the store responds to this VM.
	ignoresOutages bool
	// applyList applies the newest record of each key and returns the records to relay to other VMs. restored is true if the list
	// may be that of an older copy, from which records are missing that their writers are about to write again. applyRecord does
	// the same for one new record, and returns nil if there is nothing to relay.
	applyList   func(now model.Instant, page platform.Page, restored bool) []relayedRecord
	applyRecord func(now model.Instant, record platform.Record) *relayedRecord
	// applyDelta applies a record that was relayed as a delta, and reports whether that was possible.
	applyDelta func(now model.Instant, record platform.Record) bool
	// onRead is called after each read up to the end of the topic, with an instant at which it ended at the offset end.
	onRead func(known model.Instant, end uint64)
	// onRelayed is called after each relayed batch that was applied, with an instant at which the leader had read the topic up to
	// the offset end.
	onRelayed func(at model.Instant, end uint64)
	// onEnd is called when this VM's state is known to have included the whole topic at an instant.
	onEnd func(at model.Instant)

	// failing is true while the last read failed.
	failing bool

	mu         sync.Mutex
	nextOffset uint64
	// listed is false until the topic has been listed, and again once the records at nextOffset have expired.
	listed bool
	// confirmedAt is when a response of the store or the leader last confirmed that the topic ends at nextOffset.
	confirmedAt model.Instant
	// newestAt is the start of the last call to the store that found no record after those that this VM has applied, or that
	// appended the newest one.
	newestAt model.Instant
	// endOffset is an offset at which the topic ended at endedAt or before. Unlike confirmedAt, endedAt allows for the time
	// that the response or the relayed batch has taken to arrive.
	endOffset uint64
	endedAt   model.Instant
	// relistAt is when the topic is listed once more, because the store was restored and absent records count from then on; 0 if
	// it was not.
	relistAt model.Instant
	// freshUntil is when the relayed state stops counting as up to date. It is read without the lock, because the
	// controller's loop reads it while a follower that holds the lock may be waiting for that loop. leaderUntil is the same for
	// batches that a leader has read.
	freshUntil  atomic.Int64
	leaderUntil atomic.Int64
	// readAt is when a read is due although the relayed state is not up to date any more; 0 while it is. It delays the reads of a
	// large deployment.
	readAt model.Instant
	// readNow wakes the goroutine of the follower after a gap, and when the leader needs a confirmation.
	readNow chan struct{}
	// isWaiting is true while a read waits for a record.
	isWaiting atomic.Bool
}

const (
	// relayFreshness is how long a relayed topic counts as up to date. The leader reads the topics that have it at least
	// twice in that time.
	relayFreshness = 1100 * time.Millisecond
	// relayDelayMargin is by how much earlier than its age says the records of a relayed batch may have been read: the age
	// does not count the time on the link and is in whole milliseconds. A round trip between regions takes 25 ms.
	relayDelayMargin = 100 * time.Millisecond
	// restoreGrace is how long after a restoration of the store its writers may take to write their records again: about 2 s, and
	// the time to read them.
	restoreGrace = 2500 * time.Millisecond
	// restoreSpread is the time over which VMs to which the leader relays a topic list it after restoreGrace. Listing a large
	// configuration takes a slow link seconds, and all VMs share the links between regions.
	restoreSpread = 5 * time.Second
)

// run follows the topic until ctx ends.
func (f *topicFollower) run(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		if idle := f.idleTime(); idle > 0 {
			f.sleepIdle(ctx, idle)
			continue
		}
		started := f.gw.clock.Now()
		callCtx, done := f.beginRead(ctx)
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
		if now := f.gw.clock.Now(); !f.ignoresOutages {
			f.gw.expireTargets(now, !f.gw.outage.endRead(started, now, err == nil))
		}
		switch {
		case err != nil:
			failures++
			f.gw.outage.waitRetry(ctx, f.retryDelay(failures))
		default:
			f.sleepUntilRead(ctx, started)
		}
	}
}

// beginRead returns a context for one read, and a function to call when it has ended. The context ends if the store recovers from an
// outage, or if this VM has become the leader and is woken while the read waits for a record, which the leader's reads do not.
func (f *topicFollower) beginRead(ctx context.Context) (context.Context, func()) {
	ctx, done := f.gw.outage.beginRead(ctx)
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		for {
			select {
			case <-f.readNow:
				if f.gw.controller.isLeader.Load() && f.leaderPollWait == 0 && f.isWaiting.Load() {
					cancel()
				}
			case <-ctx.Done():
				return
			}
		}
	}()
	return ctx, func() {
		f.isWaiting.Store(false)
		cancel()
		done()
	}
}

// backoff returns the randomized delay after a number of consecutive failed reads.
func backoff(failures int) time.Duration {
	wait := readRetryDelay
	for i := 1; i < failures && wait < maxReadRetryDelay; i++ {
		wait *= 2
	}
	wait = min(maxReadRetryDelay, wait)
	return wait/2 + time.Duration(rand.Int64N(int64(wait)))
}

// retryDelay returns the delay after a number of consecutive failed reads. While the store is unavailable, the follower
// of the targets retries soon, because its reads do not wait for a record, and wakes the others when it succeeds.
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

// probesStore reports whether the follower of the targets reads the store instead of relying on the leader.
func (g *gateway) probesStore() bool { return g.follower(platform.TopicTargets).idleTime() <= 0 }

// idleTime returns for how long this VM need not read the topic from the store. It is not positive if a read is due.
func (f *topicFollower) idleTime() time.Duration {
	if f.gw.controller.isLeader.Load() {
		return 0
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.listed {
		return 0
	}
	fresh, now := f.freshFor(), f.gw.clock.Now()
	idle := fresh
	if fresh > 0 {
		f.readAt = 0
	} else {
		if f.readAt == 0 {
			f.readAt = now.Add(f.gw.readDelay())
		}
		idle = f.readAt.Sub(now)
	}
	if f.relistAt != 0 {
		return min(idle, f.relistAt.Sub(now))
	}
	return idle
}

// sleepIdle waits until the topic may have to be read. It returns true if it was woken before idle has passed.
func (f *topicFollower) sleepIdle(ctx context.Context, idle time.Duration) bool {
	timer := time.NewTimer(idle)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-f.readNow:
		return true
	case <-ctx.Done():
	}
	return false
}

// sleepUntilRead waits until the read is due that follows one which began at started. The leader reads early when it is woken,
// because grants wait for a confirmation of the assignment.
func (f *topicFollower) sleepUntilRead(ctx context.Context, started model.Instant) {
	for {
		wait := f.currentReadInterval() - f.gw.clock.Now().Sub(started)
		if wait <= 0 || !f.sleepIdle(ctx, wait) {
			return
		}
		if f.gw.controller.isLeader.Load() {
			sleep(ctx, confirmationInterval-f.gw.clock.Now().Sub(started))
			return
		}
	}
}

// freshFor returns how long the relayed state still counts as up to date. It is negative if it no longer does.
func (f *topicFollower) freshFor() time.Duration {
	return model.Instant(f.freshUntil.Load()).Sub(f.gw.clock.Now())
}

// age returns the time since the store or the leader last confirmed that this VM has read the whole topic.
func (f *topicFollower) age(now model.Instant) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return now.Sub(f.confirmedAt)
}

// isRelayedByLeader reports whether a leader relays the topic to this VM, over any number of other VMs.
func (f *topicFollower) isRelayedByLeader() bool {
	return model.Instant(f.leaderUntil.Load()) > f.gw.clock.Now()
}

// isReadForOthers reports whether other VMs depend on this VM's reads: those of the leader, and of a relay without a leader.
func (f *topicFollower) isReadForOthers() bool {
	return f.gw.controller.isLeader.Load() || f.gw.passesOn()
}

func (f *topicFollower) currentReadInterval() time.Duration {
	if !f.isReadForOthers() {
		return f.readInterval()
	}
	if f.leaderPollWait > 0 {
		return 0
	}
	return leaderReadInterval
}

func (f *topicFollower) currentPollWait() time.Duration {
	if f.isReadForOthers() {
		return f.leaderPollWait
	}
	return f.pollWait()
}

// update lists the topic if the local state is missing or too old, and otherwise reads it from the next offset.
func (f *topicFollower) update(ctx context.Context, started model.Instant) error {
	f.mu.Lock()
	listed, next, age := f.listed, f.nextOffset, started.Sub(f.confirmedAt)
	isRelistDue := f.relistAt != 0 && started >= f.relistAt
	f.mu.Unlock()
	if !listed || isRelistDue || age >= f.relistAge {
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
	if model.EraOf(page.End) < model.EraOf(f.nextOffset) {
		// The leader relayed records of a later era in the meantime.
		return nil
	}
	f.enterEra(page.End)
	restored := started < f.relistAt
	if !restored {
		f.relistAt = 0
	}
	relayed := f.applyList(f.gw.clock.Now(), page, restored)
	// An empty topic has been read up to offset 0.
	previous, wasRead := f.nextOffset, f.listed || f.nextOffset > 0
	f.nextOffset, f.listed, f.confirmedAt, f.newestAt = page.Next, true, f.gw.clock.Now(), started
	if wasRead && f.isReadForOthers() {
		// The store may have dropped the records in between; relaying the list keeps all VMs from listing at once.
		f.gw.relay(f.topic, previous, page.Next, f.gw.clock.Now().Sub(started), relayed)
	}
	f.notifyRead(started, page.End)
	return nil
}

func (f *topicFollower) readNext(ctx context.Context, started model.Instant, next uint64) error {
	wait := f.currentPollWait()
	f.isWaiting.Store(wait > 0)
	page, err := f.gw.store.Read(ctx, f.topic, next, wait)
	if err != nil {
		return err
	}
	now, callStarted := f.gw.clock.Now(), started
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.nextOffset != next {
		// The leader relayed newer records in the meantime; the next read starts after them.
		return nil
	}
	if model.EraOf(page.End) != model.EraOf(next) {
		// The store was restored, so its records at these offsets do not follow those that this VM has.
		f.listed = false
		return nil
	}
	relayed := f.applyRecords(now, page.Records)
	if len(page.Records) == 0 && now.Sub(started) >= wait {
		// An empty response means that there was no record when the wait ended. Its delivery may have been delayed since. If it
		// arrives earlier, the store did not wait.
		started = started.Add(wait)
	}
	f.nextOffset = page.Next
	if page.Next >= page.End {
		f.confirmedAt, f.newestAt = now, callStarted
	}
	if f.isReadForOthers() {
		f.gw.relay(f.topic, next, page.Next, f.gw.clock.Now().Sub(started), relayed)
	}
	if page.Next >= page.End {
		f.notifyRead(started, page.End)
	}
	return nil
}

// enterEra makes absent records count only from restoreGrace on if a position is of a later era than this VM's state, and reports
// whether it is. The caller must hold mu.
func (f *topicFollower) enterEra(position uint64) bool {
	if f.nextOffset == 0 || model.EraOf(position) <= model.EraOf(f.nextOffset) {
		return false
	}
	f.relistAt = f.gw.clock.Now().Add(restoreGrace)
	if !f.gw.controller.isLeader.Load() {
		f.relistAt = f.relistAt.Add(time.Duration(rand.Int64N(int64(restoreSpread))))
	}
	return true
}

// appended applies a record that this VM wrote in a call that began at started, and relays it without reading it back.
func (f *topicFollower) appended(started, now model.Instant, record platform.Record) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.listed || f.nextOffset != record.Offset {
		// Records before it have not been read yet; the next read returns all of them.
		return
	}
	relayed := f.applyRecords(now, []platform.Record{record})
	f.nextOffset, f.confirmedAt, f.newestAt = record.Offset+1, now, started
	if f.gw.controller.isLeader.Load() {
		f.gw.relay(f.topic, record.Offset, f.nextOffset, 0, relayed)
	}
}

// applyRecords applies records and returns those to relay to other VMs.
func (f *topicFollower) applyRecords(now model.Instant, records []platform.Record) []relayedRecord {
	var relayed []relayedRecord
	for _, record := range records {
		if r := f.applyRecord(now, record); r != nil {
			relayed = append(relayed, *r)
		}
	}
	return relayed
}

// fullRecord returns a record to relay unchanged, not as a delta.
func fullRecord(record platform.Record) *relayedRecord { return &relayedRecord{Record: record} }

// applyBatch applies a batch that another VM relayed, and reports whether no records before it are missing. A batch that
// would leave a gap is ignored; this VM then reads the store itself. isFromLeader is false if a relay without a leader has
// read the batch.
func (f *topicFollower) applyBatch(batch *hub.Batch, isFromLeader bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.gw.clock.Now()
	if !f.listed || batch.From > f.nextOffset {
		f.gapFound(now)
		return false
	}
	if batch.To < f.nextOffset {
		return true
	}
	f.gw.eraSeen(model.EraOf(batch.To))
	isNewEra := f.enterEra(batch.To)
	for _, record := range batch.Records {
		if !f.applyRelayed(now, record) {
			f.gapFound(now)
			return false
		}
	}
	f.nextOffset = batch.To
	knownAt := now.Add(-time.Duration(batch.Age) * time.Millisecond)
	confirmedAt, freshUntil, leaderUntil := f.confirmedAt, f.freshUntil.Load(), f.leaderUntil.Load()
	if isNewEra {
		// What was confirmed in an earlier era does not hold in this one.
		confirmedAt, freshUntil, leaderUntil, f.newestAt = 0, 0, 0, 0
	}
	// The same records may come over several ways, and the later batch may have been on its way for longer.
	f.confirmedAt = max(confirmedAt, knownAt)
	f.setEnd(knownAt.Add(-relayDelayMargin), batch.To)
	f.freshUntil.Store(max(freshUntil, int64(knownAt.Add(f.freshness))))
	if isFromLeader {
		f.leaderUntil.Store(max(leaderUntil, int64(knownAt.Add(f.freshness))))
		if f.onRelayed != nil {
			f.onRelayed(knownAt, batch.To)
		}
	}
	if !f.ignoresOutages {
		f.gw.expireTargets(now, true)
	}
	return true
}

// gapFound makes this VM read the topic soon, if the deployment is so large that it would otherwise wait. The caller must
// hold mu.
func (f *topicFollower) gapFound(now model.Instant) {
	if !f.listed || !f.gw.distribution.isPlanned() {
		return
	}
	f.freshUntil.Store(0)
	if f.readAt == 0 || f.readAt.Sub(now) > gapReadDelay {
		f.readAt = now.Add(rand.N(gapReadDelay))
	}
	wake(f.readNow)
}

// applyRelayed applies a record that the leader relayed. It returns false if this VM has to read it from the store.
func (f *topicFollower) applyRelayed(now model.Instant, relayed hub.Record) bool {
	record := platform.Record{Key: relayed.Key, Value: relayed.Value, Offset: relayed.Offset}
	if relayed.Delta {
		return f.applyDelta != nil && f.applyDelta(now, record)
	}
	f.applyRecord(now, record)
	return true
}

// setEnd records that the topic ended at an offset at an instant or before. The caller must hold mu.
func (f *topicFollower) setEnd(at model.Instant, offset uint64) {
	if at <= f.endedAt {
		return
	}
	f.endedAt, f.endOffset = at, offset
	if f.onEnd != nil && at >= f.relistAt {
		f.onEnd(at)
	}
}

// writtenAfter returns an instant before which the record at an offset was not written, or 0 if none is known. The caller must
// hold mu.
func (f *topicFollower) writtenAfter(offset uint64) model.Instant {
	if offset < f.endOffset || model.EraOf(offset) != model.EraOf(f.endOffset) {
		// A record of a later era may have been written long before, and restored with the copy.
		return 0
	}
	return f.endedAt
}

// notifyRead records a read up to the end of the topic, which ended at the offset end at confirmedAt. The caller must hold mu.
func (f *topicFollower) notifyRead(confirmedAt model.Instant, end uint64) {
	f.setEnd(confirmedAt, end)
	if f.onRead != nil {
		f.onRead(confirmedAt, end)
	}
}

// recordResult counts a read, and logs the first failure and the first success after failures.
func (f *topicFollower) recordResult(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	f.gw.metrics.storeCall(f.name, err)
	log := f.gw.log.Part(logging.Platform)
	switch {
	case err != nil && !f.failing:
		f.failing = true
		log.Event("reading the store failed", logging.Name(f.name), logging.SystemError(err))
	case err == nil && f.failing:
		f.failing = false
		log.Event("reading the store succeeds again", logging.Name(f.name))
	}
}

// wake wakes the goroutine that waits for the channel.
func wake(channel chan<- struct{}) {
	select {
	case channel <- struct{}{}:
	default:
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
