// Package quarantine blocks requests that crash targets.
//
// A request is identified by its fingerprint, a keyed hash. A strike is a crash of a target that the request caused. A
// number of strikes, two by default, blocks the fingerprint. When one is missing, this entry VM runs at most one request
// with the fingerprint at a time. Table is safe for concurrent use and has one lock.
package quarantine

import (
	"slices"
	"sync"
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/fleet"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

const (
	// BlockDuration is the time for which a fingerprint is blocked after its last strike, and for which a single strike
	// is kept.
	BlockDuration = 10 * time.Minute
	// defaultStrikesToBlock is the default number of strikes that block a fingerprint.
	defaultStrikesToBlock = 2
	// sameCrashWindow is the time within which strikes of a fingerprint for the same target count as one crash reported
	// by several entry VMs if the start of the target's process is not known. It is shorter than the time in which a
	// target can restart and crash again.
	sameCrashWindow = time.Second
	// DefaultCapacity is the default maximum number of fingerprints. At about 200 B each, it limits a table to 0.8 MB.
	DefaultCapacity = 4096
)

// Options are the options of a table.
type Options struct {
	// Capacity is the maximum number of fingerprints; 0 means DefaultCapacity.
	Capacity int
	// StrikesToBlock is the number of strikes that block a fingerprint; 0 means 2.
	StrikesToBlock int
}

// Verdict states whether a request may run.
type Verdict uint8

// Verdicts on a request.
const (
	// Allowed means that the request may run.
	Allowed Verdict = iota
	// Busy means that one more strike blocks the fingerprint, and that another request with it is running.
	Busy
	// Blocked means that the fingerprint is quarantined.
	Blocked
)

type entry struct {
	// crashes are the crashes that count as strikes, at most as many as block the fingerprint.
	crashes    []fleet.Incarnation
	lastStrike model.Instant
	running    bool
}

func (e *entry) expired(now model.Instant) bool { return now.Sub(e.lastStrike) >= BlockDuration }

// Table holds the fingerprints with strikes at one entry VM.
type Table struct {
	mu             sync.Mutex
	capacity       int
	strikesToBlock int
	entries        map[Fingerprint]*entry
}

// NewTable returns an empty table for at most capacity fingerprints, which two strikes block.
func NewTable(capacity int) *Table { return New(Options{Capacity: max(1, capacity)}) }

// New returns an empty table.
func New(options Options) *Table {
	if options.Capacity == 0 {
		options.Capacity = DefaultCapacity
	}
	if options.StrikesToBlock == 0 {
		options.StrikesToBlock = defaultStrikesToBlock
	}
	return &Table{capacity: options.Capacity, strikesToBlock: options.StrikesToBlock, entries: map[Fingerprint]*entry{}}
}

// Begin reports whether a request may run. limited is true if one more strike blocks the fingerprint. A request that is
// Allowed but limited must not be hedged, its retry needs another Begin, and End must be called when its attempt has ended.
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
	case len(e.crashes) >= t.strikesToBlock:
		return Blocked, true
	case len(e.crashes) < t.strikesToBlock-1:
		return Allowed, false
	case e.running:
		return Busy, true
	}
	e.running = true
	return Allowed, true
}

// BlockLeft returns how long a fingerprint remains blocked; 0 if it is not.
func (t *Table) BlockLeft(now model.Instant, id Fingerprint) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[id]
	if e == nil || len(e.crashes) < t.strikesToBlock {
		return 0
	}
	return max(0, e.lastStrike.Add(BlockDuration).Sub(now))
}

// End records the end of an attempt for which Begin returned limited. Strike must be called before End if the target
// crashed, so that no other run starts in between.
func (t *Table) End(id Fingerprint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[id]
	if e == nil {
		return
	}
	e.running = false
	if len(e.crashes) == 0 {
		delete(t.entries, id)
	}
}

// Strike records that a request crashed a target, as observed by this entry VM or reported by a peer of the region. It
// reports whether the strike is new; it is not if it reports a crash that has been counted already. Strikes that this
// VM observed are sent to its peers; strikes reported by peers are not relayed.
func (t *Table) Strike(now model.Instant, id Fingerprint, target model.TargetID) (isNew bool) {
	return t.StrikeCrash(now, id, fleet.Incarnation{ID: target})
}

// StrikeCrash is Strike for a crash that happened at an instant, which may be long ago, and ended the given incarnation of
// a target.
func (t *Table) StrikeCrash(at model.Instant, id Fingerprint, crashed fleet.Incarnation) (isNew bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[id]
	if e == nil || e.expired(at) {
		t.makeRoom(at, id)
		e = &entry{running: e != nil && e.running, lastStrike: at}
		t.entries[id] = e
	}
	if slices.Contains(e.crashes, crashed) && (crashed.StartedAtMillis != 0 || at.Sub(e.lastStrike) < sameCrashWindow) {
		return false
	}
	if len(e.crashes) < t.strikesToBlock {
		e.crashes = append(e.crashes, crashed)
	}
	e.lastStrike = max(e.lastStrike, at)
	return true
}

// Crashes returns the crashes that count as strikes of a fingerprint.
func (t *Table) Crashes(id Fingerprint) []fleet.Incarnation {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.entries[id]; e != nil {
		return slices.Clone(e.crashes)
	}
	return nil
}

// Withdraw removes one strike of a fingerprint. It reports whether the strike counted.
func (t *Table) Withdraw(id Fingerprint, crashed fleet.Incarnation) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[id]
	if e == nil {
		return false
	}
	index := slices.Index(e.crashes, crashed)
	if index < 0 {
		return false
	}
	e.crashes = slices.Delete(slices.Clone(e.crashes), index, index+1)
	if len(e.crashes) == 0 && !e.running {
		delete(t.entries, id)
	}
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
	if len(a.crashes) != len(b.crashes) {
		return len(a.crashes) < len(b.crashes)
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
