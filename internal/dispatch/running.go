package dispatch

import (
	"context"
	"sync"
)

// maxEndedForwards is the number of ended attempts that are remembered, so that a copy of a message that the network
// delivers late does not run. At about 100 bytes each they take 0.4 MB.
const maxEndedForwards = 4096

// runningForwards holds the forwarded requests of this VM by attempt, the latest ended ones included.
type runningForwards struct {
	mu sync.Mutex
	// byKey holds the function that ends an attempt early; nil for one that must not be canceled or has ended.
	byKey map[runningKey]context.CancelFunc
	// ended is a ring of the attempts that ended, oldest at next.
	ended []runningKey
	next  int
}

// add registers an attempt. It returns false for one that is registered already: the message is a copy.
func (r *runningForwards) add(key runningKey, cancel context.CancelFunc) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, known := r.byKey[key]; known {
		return false
	}
	r.byKey[key] = cancel
	return true
}

// end marks an attempt as ended and forgets the one that ended longest ago.
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
