package balance

import (
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

// Ramp describes the cold start of a service's targets.
type Ramp struct {
	// Initial is the number of concurrent requests allowed for a target that has just started.
	Initial int
	// Concurrency is the number of requests that a warm target runs at a time.
	Concurrency int
	// Duration is the length of the cold start.
	Duration time.Duration
}

// Limit returns the number of concurrent requests allowed for a target that has been cold since coldSince. It grows
// linearly from Initial to Concurrency and is rounded down. Only the lessor sends requests to a cold target, so the
// limit holds for the sum over all entry VMs.
func Limit(coldSince, now model.Instant, ramp Ramp) int {
	elapsed := max(0, now.Sub(coldSince))
	if elapsed >= ramp.Duration {
		return ramp.Concurrency
	}
	span := float64(ramp.Concurrency - ramp.Initial)
	return ramp.Initial + int(span*float64(elapsed)/float64(ramp.Duration))
}
