// Package quarantine blocks requests that crash targets.
//
// A request is known by its fingerprint, a keyed hash. One strike limits it to one run at a time at this entry VM; two
// strikes block it. Table is safe for concurrent use and has one lock.
package quarantine

import (
	"sync"
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

const (
	// BlockDuration is how long a fingerprint is blocked after its last strike, and how long a single strike is remembered.
	BlockDuration = 10 * time.Minute
	// strikesToBlock is the number of strikes that block a fingerprint.
	strikesToBlock = 2
	// sameCrash is the time within which strikes of a fingerprint for the same target are one crash that several entry
	// VMs reported. No target restarts and crashes again within it.
	sameCrash = time.Second
	// DefaultCapacity is the usual number of fingerprints; at about 100 B each it bounds a table to 0.4 MB.
	DefaultCapacity = 4096
)

// Fingerprint is the keyed hash of a request.
type Fingerprint uint64

// Verdict says whether a request may run.
type Verdict uint8

// Verdicts.
const (
	// Allowed permits the run.
	Allowed Verdict = iota
	// Busy means that the fingerprint has a strike and a request with it is running.
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

// Begin asks whether a request may run. After Allowed, End must be called when the attempt ended. limited is true if
// the fingerprint has a strike; such a request must not be retried or hedged.
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

// Strike records that a request crashed a target, as seen by this entry VM or reported by a peer of the region. It
// reports whether the strike is new, in which case an own observation is shared with peers. Reports are not passed on.
func (t *Table) Strike(now model.Instant, id Fingerprint, target model.TargetID) (isNew bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[id]
	if e == nil || e.expired(now) {
		t.makeRoom(now, id)
		e = &entry{running: e != nil && e.running}
		t.entries[id] = e
	}
	if e.strikes > 0 && e.lastTarget == target && now.Sub(e.lastStrike) < sameCrash {
		return false
	}
	e.strikes++
	e.lastTarget, e.lastStrike = target, now
	return true
}

// makeRoom drops expired entries if the table is full, and then the one with the fewest strikes, the oldest of these.
// It runs only after a crash, so a scan of the table is cheap enough.
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
		if least == nil || before(key, e, victim, least) {
			victim, least = key, e
		}
	}
	if len(t.entries) >= t.capacity {
		delete(t.entries, victim)
	}
}

func before(keyA Fingerprint, a *entry, keyB Fingerprint, b *entry) bool {
	if a.strikes != b.strikes {
		return a.strikes < b.strikes
	}
	if a.lastStrike != b.lastStrike {
		return a.lastStrike < b.lastStrike
	}
	return keyA < keyB
}

// Len returns the number of fingerprints held.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.entries)
}
