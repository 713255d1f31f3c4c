package admission

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

const second = model.Instant(time.Second)

// Guards against limits that a tenant can exceed, that reset on a configuration change, or that one tenant uses up for
// others.
func TestLimiterRateAndConcurrency(t *testing.T) {
	limiter := NewLimiter()
	limits := map[Key]Limits{{"a", "upload"}: {Rate: 2}}
	limiter.SetLimits(0, Limits{Rate: 10, Concurrency: 3}, limits)
	require.Equal(t, Admitted, limiter.Admit(0, "a", "upload"))
	require.Equal(t, Admitted, limiter.Admit(0, "a", "upload"))
	require.Equal(t, RateExceeded, limiter.Admit(0, "a", "upload"))
	require.Equal(t, Admitted, limiter.Admit(0, "a", AllClasses))
	require.Equal(t, ConcurrencyExceeded, limiter.Admit(0, "a", AllClasses))
	require.Equal(t, Admitted, limiter.Admit(0, "b", AllClasses))
	limiter.Done(0, "a", "upload")
	limiter.SetLimits(0, Limits{Rate: 10, Concurrency: 3}, limits)
	require.Equal(t, RateExceeded, limiter.Admit(0, "a", "upload"))
	require.Equal(t, Admitted, limiter.Admit(second, "a", "upload"))
}

// Guards against memory that grows with every tenant ever seen, and against eviction that resets a rate limit.
func TestLimiterEvictsIdleTenants(t *testing.T) {
	limiter := NewLimiter()
	limiter.SetLimits(0, Limits{Rate: 1}, nil)
	for i := range 100 {
		tenant := model.Tenant(fmt.Sprint(i))
		limiter.Admit(0, tenant, AllClasses)
		limiter.Done(0, tenant, AllClasses)
	}
	limiter.EvictIdle(0)
	require.Equal(t, RateExceeded, limiter.Admit(0, "5", AllClasses))
	limiter.EvictIdle(2 * second)
	require.Empty(t, limiter.states)
}

// Guards against a tenant that fills the queue and excludes the others, and against a wrong order.
func TestQueueIsFair(t *testing.T) {
	queue := NewQueue[int](8, 1)
	for i := range 8 {
		decision, _ := queue.Push(0, Item[int]{"loud", second, i})
		require.Equal(t, Admitted, decision)
	}
	decision, _ := queue.Push(0, Item[int]{"loud", second, 8})
	require.Equal(t, QueueFull, decision)
	decision, displaced := queue.Push(0, Item[int]{"quiet", second, 100})
	require.Equal(t, Admitted, decision)
	require.Equal(t, 7, displaced.Value)
	var order []int
	for range 3 {
		item, _, ok := queue.Pop(0)
		require.True(t, ok)
		order = append(order, item.Value)
	}
	require.Equal(t, []int{0, 100, 1}, order)
}

// Guards against requests that wait although they cannot finish by their deadline.
func TestQueueRejectsRequestsThatCannotMeetDeadline(t *testing.T) {
	queue := NewQueue[int](100, 2)
	queue.ObserveService(100 * time.Millisecond)
	for i := range 10 {
		decision, _ := queue.Push(0, Item[int]{"a", 10 * second, i})
		require.Equal(t, Admitted, decision)
	}
	decision, _ := queue.Push(0, Item[int]{"a", second / 2, 0})
	require.Equal(t, DeadlineTooShort, decision,
		"10 requests ahead, 2 at a time, need 500 ms, and the request itself needs 100 ms")
	decision, _ = queue.Push(0, Item[int]{"b", second / 2, 0})
	require.Equal(t, Admitted, decision, "b is served after one request of a")
	_, late, ok := queue.Pop(11 * second)
	require.False(t, ok)
	require.Len(t, late, 11)
}

// Guards against lost or duplicated requests and a wrong length.
func TestQueueKeepsEveryItem(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		queue, waiting := NewQueue[int](6, 1), map[int]model.Tenant{}
		next := 0
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				tenant := model.Tenant(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "tenant"))
				next++
				decision, displaced := queue.Push(0, Item[int]{tenant, second, next})
				if decision == Admitted {
					waiting[next] = tenant
				}
				if displaced != nil {
					require.Contains(t, waiting, displaced.Value)
					delete(waiting, displaced.Value)
				}
			},
			"pop": func(t *rapid.T) {
				item, _, ok := queue.Pop(0)
				require.Equal(t, len(waiting) > 0, ok)
				if ok {
					require.Equal(t, waiting[item.Value], item.Tenant)
					delete(waiting, item.Value)
				}
			},
			"remove": func(t *rapid.T) {
				id := rapid.IntRange(1, next+1).Draw(t, "id")
				tenant, found := waiting[id]
				require.Equal(t, found, queue.Remove(tenant, func(v int) bool { return v == id }))
				delete(waiting, id)
			},
			"": func(t *rapid.T) { require.Equal(t, len(waiting), queue.Len()) },
		})
	})
}

// Guards against data races, and against requests that remain counted after they ended.
func TestConcurrentUse(t *testing.T) {
	limiter, queue := NewLimiter(), NewQueue[int](10, 1)
	limiter.SetLimits(0, Limits{Concurrency: 4}, nil)
	var group sync.WaitGroup
	for w := range 8 {
		group.Go(func() {
			for range 200 {
				if limiter.Admit(0, "a", AllClasses) == Admitted {
					queue.Push(0, Item[int]{"a", second, w})
					queue.Pop(0)
					limiter.Done(0, "a", AllClasses)
				}
			}
		})
	}
	group.Wait()
	for range 4 {
		require.Equal(t, Admitted, limiter.Admit(0, "a", AllClasses))
	}
	require.Equal(t, ConcurrencyExceeded, limiter.Admit(0, "a", AllClasses))
}
