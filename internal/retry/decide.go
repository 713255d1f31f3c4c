package retry

import (
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

// Failure is the way in which an attempt failed.
type Failure uint8

// Failures. Only the first three are known not to have run.
const (
	// NotSent means that no byte reached the target.
	NotSent Failure = iota
	// Refused means that the target stated that it did not run the request, other than for load.
	Refused
	// Shed means that the target refused for load.
	Shed
	// Broken means that the connection broke or the response was wrong; the request may have run.
	Broken
	// TimedOut means that no whole response came in time; the request may have run.
	TimedOut
	// Unresponsive means that the connection is silent while the target answers on others; the request may have run.
	Unresponsive
	// Crashed means that the target ended while it ran the request, which may be the cause.
	Crashed
)

// NotRun reports whether the attempt is known not to have run.
func (f Failure) NotRun() bool { return f <= Shed }

// Reason says why a retry is made or not.
type Reason uint8

// Reasons. Allowed is the only one that permits a retry.
const (
	Allowed Reason = iota
	// MayHaveRun means that a request that is not idempotent may have run.
	MayHaveRun
	// CrashedTarget means that the request may have ended a target; it must not reach another.
	CrashedTarget
	// TooManyAttempts means that MaxAttempts were made.
	TooManyAttempts
	// NoTime means that too little of the deadline is left.
	NoTime
	// ServiceOverloaded means that the service has no free capacity, so that a retry only adds load.
	ServiceOverloaded
	// BudgetSpent means that the service's retry budget is empty.
	BudgetSpent
)

var reasonNames = [...]string{"allowed", "may have run", "crashed target", "too many attempts", "no time",
	"service overloaded", "budget spent"}

// String returns the reason as it appears in logs and metrics.
func (r Reason) String() string { return reasonNames[r] }

const (
	// MaxAttempts is the number of attempts of one request, the first included.
	MaxAttempts = 3
	// minTimeLeft is the least time in which a retry can succeed: a round trip between regions is 24 ms.
	minTimeLeft = 25 * time.Millisecond
)

// Attempt describes a failed attempt.
type Attempt struct {
	Failure    Failure
	Idempotent bool
	// Attempts is the number of attempts made so far, this one included.
	Attempts int
	// Left is the time until the caller's deadline.
	Left time.Duration
	// ServiceOverloaded is true if no target of the service has free capacity.
	ServiceOverloaded bool
}

// Decide reports whether a request is sent again, and spends a token if so.
func (b *Budget) Decide(now model.Instant, failed Attempt) Reason {
	switch {
	case failed.Failure == Crashed:
		return CrashedTarget
	case !failed.Idempotent && !failed.Failure.NotRun():
		return MayHaveRun
	case failed.Attempts >= MaxAttempts:
		return TooManyAttempts
	case failed.Left < minTimeLeft:
		return NoTime
	case failed.ServiceOverloaded:
		return ServiceOverloaded
	case !b.Take(now):
		return BudgetSpent
	default:
		return Allowed
	}
}
