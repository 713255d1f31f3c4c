package gateway

import (
	"sync"
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

// leaderAbsentGrace is how long the process at the leader's address must have stated that it does not lead, or must not have
// listened, before the leader may be replaced. It covers three attempts to connect, and a write of the table whose response a
// new leader still waits for while other VMs have read it.
const leaderAbsentGrace = time.Second

// leaderAbsence tracks whether the leader of the table is known to have ended. A link that fails in another way shows nothing: it
// may be cut. It has no clock, and is safe for concurrent use.
type leaderAbsence struct {
	mu     sync.Mutex
	leader string
	// since is when the first of the uninterrupted refusals was received, last is when the last was; 0 if there is none.
	since, last model.Instant
}

// record adds the result of an attempt to connect to a leader.
func (a *leaderAbsence) record(now model.Instant, leader string, refused bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if leader != a.leader || !refused {
		a.leader, a.since, a.last = leader, 0, 0
	}
	if !refused {
		return
	}
	if a.since == 0 {
		a.since = now
	}
	a.last = now
}

// isAbsent reports whether a leader has not led at its address for leaderAbsentGrace.
func (a *leaderAbsence) isAbsent(leader string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return leader == a.leader && a.since != 0 && a.last.Sub(a.since) >= leaderAbsentGrace-leaderReconnectDelay
}
