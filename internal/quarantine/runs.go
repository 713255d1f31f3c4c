package quarantine

import (
	"sync"
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

const (
	// RunMemory is how long a complete run shows that a request does not crash targets. Requests of which several copies
	// run at the same time also complete several times a second.
	RunMemory = 5 * time.Second
	// runCapacity is the number of runs that are remembered, at 16 B each.
	runCapacity = 4096
)

// Runs remembers the requests that targets have lately run to their end. When many targets end at once, for example those of
// a zone, copies of a popular request run on several of them; that it has just run elsewhere tells it from one that
// crashes its targets. It is safe for concurrent use.
type Runs struct {
	mu sync.Mutex
	// ring holds the last runs in the order of their ends, next is the position of the oldest.
	ring []run
	next int
	last map[Fingerprint]model.Instant
}

type run struct {
	id Fingerprint
	at model.Instant
}

// NewRuns returns an empty memory.
func NewRuns() *Runs { return &Runs{last: map[Fingerprint]model.Instant{}} }

// Add records that a target has run a request to its end.
func (r *Runs) Add(now model.Instant, id Fingerprint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.ring) < runCapacity {
		r.ring = append(r.ring, run{id: id, at: now})
	} else {
		oldest := r.ring[r.next]
		if r.last[oldest.id] == oldest.at {
			delete(r.last, oldest.id)
		}
		r.ring[r.next] = run{id: id, at: now}
		r.next = (r.next + 1) % runCapacity
	}
	r.last[id] = now
}

// Recent reports whether a target has run a request to its end within RunMemory.
func (r *Runs) Recent(now model.Instant, id Fingerprint) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	at, found := r.last[id]
	return found && now.Sub(at) < RunMemory
}
