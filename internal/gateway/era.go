package gateway

import (
	"sync"
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/logging"
)

// storeEra is the highest era of the store that this VM has learned, from a response of the store or from the leader. It is safe for
// concurrent use.
type storeEra struct {
	mu    sync.Mutex
	known bool
	era   uint64
	// changedAt is when a later era followed a known one; zero if none did.
	changedAt time.Time
}

// see records an era. It returns true if a later era follows a known one, and the earlier one.
func (e *storeEra) see(era uint64, now time.Time) (former uint64, changed bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	former, changed = e.era, e.known && era > e.era
	if changed {
		e.changedAt = now
	}
	e.known, e.era = true, max(e.era, era)
	return former, changed
}

// get returns the era and when it last changed in Unix seconds, or 0 if it did not.
func (e *storeEra) get() (era uint64, changedAt float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.changedAt.IsZero() {
		return e.era, 0
	}
	return e.era, float64(e.changedAt.Unix())
}

// eraSeen handles the era of a response of the store or of a relayed batch. In a later era the store may have lost what it acknowledged.
// The followers list their topics when a position of the later era reaches them, and the controller's state machine claims the
// leadership anew; here the event is logged and the followers that wait are woken.
func (g *gateway) eraSeen(era uint64) {
	g.store.RaiseEra(era)
	former, changed := g.era.see(era, time.Now())
	if !changed {
		return
	}
	g.log.Part(logging.Platform).Event("store was restored from an older copy", logging.Era(former, era))
	wake(g.strikes.wake)
}
