// Package throttle decides whether a request is sent to a target that rejects requests because its queue is full.
//
// It handles a hot key: only the owner of a key can run its requests, so the requests of all VMs go to one target, which
// rejects most of them. Each rejected send costs bandwidth and retries and tells its caller late that it has to come back.
// Each VM therefore sends only a multiple of what the target recently accepted from it (client-side throttling, as
// described in chapter 21 of Site Reliability Engineering), which needs no messages between VMs. The package does no I/O;
// clock and randomness are passed in.
package throttle

import (
	"math"
	"sync"
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/fleet"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

const (
	// timeConstant is the time constant with which the counts of a target decay. It covers several requests of one VM to a
	// hot owner, and is not much longer than a hot spot takes to be divided among more owners.
	timeConstant = 5 * time.Second
	// sendFactor is the number of requests sent for each one that was accepted. Above 1, the VMs together always send more
	// than the target can take, so that it stays busy and recovers at once when the load ends.
	sendFactor = 2.0
	// urgentFactor is the same for requests in favor of which less urgent ones are rejected.
	urgentFactor = 4.0
	// freeRejections is the number of rejections that have no effect, because a VM that rarely sends to a target learns
	// little from a single one.
	freeRejections = 1.0
)

// Throttle counts the requests for each target. It is safe for concurrent use.
type Throttle struct {
	mu      sync.Mutex
	targets map[fleet.Incarnation]*counts
}

// counts holds the decayed numbers of requests for a target and of those that it accepted.
type counts struct {
	requests float64
	accepted float64
	at       model.Instant
}

// New returns a throttle that has counted nothing.
func New() *Throttle { return &Throttle{targets: map[fleet.Incarnation]*counts{}} }

// Allow counts a request for a target and reports whether it is to be sent. random is a number in [0, 1).
func (t *Throttle) Allow(now model.Instant, target fleet.Incarnation, urgent bool, random float64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.counts(now, target)
	factor := sendFactor
	if urgent {
		factor = urgentFactor
	}
	excess := c.requests - factor*c.accepted - freeRejections
	allowed := random >= excess/(c.requests+1)
	c.requests++
	return allowed
}

// Accepted counts a request that a target accepted.
func (t *Throttle) Accepted(now model.Instant, target fleet.Incarnation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts(now, target).accepted++
}

// counts returns the counts of a target, decayed until now. The caller must hold the mutex.
func (t *Throttle) counts(now model.Instant, target fleet.Incarnation) *counts {
	c := t.targets[target]
	if c == nil {
		c = &counts{at: now}
		t.targets[target] = c
	}
	if elapsed := now.Sub(c.at); elapsed > 0 {
		weight := math.Exp(-float64(elapsed) / float64(timeConstant))
		c.requests *= weight
		c.accepted *= weight
		c.at = now
	}
	return c
}

// Forget drops the counts of targets that were not used for the given time.
func (t *Throttle) Forget(now model.Instant, unused time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for target, c := range t.targets {
		if now.Sub(c.at) > unused {
			delete(t.targets, target)
		}
	}
}
