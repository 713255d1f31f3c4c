package dispatch

import "sync/atomic"

// quarantineEntry counts the references to a request's admission by the quarantine. Attempts that outlive the request
// hold one too, so that a request with a strike does not run twice at the same time.
type quarantineEntry struct {
	holders atomic.Int32
	leave   func()
}

// newQuarantineEntry returns an entry with one holder. leave is called once, by the last release.
func newQuarantineEntry(leave func()) *quarantineEntry {
	e := &quarantineEntry{leave: leave}
	e.holders.Store(1)
	return e
}

// retain adds a holder. The caller must be a holder itself.
func (e *quarantineEntry) retain() { e.holders.Add(1) }

// release removes a holder.
func (e *quarantineEntry) release() {
	if e.holders.Add(-1) == 0 {
		e.leave()
	}
}
