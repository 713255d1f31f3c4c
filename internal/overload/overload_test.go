package overload

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func request() Request {
	return Request{Left: 2 * time.Second, LatencyTarget: 500 * time.Millisecond}
}

func TestRequestInTimeIsSent(t *testing.T) {
	assert.True(t, Decide(request(), 300*time.Millisecond).Send)
	assert.True(t, Decide(Request{Left: time.Second}, 900*time.Millisecond).Send, "a route without a target binds by its deadline only")
}

// A request that would come too late is refused at once, with a time that its caller honors.
func TestLateRequestIsRefused(t *testing.T) {
	decision := Decide(request(), 1200*time.Millisecond)
	assert.False(t, decision.Send)
	assert.GreaterOrEqual(t, decision.RetryAfter, minRetry)
	assert.LessOrEqual(t, decision.RetryAfter, request().Left/3+time.Millisecond)
	assert.False(t, Decide(request(), 3*time.Second).Send)
}

// An urgent request is sent where a less urgent one is refused.
func TestUrgentRequestsGoFirst(t *testing.T) {
	urgent := request()
	urgent.Urgent = true
	expected := 450 * time.Millisecond
	assert.False(t, Decide(request(), expected).Send)
	assert.True(t, Decide(urgent, expected).Send)
}

// A caller that was refused before does not come back once more, so its request is sent if it can be served at all.
func TestReturnedRequestIsServedLate(t *testing.T) {
	returned := Request{Left: 1200 * time.Millisecond, Elapsed: 800 * time.Millisecond, LatencyTarget: 500 * time.Millisecond, PreviouslyRejected: true}
	assert.True(t, Decide(returned, 900*time.Millisecond).Send)
	assert.False(t, Decide(returned, 1100*time.Millisecond).Send)
}

// Replays a burst of 1.6 times what the targets can do: without the bound, waiting grows until all answers are late; with
// it, what is served is served in time.
func TestBurstIsServedInTime(t *testing.T) {
	const (
		slots = 40
		work  = 200 * time.Millisecond
		aim   = 500 * time.Millisecond
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
			if bounded && !Decide(Request{Left: 2 * time.Second, LatencyTarget: aim}, expected).Send {
				continue
			}
			free[first] = start + work/2 + time.Duration(random.Int64N(int64(work)))
			if free[first]-now <= aim {
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
