package dedup

import (
	"sync"
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/message"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

// coverage is a slot for which this VM is the only sender.
type coverage struct {
	fence    model.Fence
	since    time.Time
	previous model.Term
	// horizonMillis is the time of the latest ID that is refused because an earlier sender may have run it.
	horizonMillis int64
}

// pendingHandover is a complete handover of a slot that is not covered yet.
type pendingHandover struct {
	fence         model.Fence
	term          model.Term
	horizonMillis int64
}

// Limits bounds the memory of a Table.
type Limits struct {
	// MaxEntries is the number of IDs kept.
	MaxEntries int
	// MaxBodyBytes is the memory for the stored bodies and headers of replies, in bytes.
	MaxBodyBytes int
}

// Table is the at-most-once table of one entry VM. It is safe for concurrent use.
type Table struct {
	mu      sync.RWMutex
	covered map[model.Slot]coverage
	pending map[model.Slot]pendingHandover
	shards  [shardCount]shard
}

// New returns an empty table. Zero limits mean the defaults.
func New(limits Limits) *Table {
	if limits.MaxEntries <= 0 {
		limits.MaxEntries = DefaultMaxEntries
	}
	if limits.MaxBodyBytes <= 0 {
		limits.MaxBodyBytes = DefaultMaxBodyBytes
	}
	t := &Table{covered: map[model.Slot]coverage{}, pending: map[model.Slot]pendingHandover{}}
	for i := range t.shards {
		t.shards[i].entries = map[model.RequestID]*entry{}
		t.shards[i].maxEntries = max(1, limits.MaxEntries/shardCount)
		t.shards[i].maxBodyBytes = limits.MaxBodyBytes / shardCount
	}
	return t
}

// shardOf returns the shard of an ID. The last byte of a UUIDv7 is random.
func (t *Table) shardOf(id model.RequestID) *shard { return &t.shards[id[15]%shardCount] }

// Cover records that this VM has been the only sender for a slot since a time on its wall clock. previous is the term
// of the sender before it; zero if unknown. A repeated call with the same since keeps the horizon and updates the
// fence; any other since starts a new horizon.
func (t *Table) Cover(slot model.Slot, fence model.Fence, since time.Time, previous model.Term) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c, found := t.covered[slot]; found && c.since.Equal(since) {
		c.fence = fence
		t.covered[slot] = c
		return
	}
	c := coverage{fence: fence, since: since, previous: previous}
	c.horizonMillis = ceilMillis(since.Add(MaxAhead + ClockMargin))
	if p, found := t.pending[slot]; found {
		delete(t.pending, slot)
		c = c.withHandover(p)
	}
	t.covered[slot] = c
}

// withHandover moves the horizon back if the handover comes from the sender just before this one.
func (c coverage) withHandover(p pendingHandover) coverage {
	if c.previous == (model.Term{}) || p.term != c.previous || p.fence != c.fence {
		return c
	}
	c.horizonMillis = min(c.horizonMillis, p.horizonMillis)
	return c
}

// Uncover records that this VM is no longer the sender for a slot. Entries are kept until they expire.
func (t *Table) Uncover(slot model.Slot) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.covered, slot)
}

// Finish stores the reply of an admitted request and wakes the attempts that wait for it. It also replaces an unknown
// outcome if the reply arrives late.
func (t *Table) Finish(id model.RequestID, reply message.ForwardReply) {
	s := t.shardOf(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[id]
	if e == nil || (e.state != stateRunning && e.state != stateUnknown) {
		return
	}
	e.finish(stateCompleted)
	s.store(id, e, reply)
}

// Abort records that an admitted request is known not to have run. Another attempt may then run it.
func (t *Table) Abort(id model.RequestID) {
	s := t.shardOf(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[id]
	if e == nil || e.state != stateRunning {
		return
	}
	e.finish(stateClosed)
	if e.closedMillis == 0 {
		delete(s.entries, id)
	}
}

// MarkUnknown records that an admitted request was sent and its outcome is not known.
func (t *Table) MarkUnknown(id model.RequestID) {
	s := t.shardOf(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.entries[id]; e != nil && e.state == stateRunning {
		e.finish(stateUnknown)
	}
}

// ceilMillis returns a time in ms since 1970, rounded up.
func ceilMillis(at time.Time) int64 {
	return at.Add(time.Millisecond - time.Nanosecond).UnixMilli()
}
