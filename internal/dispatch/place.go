package dispatch

import "sync/atomic"

// place is a request's place in the quarantine. Attempts that outlive the request hold it too, so that a request with a
// strike does not run twice at a time.
type place struct {
	holders atomic.Int32
	leave   func()
}

// newPlace returns a place with one holder. leave is called once, by the last release.
func newPlace(leave func()) *place {
	p := &place{leave: leave}
	p.holders.Store(1)
	return p
}

// hold adds a holder. The caller must be a holder itself.
func (p *place) hold() { p.holders.Add(1) }

// release ends one hold.
func (p *place) release() {
	if p.holders.Add(-1) == 0 {
		p.leave()
	}
}
