package balance

import (
	"sync"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

// spillBurstSeconds is the capacity of the token bucket in seconds of its rate.
const spillBurstSeconds = 1

// SpillBudget is a token bucket of bytes that one entry VM may send to other regions.
type SpillBudget struct {
	mu     sync.Mutex
	rate   float64 // bytes/s
	tokens float64 // bytes
	last   model.Instant
}

// NewSpillBudget returns a full budget with the given rate in bytes per second.
func NewSpillBudget(bytesPerSecond int64, now model.Instant) *SpillBudget {
	rate := float64(bytesPerSecond)
	return &SpillBudget{rate: rate, tokens: rate * spillBurstSeconds, last: now}
}

// Take spends the bytes and reports whether the budget allowed it. A nil budget allows nothing. A request larger than
// the whole burst is allowed if the bucket is full and makes its balance negative, so that large requests are delayed
// but not excluded.
func (b *SpillBudget) Take(now model.Instant, bytes int64) bool {
	if b == nil {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	burst := b.rate * spillBurstSeconds
	b.tokens = min(burst, b.tokens+b.rate*max(0, now.Sub(b.last).Seconds()))
	b.last = max(b.last, now)
	if b.tokens <= 0 || b.tokens < min(burst, float64(bytes)) {
		return false
	}
	b.tokens -= float64(bytes)
	return true
}
