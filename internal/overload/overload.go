// Package overload decides whether a request is sent, or rejected immediately because its response would be too late.
//
// It handles overload of the targets' slots that lasts some seconds: a burst, the simultaneous failure of several
// targets, or a hot key. Without a limit, every request waits in a target's queue until all responses are late. With
// it, the queueing delay stays within the time in which responses are useful, and rejected callers retry when there may
// be free capacity. The package does no I/O.
package overload

import "time"

const (
	// usefulFactor is the part of the time left until the latency target that the expected time may take. It has to be
	// below 1, because a sustained burst keeps queues at this limit, and estimates are off by the variance of the work.
	usefulFactor = 0.8
	// urgentFactor is the same for urgent requests, in favor of which less urgent ones are rejected.
	urgentFactor = 1.0
	// DeadlineFactor is the part of the time left until the deadline that the expected time of a request may take if it
	// will miss its latency target anyway.
	DeadlineFactor = 0.8
	// idleFactor is the multiple of its mean that the response time of an idle target ordinarily reaches.
	idleFactor = 1.5
	// CallerRoundTrip is the network round trip between the caller and this VM.
	CallerRoundTrip = 20 * time.Millisecond
	// maxRetryShare bounds RetryAfter as a part of the time left: a caller doesn't retry if it would have to wait longer.
	maxRetryShare = 1.0 / 3
	// minRetryAfter keeps callers from retrying before the load can have changed.
	minRetryAfter = 100 * time.Millisecond
)

// Request is the input of a decision.
type Request struct {
	// Elapsed is the time since the caller's first attempt, as far as known.
	Elapsed time.Duration
	// TimeLeft is the time until the caller's deadline or the route's timeout, whichever is earlier.
	TimeLeft time.Duration
	// LatencyTarget is the time since the caller's first attempt within which a response has its full value; 0 if
	// unknown.
	LatencyTarget time.Duration
	// Work is the expected response time of an idle target.
	Work time.Duration
	// PreviouslyRejected is true if this is not the first attempt of the request, for example because an earlier one was
	// rejected.
	PreviouslyRejected bool
	// Urgent is true if the service also has less urgent requests.
	Urgent bool
}

// Decision states whether a request is sent or rejected.
type Decision struct {
	Send bool
	// RetryAfter is the delay after which the caller of a rejected request may retry.
	RetryAfter time.Duration
	// Reason is a constant text for logs; empty if the request is sent.
	Reason string
}

// Decide returns whether a request is sent to a target with the given expected response time.
func Decide(request Request, expected time.Duration) Decision {
	if float64(expected) > float64(request.TimeLeft) {
		return reject(request, expected, "expected time exceeds the time left")
	}
	if request.LatencyTarget <= 0 {
		return Decision{Send: true}
	}
	useful := request.LatencyTarget - request.Elapsed - CallerRoundTrip
	if float64(useful) <= float64(request.Work)*idleFactor || request.PreviouslyRejected {
		return decideLate(request, expected)
	}
	factor := usefulFactor
	if request.Urgent {
		factor = urgentFactor
	}
	if float64(expected) > float64(useful)*factor {
		return reject(request, expected, "expected time exceeds the latency target")
	}
	return Decision{Send: true}
}

// decideLate sends a request that cannot meet its latency target even at an idle target, or was rejected before, if it can
// meet its deadline: its caller would gain nothing by retrying, or will not retry again.
func decideLate(request Request, expected time.Duration) Decision {
	if float64(expected) > float64(request.TimeLeft)*DeadlineFactor {
		return reject(request, expected, "expected time exceeds the time left")
	}
	return Decision{Send: true}
}

// reject returns a decision that lets the caller retry when the queue will be short enough for the latency target.
func reject(request Request, expected time.Duration, reason string) Decision {
	excess := expected - max(request.LatencyTarget, expected/2)
	limit := time.Duration(float64(request.TimeLeft) * maxRetryShare)
	return Decision{RetryAfter: min(max(minRetryAfter, excess), limit), Reason: reason}
}

// SpreadRetryAfter returns a delay after which the caller of a rejected request may retry, between minRetryAfter and the
// longest that a caller waits. random is a number in [0, 1).
func SpreadRetryAfter(timeLeft time.Duration, random float64) time.Duration {
	limit := float64(timeLeft) * maxRetryShare
	shortest := min(float64(minRetryAfter), limit)
	return time.Duration(shortest + random*(limit-shortest))
}
