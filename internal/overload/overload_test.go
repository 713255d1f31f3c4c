package overload

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func request() Request {
	return Request{TimeLeft: 2 * time.Second, LatencyTarget: 500 * time.Millisecond}
}

// Guards against rejecting requests whose responses would be in time.
func TestRequestInTimeIsSent(t *testing.T) {
	assert.True(t, Decide(request(), 300*time.Millisecond).Send)
	assert.True(t, Decide(Request{TimeLeft: time.Second}, 900*time.Millisecond).Send,
		"a route without a latency target is bound by its deadline only")
}

// Verifies that a request that would be late is rejected immediately, with a retry delay that its caller accepts.
func TestLateRequestIsRejected(t *testing.T) {
	decision := Decide(request(), 1200*time.Millisecond)
	assert.False(t, decision.Send)
	assert.GreaterOrEqual(t, decision.RetryAfter, minRetryAfter)
	assert.LessOrEqual(t, decision.RetryAfter, request().TimeLeft/3+time.Millisecond)
	assert.False(t, Decide(request(), 3*time.Second).Send)
}

// Verifies that an urgent request is sent in a state in which a less urgent one is rejected.
func TestUrgentRequestsTakePrecedence(t *testing.T) {
	urgent := request()
	urgent.Urgent = true
	expected := 450 * time.Millisecond
	assert.False(t, Decide(request(), expected).Send)
	assert.True(t, Decide(urgent, expected).Send)
}

// Verifies that a request that was rejected before is sent if it can meet its deadline, because its caller will not
// retry again.
func TestPreviouslyRejectedRequestIsServedLate(t *testing.T) {
	rejected := Request{
		TimeLeft: 1200 * time.Millisecond, Elapsed: 800 * time.Millisecond, LatencyTarget: 500 * time.Millisecond,
		PreviouslyRejected: true,
	}
	assert.True(t, Decide(rejected, 900*time.Millisecond).Send)
	assert.False(t, Decide(rejected, 1100*time.Millisecond).Send)
}

// Simulates a burst of 1.6 times the targets' capacity. Without the limit, the queueing delay grows until all responses
// are late; with it, the requests that are served are served in time.
func TestBurstIsServedInTime(t *testing.T) {
	const (
		slots         = 40
		work          = 200 * time.Millisecond
		latencyTarget = 500 * time.Millisecond
	)
	run := func(bounded bool) (inTime, late int) {
		random := rand.New(rand.NewPCG(1, 1))
		free := make([]time.Duration, slots)
		for now := time.Duration(0); now < 10*time.Second; now += 3125 * time.Microsecond {
			first := 0
			for i := range free {
				if free[i] < free[first] {
					first = i
				}
			}
			start := max(now, free[first])
			expected := start - now + work
			if bounded && !Decide(Request{TimeLeft: 2 * time.Second, LatencyTarget: latencyTarget}, expected).Send {
				continue
			}
			free[first] = start + work/2 + time.Duration(random.Int64N(int64(work)))
			if free[first]-now <= latencyTarget {
				inTime++
			} else if free[first]-now <= 2*time.Second {
				late++
			}
		}
		return inTime, late
	}
	boundedInTime, _ := run(true)
	unboundedInTime, unboundedLate := run(false)
	assert.Greater(t, boundedInTime, 2*unboundedInTime)
	assert.Greater(t, boundedInTime, unboundedInTime+unboundedLate/2)
}

// Guards against a request that is rejected after it has waited at the VM, only because an idle target could not respond
// within its latency target any more; a moment later it would be sent as late.
func TestRequestThatWaitedIsSentLate(t *testing.T) {
	request := Request{
		Elapsed: 1900 * time.Millisecond, TimeLeft: time.Second, LatencyTarget: 2 * time.Second, Work: 240 * time.Millisecond,
	}
	assert.True(t, Decide(request, 250*time.Millisecond).Send)
	assert.False(t, Decide(request, 900*time.Millisecond).Send, "it would miss its deadline")
	request.Elapsed = time.Second
	assert.False(t, Decide(request, time.Second).Send, "its caller may find a target without a queue")
}
