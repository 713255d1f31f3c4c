package gateway

import (
	"context"
	"encoding/binary"
	"encoding/hex"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/tarragonpoint/tarragonpoint/internal/fleet"
	"github.com/tarragonpoint/tarragonpoint/internal/hub"
	"github.com/tarragonpoint/tarragonpoint/internal/logging"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/quarantine"
	"github.com/tarragonpoint/tarragonpoint/internal/result"
	"github.com/tarragonpoint/tarragonpoint/platform"
)

const (
	// strikesToBlock is the number of targets that must have ended under a request before it is blocked. Other requests
	// that a target runs when it ends get a strike too, so fewer would block requests that merely ran beside the cause.
	strikesToBlock = 3
	// busyRetryAfter is the retry delay sent to callers while another request with the same content runs alone.
	busyRetryAfter = 500 * time.Millisecond
	// maxReportedStrikes bounds the strikes in one report and in one write to the store.
	maxReportedStrikes = 64
	// strikeWriteDelay is how long the leader collects strikes before it writes them: when many targets end at once, there
	// are hundreds. VMs without a link to the leader wait for a random part of maxStrikeWriteDelay, because all of them may
	// have strikes to write.
	strikeWriteDelay    = 100 * time.Millisecond
	maxStrikeWriteDelay = time.Second
	// strikeRetryDelay is the delay before a failed write of strikes is retried.
	strikeRetryDelay = 500 * time.Millisecond
	// strikePollWait is how long a read of the strikes waits for one. A lost response is detected after this time plus the
	// call's timeout; the sum must stay below the platform's contact limit of 3 s.
	strikePollWait = 1800 * time.Millisecond
	// strikeReadInterval is the time between two reads of a VM to which no leader relays the strikes. When many targets end at
	// once, every write would otherwise wake the reads of all such VMs.
	strikeReadInterval = time.Second
	// strikeFreshness is how long a read by the leader keeps the strikes of the other VMs up to date. It exceeds the time
	// between two reads, and stays below the contact limit too.
	strikeFreshness = 2600 * time.Millisecond
	// strikesReadTimeout is how long a VM that has started is not ready because it has not read the strikes yet.
	strikesReadTimeout = time.Second
	// strikeCleanupInterval is the time between two removals of expired strikes from the store.
	strikeCleanupInterval = time.Minute
	// topicStrikes is the topic of the strikes. Each has a key of its own.
	topicStrikes = "keyed.tarragonpoint-strikes"
)

// Sources from which a VM learns of a strike, for logs and metrics.
const (
	strikeObserved = "observed"
	strikeReported = "report of a VM"
	strikePushed   = "push of the leader"
	strikeRead     = "record of the store"
)

// strikeKey identifies a strike.
type strikeKey struct {
	fingerprint quarantine.Fingerprint
	crashed     fleet.Incarnation
}

// storeKey returns the key of the strike's record. It has the same length for all targets, whatever their IDs.
func (k strikeKey) storeKey() string {
	hash := quarantine.FingerprintOf(uint64(k.crashed.StartedAtMillis), nil, string(k.crashed.ID))
	raw := binary.BigEndian.AppendUint64(nil, uint64(k.fingerprint))
	return hex.EncodeToString(binary.BigEndian.AppendUint64(raw, uint64(hash)))
}

// strike is a crash of a target under a request.
type strike struct {
	strikeKey
	at model.Instant
	// withdrawn is true if the strike does not count any more.
	withdrawn bool
}

// strikeRecord is the value of a strike's record in the store.
type strikeRecord struct {
	Fingerprint     uint64 `cbor:"1,keyasint"`
	Target          string `cbor:"2,keyasint"`
	StartedAtMillis int64  `cbor:"3,keyasint"`
	// CrashedAtMillis is the time of the crash in Unix milliseconds of the VM that recorded it.
	CrashedAtMillis int64 `cbor:"4,keyasint"`
	Withdrawn       bool  `cbor:"5,keyasint,omitempty"`
}

// sharedStrikes tracks which strikes the store has. It is safe for concurrent use; its lock is held for no other call.
type sharedStrikes struct {
	mu sync.Mutex
	// pending holds the strikes that this VM knows and has not seen in the store.
	pending map[strikeKey]strike
	// stored holds the strikes in the store by the keys of their records.
	stored map[string]strike
	// wake wakes the goroutine that writes to the store.
	wake chan struct{}
}

func newSharedStrikes() *sharedStrikes {
	return &sharedStrikes{pending: map[strikeKey]strike{}, stored: map[string]strike{}, wake: make(chan struct{}, 1)}
}

