// Package quarantine blocks requests that crash targets.
//
// A request is identified by its fingerprint, a keyed hash. A strike is a crash of a target that the request caused.
// After one strike, this entry VM runs at most one request with the fingerprint at a time; two strikes block it. Table
// is safe for concurrent use and has one lock.
package quarantine

import (
	"sync"
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

const (
	// BlockDuration is the time for which a fingerprint is blocked after its last strike, and for which a single strike
	// is kept.
	BlockDuration = 10 * time.Minute
	// strikesToBlock is the number of strikes that block a fingerprint.
	strikesToBlock = 2
	// sameCrashWindow is the time within which strikes of a fingerprint for the same target count as one crash reported
	// by several entry VMs. It is shorter than the time in which a target can restart and crash again.
	sameCrashWindow = time.Second
	// DefaultCapacity is the default maximum number of fingerprints. At about 100 B each, it limits a table to 0.4 MB.
	DefaultCapacity = 4096
)

// Verdict states whether a request may run.
type Verdict uint8

// Verdicts on a request.
const (
	// Allowed means that the request may run.
	Allowed Verdict = iota
	// Busy means that the fingerprint has a strike and another request with it is running.
	Busy
	// Blocked means that the fingerprint is quarantined.
	Blocked
)

type entry struct {
	strikes    int
	lastTarget model.TargetID
	lastStrike model.Instant
	running    bool
}

func (e *entry) expired(now model.Instant) bool { return now.Sub(e.lastStrike) >= BlockDuration }

// Table holds the fingerprints with strikes at one entry VM.
type Table struct {
	mu       sync.Mutex
	capacity int
	entries  map[Fingerprint]*entry
}

// NewTable returns an empty table for at most capacity fingerprints.
func NewTable(capacity int) *Table {
	return &Table{capacity: max(1, capacity), entries: map[Fingerprint]*entry{}}
}

// Begin reports whether a request may run. limited is true if the fingerprint has a strike. A request that is Allowed
// but limited must not be retried or hedged, and End must be called when its attempt has ended.
func (t *Table) Begin(now model.Instant, id Fingerprint) (verdict Verdict, limited bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[id]
	switch {
	case e == nil:
		return Allowed, false
	case e.expired(now) && !e.running:
		delete(t.entries, id)
		return Allowed, false
	case e.strikes >= strikesToBlock:
		return Blocked, true
	case e.running:
		return Busy, true
	}
	e.running = true
	return Allowed, true
}

// End records the end of an attempt for which Begin returned limited. Strike must be called before End if the target
// crashed, so that no other run starts in between.
func (t *Table) End(id Fingerprint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.entries[id]; e != nil {
		e.running = false
	}
}

// Strike records that a request crashed a target, as observed by this entry VM or reported by a peer of the region. It
// reports whether the strike is new; it is not if it reports a crash that has been counted already. Strikes that this
// VM observed are sent to its peers; strikes reported by peers are not relayed.
func (t *Table) Strike(now model.Instant, id Fingerprint, target model.TargetID) (isNew bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[id]
	if e == nil || e.expired(now) {
		t.makeRoom(now, id)
		e = &entry{running: e != nil && e.running}
		t.entries[id] = e
	}
	if e.strikes > 0 && e.lastTarget == target && now.Sub(e.lastStrike) < sameCrashWindow {
		return false
	}
	e.strikes++
	e.lastTarget, e.lastStrike = target, now
	return true
}

// makeRoom removes expired entries if the table is full. If it is still full, makeRoom removes the entry with the
// fewest strikes, and among those the one with the oldest last strike. It runs only after a crash, so scanning the
// table is acceptable.
func (t *Table) makeRoom(now model.Instant, id Fingerprint) {
	if _, present := t.entries[id]; present || len(t.entries) < t.capacity {
		return
	}
	var victim Fingerprint
	var least *entry
	for key, e := range t.entries {
		if e.expired(now) && !e.running {
			delete(t.entries, key)
			continue
		}
		if least == nil || evictBefore(key, e, victim, least) {
			victim, least = key, e
		}
	}
	if len(t.entries) >= t.capacity {
		delete(t.entries, victim)
	}
}

// evictBefore reports whether entry a is evicted before entry b.
func evictBefore(keyA Fingerprint, a *entry, keyB Fingerprint, b *entry) bool {
	if a.strikes != b.strikes {
		return a.strikes < b.strikes
	}
	if a.lastStrike != b.lastStrike {
		return a.lastStrike < b.lastStrike
	}
	return keyA < keyB
}

// Len returns the number of fingerprints in the table.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.entries)
}
