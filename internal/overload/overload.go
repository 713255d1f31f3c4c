// Package overload decides whether a request is sent, or refused at once because it would come too late.
//
// The load pattern that it answers is more work than the targets' slots can do for some seconds: a burst, targets lost
// together, or one hot key. Without a bound every request waits in a target's queue until all answers are late. With
// it, queues stay as short as the time within which answers are useful, and the callers that are refused come back
// when there may be room. The package does no I/O.
package overload

import "time"

const (
	// usefulFactor is the part of the time left within the latency target that the expected time may take. A lasting burst
	// keeps queues at this bound, and estimates are off by
	// the spread of the work, so it has to stay below the target.
	usefulFactor = 0.8
	// urgentFactor is the same for requests that others may be refused for.
	urgentFactor = 1.0
	// deadlineFactor is how much of the time left the expected time may take for requests that will be late anyway.
	deadlineFactor = 0.8
	// callerDistance is the time that a request and its answer take between the caller and this VM.
	callerDistance = 20 * time.Millisecond
	// retryShare is the largest part of its time left after which a caller honors an invitation to come back.
	retryShare = 1.0 / 3
	// minRetry keeps callers from coming back before anything can have changed.
	minRetry = 100 * time.Millisecond
)

// Request is what the decision knows of a request.
type Request struct {
	// Elapsed is the time since the caller's first attempt, as far as known.
	Elapsed time.Duration
	// Left is the time until the caller or the operators' timeout gives up.
	Left time.Duration
	// LatencyTarget is the time from the caller's first attempt within which the answer has its full value; 0 if unknown.
	LatencyTarget time.Duration
	// PreviouslyRejected is true if the caller was refused before.
	PreviouslyRejected bool
	// Urgent is true if the service also has less urgent requests.
	Urgent bool
}

// Decision says what to do with a request.
type Decision struct {
	Send bool
	// RetryAfter is when a refused caller may come back.
	RetryAfter time.Duration
	// Reason is a constant text for logs.
	Reason string
}

// Decide returns whether a request is sent to a target that is expected to answer after the given time.
func Decide(request Request, expected time.Duration) Decision {
	if float64(expected) > float64(request.Left) {
		return refuse(request, expected, "expected time exceeds the time left")
	}
	if request.LatencyTarget <= 0 {
		return Decision{Send: true}
	}
	useful := request.LatencyTarget - request.Elapsed - callerDistance
	if useful <= 0 || request.PreviouslyRejected {
		return decideLate(request, expected)
	}
	factor := usefulFactor
	if request.Urgent {
		factor = urgentFactor
	}
	if float64(expected) > float64(useful)*factor {
		return refuse(request, expected, "expected time exceeds the latency target")
	}
	return Decision{Send: true}
}

// decideLate serves a request that is late already, as its caller will not come back once more.
func decideLate(request Request, expected time.Duration) Decision {
	if float64(expected) > float64(request.Left)*deadlineFactor {
		return refuse(request, expected, "expected time exceeds the time left")
	}
	return Decision{Send: true}
}

// refuse invites the caller to come back when the queue in front of it will have shrunk to what is useful.
func refuse(request Request, expected time.Duration, reason string) Decision {
	excess := expected - max(request.LatencyTarget, expected/2)
	limit := time.Duration(float64(request.Left) * retryShare)
	return Decision{RetryAfter: min(max(minRetry, excess), limit), Reason: reason}
}
