package retry

import (
	"math"
	"sync"
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

const (
	// hedgeQuantile is the fraction of requests that finish before a hedge would be sent.
	hedgeQuantile = 0.95
	// hedgeFloor is the shortest hedging delay, so that latency noise of fast services triggers no hedges.
	hedgeFloor = 2 * time.Millisecond
	// quantileStep is the relative change of the quantile estimate per observation.
	quantileStep = 0.05
	// minObservations is the number of latencies that must be observed before hedging starts.
	minObservations = 100
)

// Hedger decides whether and when a second attempt of a slow idempotent request is sent.
type Hedger struct {
	mu     sync.Mutex
	budget *Budget
	// logP95 is the natural logarithm of the estimated 95th percentile in seconds.
	logP95 float64
	seen   int
}

// NewHedger returns a hedger with a budget of percentOfRequests hedges per 100 requests and no floor.
func NewHedger(percentOfRequests float64, now model.Instant) *Hedger {
	return &Hedger{budget: NewBudget(percentOfRequests, 0, now)}
}

// Observe records the latency of a first attempt that ended. The latency of hedged requests must be reported too,
// because omitting slow requests would bias the estimate downwards.
func (h *Hedger) Observe(now model.Instant, latency time.Duration) {
	h.budget.Request(now)
	h.mu.Lock()
	defer h.mu.Unlock()
	value := math.Log(max(latency.Seconds(), 1e-6))
	switch {
	case h.seen == 0:
		h.logP95 = value
	case value > h.logP95:
		h.logP95 += quantileStep * hedgeQuantile
	default:
		h.logP95 -= quantileStep * (1 - hedgeQuantile)
	}
	h.seen++
}

// Delay returns the delay before a hedge. ok is false if the request must not be hedged: it is not idempotent, there
// are too few observations, or too little time would be left before the deadline.
func (h *Hedger) Delay(idempotent bool, timeLeft time.Duration) (delay time.Duration, ok bool) {
	if !idempotent {
		return 0, false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.seen < minObservations {
		return 0, false
	}
	delay = max(hedgeFloor, time.Duration(math.Exp(h.logP95)*float64(time.Second)))
	return delay, delay+minTimeLeft < timeLeft
}

// Take consumes a token when the delay has passed, and reports whether the hedge may be sent. An overloaded service
// gets no hedges.
func (h *Hedger) Take(now model.Instant, serviceOverloaded bool) bool {
	return !serviceOverloaded && h.budget.Take(now)
}
