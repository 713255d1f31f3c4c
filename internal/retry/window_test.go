package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

// Verifies that in no window of its length the repeated attempts exceed the share of the requests plus the burst.
func TestWindowBudgetHoldsInEveryWindow(t *testing.T) {
	const (
		window = 10 * time.Second
		share  = 0.2
		burst  = 5.0
	)
	random := rand.New(rand.NewPCG(1, 2))
	b := NewWindowBudget(share, window)
	var requests, retries []model.Instant
	now := model.Instant(time.Hour)
	for i := 0; i < 4000; i++ {
		now = now.Add(time.Duration(random.IntN(40)) * time.Millisecond)
		if random.IntN(3) > 0 {
			b.Request(now)
			requests = append(requests, now)
		}
		if b.Take(now, burst) {
			retries = append(retries, now)
		}
	}
	require.NotEmpty(t, retries)
	count := func(list []model.Instant, from, to model.Instant) float64 {
		n := 0.0
		for _, at := range list {
			if at >= from && at < to {
				n++
			}
		}
		return n
	}
	for _, end := range retries {
		start := end.Add(-window)
		// The platform compares the retries with the requests in the same window or in one up to a window earlier.
		allowed := share*max(count(requests, start, end+1), count(requests, start.Add(-window/2), end.Add(-window/2))) + burst
		assert.LessOrEqual(t, count(retries, start, end+1), allowed+1)
	}
}

// Guards against requests that allow retries after their window has passed.
func TestWindowBudgetExpiresAfterLongPause(t *testing.T) {
	b := NewWindowBudget(0.5, time.Second)
	for i := 0; i < 10; i++ {
		b.Request(0)
	}
	assert.True(t, b.Take(model.Instant(500*time.Millisecond), 0))
	assert.False(t, b.Take(model.Instant(time.Hour), 0))
	assert.True(t, b.Take(model.Instant(time.Hour), 1))
	assert.False(t, b.Take(model.Instant(time.Hour), 1))
}

// Guards against a budget that attempts which were never sent use up, and against one that grows when they are taken back.
func TestWindowBudgetTakesBackUnsentAttempts(t *testing.T) {
	const second = model.Instant(time.Second)
	b := NewWindowBudget(0, 10*time.Second)
	assert.True(t, b.Take(second, 1))
	assert.False(t, b.Take(2*second, 1))
	b.Return(second)
	assert.True(t, b.Take(3*second, 1))
	b.Return(second)
	b.Return(-1000 * second)
	b.Return(1000 * second)
	assert.False(t, b.Take(4*second, 1), "the attempt taken back twice is not the one that was sent")
}