// add records a strike that the store should have. A strike for which there is no room is known to this VM only.
func (s *sharedStrikes) add(added strike) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if stored, found := s.stored[added.storeKey()]; found && stored.withdrawn == added.withdrawn {
		return
	}
	if len(s.pending) < quarantine.DefaultCapacity {
		s.pending[added.strikeKey] = added
	}
}

// seen records that the store has a strike.
func (s *sharedStrikes) seen(key string, seen strike) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stored[key] = seen
	if pending, found := s.pending[seen.strikeKey]; found && pending.withdrawn == seen.withdrawn {
		delete(s.pending, seen.strikeKey)
	}
}

// forget records that the store does not have a strike any more.
func (s *sharedStrikes) forget(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.stored, key)
}

// keepOnly forgets the strikes that the store does not have any more. listed holds the keys of all its records.
func (s *sharedStrikes) keepOnly(listed map[string]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key := range s.stored {
		if !listed[key] {
			delete(s.stored, key)
		}
	}
}

// restoreStored makes all strikes pending that the store had, because it may have lost them.
func (s *sharedStrikes) restoreStored(now model.Instant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, stored := range s.stored {
		_, isPending := s.pending[stored.strikeKey]
		if !isPending && now.Sub(stored.at) < quarantine.BlockDuration && len(s.pending) < quarantine.DefaultCapacity {
			s.pending[stored.strikeKey] = stored
		}
	}
	s.stored = map[string]strike{}
}

// unstored returns the strikes that the store should have, at most maxReportedStrikes.
func (s *sharedStrikes) unstored(now model.Instant) []hub.Strike {
	var list []hub.Strike
	for _, pending := range s.takePending(now) {
		list = append(list, encodeStrike(now, pending))
	}
	return list
}

// takePending returns up to maxReportedStrikes pending strikes and drops expired ones.
func (s *sharedStrikes) takePending(now model.Instant) []strike {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []strike
	for key, pending := range s.pending {
		if now.Sub(pending.at) >= quarantine.BlockDuration {
			delete(s.pending, key)
			continue
		}
		if list = append(list, pending); len(list) == maxReportedStrikes {
			break
		}
	}
	return list
}

// expired returns the keys of records in the store whose strikes have expired, at most maxReportedStrikes.
func (s *sharedStrikes) expired(now model.Instant) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for key, stored := range s.stored {
		if now.Sub(stored.at) < quarantine.BlockDuration {
			continue
		}
		if keys = append(keys, key); len(keys) == maxReportedStrikes {
			break
		}
	}
	return keys
}

func encodeStrike(now model.Instant, s strike) hub.Strike {
	return hub.Strike{
		Fingerprint: uint64(s.fingerprint), Crashed: s.crashed, Age: uint32(max(0, now.Sub(s.at)).Milliseconds()), Withdrawn: s.withdrawn,
	}
}

func decodeStrike(now model.Instant, s hub.Strike) strike {
	return strike{
		strikeKey: strikeKey{fingerprint: quarantine.Fingerprint(s.Fingerprint), crashed: s.Crashed},
		at:        now.Add(-time.Duration(s.Age) * time.Millisecond), withdrawn: s.Withdrawn,
	}
}

// blocked returns the rejection of a request that is blocked because it has crashed targets, and false if it is not.
func (g *gateway) blocked(now model.Instant, j *job) (callerResponse, bool) {
	if g.quarantine.Len() == 0 {
		return callerResponse{}, false
	}
	left := g.quarantine.BlockLeft(now, j.identify().fingerprint())
	return reject(result.Quarantined, "request has crashed targets", left), left > 0
}

// beginRun reports whether a request may be sent. If it may not, rejected is the response; otherwise end must be called when
// the attempt has ended, and alone is true if the attempt must not be hedged.
func (g *gateway) beginRun(now model.Instant, j *job) (rejected callerResponse, end func(), alone, ok bool) {
	end = func() {}
	if g.quarantine.Len() == 0 {
		return callerResponse{}, end, false, true
	}
	fingerprint := j.identify().fingerprint()
	verdict, limited := g.quarantine.Begin(now, fingerprint)
	switch verdict {
	case quarantine.Blocked:
		rejected, _ = g.blocked(now, j)
		return rejected, end, false, false
	case quarantine.Busy:
		return reject(result.Quarantined, "request has crashed targets and is running already", busyRetryAfter), end, false, false
	}
	if limited {
		end = func() { g.quarantine.End(fingerprint) }
	}
	return callerResponse{}, end, limited, true
}

// recordStrike counts the crash of a target under a request, and shares it with the other VMs. A request that has just run
// to its end elsewhere is not the cause.
func (g *gateway) recordStrike(j *job, crashed fleet.Incarnation) {
	now, fingerprint := g.clock.Now(), j.identify().fingerprint()
	if g.runs.Recent(now, fingerprint) {
		return
	}
	g.shareStrike(strike{strikeKey: strikeKey{fingerprint: fingerprint, crashed: crashed}, at: now}, strikeObserved)
}

