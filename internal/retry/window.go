package retry

import (
	"sync"
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

// windowSteps is the number of steps into which a window is divided. A retry counts for up to one step longer than the
// window.
const windowSteps = 20

// WindowBudget limits the repeated attempts in every window of a given length to a share of the requests in the window
// plus a burst. It is safe for concurrent use.
type WindowBudget struct {
	mu      sync.Mutex
	share   float64
	step    time.Duration
	current int64
	// requests and retries are ring buffers with one count for each step. They have one step more than the window to cover
	// its partial first and last steps.
	requests [windowSteps + 1]float64
	retries  [windowSteps + 1]float64
}

// NewWindowBudget returns a budget for windows of the given length.
func NewWindowBudget(share float64, window time.Duration) *WindowBudget {
	return &WindowBudget{share: share, step: max(time.Millisecond, window/windowSteps)}
}

// Request records a first attempt.
func (b *WindowBudget) Request(now model.Instant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.requests[b.slot()]++
}

// Take records a repeated attempt if the share and the burst allow it, and reports whether they do.
func (b *WindowBudget) Take(now model.Instant, burst float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.take(now, b.share, burst)
}

func (b *WindowBudget) take(now model.Instant, share, burst float64) bool {
	b.advance(now)
	allowed := burst
	spent := 0.0
	for i := range b.requests {
		spent += b.retries[i]
		if age := b.current - b.stepOf(i); age < windowSteps-1 {
			// The two oldest steps may lie outside of the window, so only their retries count.
			allowed += share * b.requests[i]
		}
	}
	if spent+1 > allowed {
		return false
	}
	b.retries[b.slot()]++
	return true
}

// TakePart is Take with only a part of what the share and the burst allow; the rest is left to calls of Take.
func (b *WindowBudget) TakePart(now model.Instant, part, burst float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.take(now, part*b.share, part*burst)
}

// Return takes back an attempt that Take or TakePart recorded at an instant and that was not sent.
func (b *WindowBudget) Return(takenAt model.Instant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	step := int64(takenAt) / int64(b.step)
	if step > b.current || step <= b.current-int64(len(b.requests)) {
		return
	}
	slot := step % int64(len(b.requests))
	b.retries[slot] = max(0, b.retries[slot]-1)
}

// Rate returns the number of requests per second in the window that ends now.
func (b *WindowBudget) Rate(now model.Instant) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	sum := 0.0
	for _, requests := range b.requests {
		sum += requests
	}
	return sum / (float64(len(b.requests)) * b.step.Seconds())
}

func (b *WindowBudget) slot() int { return int(b.current % int64(len(b.requests))) }

// stepOf returns the number of the step whose counts are in a slot of the ring buffers.
func (b *WindowBudget) stepOf(slot int) int64 {
	length := int64(len(b.requests))
	return b.current - (b.current-int64(slot)+length)%length
}

func (b *WindowBudget) advance(now model.Instant) {
	step := int64(now) / int64(b.step)
	if step-b.current > int64(len(b.requests)) {
		b.current = step - int64(len(b.requests))
	}
	for b.current < step {
		b.current++
		b.requests[b.slot()] = 0
		b.retries[b.slot()] = 0
	}
}
