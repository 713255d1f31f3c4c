package retry

import (
	"sync"
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

const (
	percent = 100
	// burstSeconds is how many seconds of the floor may be saved up.
	burstSeconds = 10
	// maxSaved is the number of tokens that requests may save up, so that a quiet hour cannot pay for a retry storm.
	maxSaved = 50
)

// Budget is a token bucket that each request fills by a share of a token and each retry empties by one.
type Budget struct {
	mu      sync.Mutex
	share   float64 // tokens a request
	floor   float64 // tokens/s
	tokens  float64
	minimum float64 // tokens that the floor alone may save up
	last    model.Instant
}

// NewBudget returns a budget of percent of the requests, and at least floor retries a second.
func NewBudget(percentOfRequests, floor float64, now model.Instant) *Budget {
	minimum := floor * burstSeconds
	return &Budget{share: percentOfRequests / percent, floor: floor, tokens: minimum, minimum: minimum, last: now}
}

// Request records a first attempt.
func (b *Budget) Request(now model.Instant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.tokens = min(max(b.minimum, maxSaved), b.tokens+b.share)
}

// Take spends one token and reports whether there was one.
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

// Remaining returns the whole tokens left.
func (b *Budget) Remaining(now model.Instant) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	return int(b.tokens)
}

// Backoff returns the wait before an attempt, doubling from base and spread over its upper half by a random number in
// [0, 1). attempts is the number of attempts made so far.
func Backoff(attempts int, base, limit time.Duration, random float64) time.Duration {
	wait := min(limit, base<<min(max(0, attempts-1), 20))
	return wait/2 + time.Duration(random*float64(wait/2))
}
