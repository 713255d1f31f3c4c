package dispatch

import (
	"context"
	"sync"
)

// maxEndedForwards is the number of ended attempts that are kept, so that a duplicate of a message that the network
// delivers late is not run. At about 100 bytes each they take 0.4 MB.
const maxEndedForwards = 4096

// runningForwards holds the forwarded requests that this VM runs, and those that ended last, by attempt.
type runningForwards struct {
	mu sync.Mutex
	// byKey holds the function that cancels an attempt, or one that has not been sent if it is not idempotent; nil for one
	// that has ended.
	byKey map[runningKey]context.CancelFunc
	// ended is a ring buffer of the ended attempts. When it is full, next is the index of the oldest.
	ended []runningKey
	next  int
}

// add registers an attempt. It returns false if the attempt is registered already, because the message is a duplicate.
func (r *runningForwards) add(key runningKey, cancel context.CancelFunc) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, known := r.byKey[key]; known {
		return false
	}
	r.byKey[key] = cancel
	return true
}

// end marks an attempt as ended. If more than maxEndedForwards have ended, it deletes the oldest of them.
func (r *runningForwards) end(key runningKey) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byKey[key] = nil
	if len(r.ended) < maxEndedForwards {
		r.ended = append(r.ended, key)
		return
	}
	delete(r.byKey, r.ended[r.next])
	r.ended[r.next] = key
	r.next = (r.next + 1) % maxEndedForwards
}

func (r *runningForwards) cancel(key runningKey) {
	r.mu.Lock()
	cancel := r.byKey[key]
	r.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}
