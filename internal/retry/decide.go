package retry

import (
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

// Failure is the type of failure of an attempt.
type Failure uint8

// Types of failures. Only with the first three is the request known not to have run.
const (
	// NotSent means that no byte reached the target.
	NotSent Failure = iota
	// Refused means that the target reported that it did not run the request, for a reason other than overload.
	Refused
	// Shed means that the target refused the request because of overload.
	Shed
	// Broken means that the connection broke or the response was invalid; the request may have run.
	Broken
	// TimedOut means that no complete response arrived in time; the request may have run.
	TimedOut
	// Unresponsive means that nothing arrives on the connection while the target responds on others; the request may have
	// run.
	Unresponsive
	// Crashed means that the target terminated while it ran the request, which may be the cause.
	Crashed
)

// NotRun reports whether the attempt is known not to have run.
func (f Failure) NotRun() bool { return f <= Shed }

// Reason is the reason for which a retry is made or not.
type Reason uint8

// Reasons. Only Allowed permits a retry.
const (
	Allowed Reason = iota
	// MayHaveRun means that a request that is not idempotent may have run.
	MayHaveRun
	// CrashedTarget means that the request may have crashed a target, so it must not reach another one.
	CrashedTarget
	// TooManyAttempts means that MaxAttempts attempts were made.
	TooManyAttempts
	// NoTime means that too little time is left until the deadline.
	NoTime
	// ServiceOverloaded means that the service has no free capacity, so a retry would only add load.
	ServiceOverloaded
	// BudgetSpent means that the service's retry budget is exhausted.
	BudgetSpent
)

var reasonNames = [...]string{"allowed", "may have run", "crashed target", "too many attempts", "no time",
	"service overloaded", "budget spent"}

// String returns the reason's name for logs and metrics.
func (r Reason) String() string { return reasonNames[r] }

const (
	// MaxAttempts is the largest number of attempts of one request, including the first.
	MaxAttempts = 3
	// minTimeLeft is the least time in which a retry can succeed: a round trip between regions is 24 ms.
	minTimeLeft = 25 * time.Millisecond
)

// Attempt describes a failed attempt.
type Attempt struct {
	Failure    Failure
	Idempotent bool
	// Attempts is the number of attempts made so far, including this one.
	Attempts int
	// TimeLeft is the time until the caller's deadline.
	TimeLeft time.Duration
	// ServiceOverloaded is true if no target of the service has free capacity.
	ServiceOverloaded bool
}

// Decide returns the reason for which a failed attempt is retried or not. It consumes a token if the retry is allowed.
func (b *Budget) Decide(now model.Instant, failed Attempt) Reason {
	switch {
	case failed.Failure == Crashed:
		return CrashedTarget
	case !failed.Idempotent && !failed.Failure.NotRun():
		return MayHaveRun
	case failed.Attempts >= MaxAttempts:
		return TooManyAttempts
	case failed.TimeLeft < minTimeLeft:
		return NoTime
	case failed.ServiceOverloaded:
		return ServiceOverloaded
	case !b.Take(now):
		return BudgetSpent
	default:
		return Allowed
	}
}