// recordRun records that a target has run a request to its end, and withdraws the strikes of the request.
func (g *gateway) recordRun(now model.Instant, j *job) {
	fingerprint := j.identify().fingerprint()
	g.runs.Add(now, fingerprint)
	g.withdrawStrikes(fingerprint)
}

// withdrawStrikes withdraws all strikes of a request.
func (g *gateway) withdrawStrikes(fingerprint quarantine.Fingerprint) {
	if g.quarantine.Len() == 0 {
		return
	}
	for _, crashed := range g.quarantine.Crashes(fingerprint) {
		g.shareStrike(strike{
			strikeKey: strikeKey{fingerprint: fingerprint, crashed: crashed}, at: g.clock.Now(), withdrawn: true,
		}, strikeObserved)
	}
}

// shareStrike applies a strike and passes it on to the other VMs: through the leader, and through the store.
func (g *gateway) shareStrike(s strike, source string) {
	isNew := g.applyStrike(s, source)
	g.strikes.add(s)
	wake(g.strikes.wake)
	if !g.controller.isLeader.Load() {
		wake(g.reportNow)
		return
	}
	if !isNew {
		return
	}
	if err := g.hub.Broadcast(hub.Push{Strikes: []hub.Strike{encodeStrike(g.clock.Now(), s)}}); err != nil {
		g.log.Part(logging.Peer).Event("pushing a strike failed", logging.SystemError(err))
	}
}

// acceptStrikes applies the strikes in a report while this VM is the leader.
func (g *gateway) acceptStrikes(reported []hub.Strike) {
	for _, s := range reported {
		g.shareStrike(decodeStrike(g.clock.Now(), s), strikeReported)
	}
}

// applyStrike updates the quarantine. It reports whether the strike was not known.
func (g *gateway) applyStrike(s strike, source string) bool {
	if g.clock.Now().Sub(s.at) >= quarantine.BlockDuration {
		return false
	}
	var isNew bool
	if s.withdrawn {
		isNew = g.quarantine.Withdraw(s.fingerprint, s.crashed)
	} else {
		isNew = g.quarantine.StrikeCrash(s.at, s.fingerprint, s.crashed)
	}
	if !isNew {
		return false
	}
	g.metrics.strike(source, s.withdrawn)
	g.logStrike(s, source)
	if !s.withdrawn && g.runs.Recent(g.clock.Now(), s.fingerprint) {
		g.withdrawStrikes(s.fingerprint)
	}
	return true
}

// logStrike logs a strike at the VM that observed it, and at all VMs if it blocks the request.
func (g *gateway) logStrike(s strike, source string) {
	now := g.clock.Now()
	left := g.quarantine.BlockLeft(now, s.fingerprint)
	text := "strike recorded"
	if s.withdrawn {
		text = "strike withdrawn"
	}
	write := g.log.Part(logging.Registry).Debug
	if source == strikeObserved || left > 0 {
		write = g.log.Part(logging.Registry).Event
	}
	write(text, logging.Fingerprint(uint64(s.fingerprint)), logging.TargetID(s.crashed.ID), logging.Reason(source),
		logging.DataAge(now.Sub(s.at)), logging.Duration(left))
}

func (g *gateway) strikeFollower() *topicFollower {
	return &topicFollower{
		name: "strikes", topic: topicStrikes, gw: g, ignoresOutages: true,
		pollWait: func() time.Duration { return strikePollWait }, leaderPollWait: strikePollWait,
		relistAge: topicRelistAge, freshness: strikeFreshness,
		readInterval: func() time.Duration { return strikeReadInterval },
		applyList:    g.listStrikes,
		applyRecord: func(now model.Instant, record platform.Record) *relayedRecord {
			g.applyStrikeRecord(now, record)
			return fullRecord(record)
		},
	}
}

// listStrikes applies the list of strikes. A VM that lists does not read the records that removed earlier ones.
// After the store was restored from an older copy, it lacks strikes that it had, so all that are not in the list are written again.
func (g *gateway) listStrikes(now model.Instant, page platform.Page, restored bool) []relayedRecord {
	if restored {
		g.strikes.restoreStored(now)
	}
	listed := map[string]bool{}
	var relayed []relayedRecord
	for _, record := range page.Records {
		g.applyStrikeRecord(now, record)
		relayed = append(relayed, *fullRecord(record))
		listed[record.Key] = true
	}
	g.strikes.keepOnly(listed)
	return relayed
}

