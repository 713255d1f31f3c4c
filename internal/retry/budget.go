package retry

import (
	"sync"
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

const (
	percent = 100
	// burstSeconds is the time, in seconds, for which tokens of the floor may accumulate.
	burstSeconds = 10
	// maxSavedTokens is the number of tokens that requests may accumulate, so that an hour without failures doesn't permit
	// a retry storm later.
	maxSavedTokens = 50
)

// Budget is a token bucket to which each request adds a fraction of a token and from which each retry takes one. A
// minimum rate, the floor, refills it too.
type Budget struct {
	mu      sync.Mutex
	share   float64 // tokens a request
	floor   float64 // tokens/s
	tokens  float64
	minimum float64 // tokens that the floor alone may accumulate
	last    model.Instant
}

// NewBudget returns a budget of percentOfRequests retries per 100 requests, and at least floor retries per second.
func NewBudget(percentOfRequests, floor float64, now model.Instant) *Budget {
	minimum := floor * burstSeconds
	return &Budget{share: percentOfRequests / percent, floor: floor, tokens: minimum, minimum: minimum, last: now}
}

// Request records a first attempt.
func (b *Budget) Request(now model.Instant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.tokens = min(max(b.minimum, maxSavedTokens), b.tokens+b.share)
}

// Take consumes one token and reports whether there was one.
func (b *Budget) Take(now model.Instant) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (b *Budget) refill(now model.Instant) {
	elapsed := now.Sub(b.last)
	if elapsed <= 0 {
		return
	}
	b.last = now
	if b.tokens < b.minimum {
		b.tokens = min(b.minimum, b.tokens+b.floor*elapsed.Seconds())
	}
}

// Remaining returns the number of whole tokens that are left.
func (b *Budget) Remaining(now model.Instant) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	return int(b.tokens)
}

// Backoff returns the delay before the next attempt: it doubles from base with each attempt up to limit, and random, in
// [0, 1), spreads it over its upper half. attempts is the number of attempts made so far.
func Backoff(attempts int, base, limit time.Duration, random float64) time.Duration {
	wait := min(limit, base<<min(max(0, attempts-1), 20))
	return wait/2 + time.Duration(random*float64(wait/2))
}
