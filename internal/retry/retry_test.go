package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

// Guards against a second run of a request that is not idempotent, and against a retry that crashes another target.
func TestDecideNeverRepeatsWhatMayHaveRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		failed := Attempt{
			Failure:    Failure(rapid.IntRange(int(NotSent), int(Crashed)).Draw(t, "failure")),
			Idempotent: rapid.Bool().Draw(t, "idempotent"),
			Attempts:   rapid.IntRange(1, 4).Draw(t, "attempts"),
			TimeLeft:   time.Duration(rapid.IntRange(0, 100).Draw(t, "left")) * time.Millisecond,
		}
		if NewBudget(10, 10, 0).Decide(0, failed) != Allowed {
			return
		}
		require.True(t, failed.Idempotent || failed.Failure <= Shed)
		require.NotEqual(t, Crashed, failed.Failure)
		require.Less(t, failed.Attempts, MaxAttempts)
		require.GreaterOrEqual(t, failed.TimeLeft, minTimeLeft)
	})
}

// Guards against a wrong reason where several apply: the caller must be informed that the request may have run.
func TestDecideReasons(t *testing.T) {
	base := Attempt{Failure: Broken, Idempotent: true, Attempts: 1, TimeLeft: time.Second}
	budget := NewBudget(0, 0.1, 0)
	require.Equal(t, Allowed, budget.Decide(0, base))
	require.Equal(t, BudgetSpent, budget.Decide(0, base))
	base.ServiceOverloaded = true
	require.Equal(t, ServiceOverloaded, budget.Decide(0, base))
	base.Idempotent = false
	require.Equal(t, MayHaveRun, budget.Decide(0, base))
	require.Equal(t, "may have run", MayHaveRun.String())
}

// Guards against retry storms: in an outage the number of retries stays within the share of the requests plus the floor
// and the accumulated tokens.
func TestBudgetBoundsRetriesInAnOutage(t *testing.T) {
	budget := NewBudget(10, 1, 0)
	retries, now := 0, model.Instant(0)
	for range 10000 {
		now = now.Add(time.Millisecond)
		budget.Request(now)
		if budget.Take(now) {
			retries++
		}
	}
	require.InDelta(t, 1000, retries, 25)
}

// Guards against a service that can never retry because it gets few requests.
func TestBudgetFloor(t *testing.T) {
	budget := NewBudget(10, 1, 0)
	for budget.Take(0) {
		continue
	}
	require.False(t, budget.Take(model.Instant(900*time.Millisecond)))
	require.True(t, budget.Take(model.Instant(1100*time.Millisecond)))
}

// Guards against hedges of more than the slowest 5 % of requests, beyond the budget, or of requests that are not
// idempotent.
func TestHedgeDelayIsNearP95(t *testing.T) {
	hedger, random := NewHedger(5, 0), rand.New(rand.NewPCG(1, 1))
	_, ok := hedger.Delay(true, time.Second)
	require.False(t, ok, "nothing observed yet")
	later, hedges := 0, 0
	for i := range 20000 {
		now := model.Instant(i) * model.Instant(time.Millisecond)
		latency := time.Duration(random.ExpFloat64() * float64(10*time.Millisecond))
		delay, ok := hedger.Delay(true, time.Second)
		if ok && latency > delay {
			later++
			if hedger.Take(now, false) {
				hedges++
			}
		}
		hedger.Observe(now, latency)
	}
	require.InDelta(t, 1000, later, 200)
	require.LessOrEqual(t, hedges, 1000)
	_, ok = hedger.Delay(false, time.Second)
	require.False(t, ok)
	require.False(t, hedger.Take(0, true))
}

// Guards against retries that are all sent at the same moment, and against overflow after many attempts.
func TestBackoffBounds(t *testing.T) {
	require.Equal(t, 5*time.Millisecond, Backoff(1, 10*time.Millisecond, time.Second, 0))
	require.LessOrEqual(t, Backoff(60, 10*time.Millisecond, time.Second, 0.99), time.Second)
}