// applyStrikeRecord applies a record of the store. A record that cannot be decoded is left out.
func (g *gateway) applyStrikeRecord(now model.Instant, record platform.Record) {
	if len(record.Value) == 0 {
		g.strikes.forget(record.Key)
		return
	}
	var decoded strikeRecord
	if err := cbor.Unmarshal(record.Value, &decoded); err != nil || decoded.Target == "" {
		g.log.Part(logging.Registry).Event("record rejected", logging.Offset(model.Offset(record.Offset)),
			logging.Reason("strike cannot be decoded"))
		return
	}
	// The clocks of VMs differ by seconds, which is little beside the time for which strikes count.
	age := max(0, time.Since(time.UnixMilli(decoded.CrashedAtMillis)))
	read := strike{
		strikeKey: strikeKey{
			fingerprint: quarantine.Fingerprint(decoded.Fingerprint),
			crashed:     fleet.Incarnation{ID: model.TargetID(decoded.Target), StartedAtMillis: decoded.StartedAtMillis},
		},
		at: now.Add(-age), withdrawn: decoded.Withdrawn,
	}
	g.strikes.seen(record.Key, read)
	g.applyStrike(read, strikeRead)
}

// storeStrikes writes strikes to the store until ctx ends. While there is a leader it writes those of all VMs.
func (g *gateway) storeStrikes(ctx context.Context) {
	lastCleanup, failing := g.clock.Now(), false
	for ctx.Err() == nil {
		now := g.clock.Now()
		var err error
		if g.controller.isLeader.Load() || !g.leaderIsRelaying() {
			err = g.writeStrikes(ctx, now)
		}
		if err == nil && g.controller.isLeader.Load() && now.Sub(lastCleanup) >= strikeCleanupInterval {
			lastCleanup = now
			err = g.removeExpiredStrikes(ctx, now)
		}
		if err != nil && !failing && ctx.Err() == nil {
			g.log.Part(logging.Platform).Event("writing strikes failed", logging.SystemError(err))
		}
		if failing = err != nil; failing {
			sleep(ctx, strikeRetryDelay)
			continue
		}
		timer := time.NewTimer(hub.ReportInterval)
		select {
		case <-g.strikes.wake:
			sleep(ctx, g.strikeWriteDelay())
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// strikeWriteDelay returns how long this VM collects strikes before it writes them.
func (g *gateway) strikeWriteDelay() time.Duration {
	if g.controller.isLeader.Load() {
		return strikeWriteDelay
	}
	return time.Duration(rand.Int64N(int64(maxStrikeWriteDelay)))
}

// writeStrikes writes up to maxReportedStrikes pending strikes to the store.
func (g *gateway) writeStrikes(ctx context.Context, now model.Instant) error {
	var records []platform.Record
	for _, pending := range g.strikes.takePending(now) {
		value, err := cbor.Marshal(strikeRecord{
			Fingerprint: uint64(pending.fingerprint), Target: string(pending.crashed.ID),
			StartedAtMillis: pending.crashed.StartedAtMillis,
			CrashedAtMillis: time.Now().Add(-now.Sub(pending.at)).UnixMilli(), Withdrawn: pending.withdrawn,
		})
		if err != nil {
			return err
		}
		records = append(records, platform.Record{Key: pending.storeKey(), Value: value})
	}
	return g.appendStrikes(ctx, records)
}

// removeExpiredStrikes removes all expired strikes from the store.
func (g *gateway) removeExpiredStrikes(ctx context.Context, now model.Instant) error {
	for {
		var records []platform.Record
		for _, key := range g.strikes.expired(now) {
			records = append(records, platform.Record{Key: key})
		}
		if len(records) == 0 {
			return nil
		}
		if err := g.appendStrikes(ctx, records); err != nil {
			return err
		}
	}
}

// appendStrikes appends records to the store and applies them at once.
func (g *gateway) appendStrikes(ctx context.Context, records []platform.Record) error {
	if len(records) == 0 {
		return nil
	}
	started := g.clock.Now()
	offset, err := g.store.AppendKeyed(ctx, topicStrikes, records)
	g.metrics.storeCall("append-strikes", err)
	if err != nil {
		return err
	}
	now := g.clock.Now()
	for i, record := range records {
		record.Offset = offset + uint64(i)
		g.applyStrikeRecord(now, record)
		g.follower(topicStrikes).appended(started, now, record)
	}
	return nil
}

// knowsStrikes reports whether this VM has read the strikes, or has tried for long enough since the instant from which it
// could serve otherwise.
func (g *gateway) knowsStrikes() bool {
	f := g.follower(topicStrikes)
	f.mu.Lock()
	listed := f.listed
	f.mu.Unlock()
	if listed {
		return true
	}
	now := g.clock.Now()
	g.completeSince.CompareAndSwap(0, int64(now))
	return now.Sub(model.Instant(g.completeSince.Load())) >= strikesReadTimeout
}
