package admission

import (
	"sync"
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

// serviceTimeGain is the weight of a new sample in the exponential moving average of service times.
const serviceTimeGain = 0.05

// Item is a waiting request.
type Item[T any] struct {
	Tenant   model.Tenant
	Deadline model.Instant
	Value    T
}

// Queue holds the waiting requests of one service at one entry VM. Tenants are served round-robin; the requests of a
// tenant are served first in, first out.
type Queue[T any] struct {
	mu          sync.Mutex
	capacity    int
	concurrency float64
	// serviceTime is the moving average of the time that a target needs for a request, in seconds; 0 if unknown.
	serviceTime float64
	length      int
	tenants     map[model.Tenant]*tenantQueue[T]
	// roundRobin holds the queues of the tenants with waiting requests, in the order in which they are served.
	roundRobin []*tenantQueue[T]
}

type tenantQueue[T any] struct {
	tenant model.Tenant
	items  []Item[T]
}

// NewQueue returns a queue for at most capacity requests. concurrency is the number of requests from this VM that the
// service can run concurrently.
func NewQueue[T any](capacity int, concurrency float64) *Queue[T] {
	return &Queue[T]{capacity: capacity, concurrency: max(1, concurrency), tenants: map[model.Tenant]*tenantQueue[T]{}}
}

// SetConcurrency changes the number of requests from this VM that the service can run concurrently.
func (q *Queue[T]) SetConcurrency(concurrency float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.concurrency = max(1, concurrency)
}

// ObserveService records the time that a target needed for a request, without queueing.
func (q *Queue[T]) ObserveService(took time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.serviceTime == 0 {
		q.serviceTime = took.Seconds()
		return
	}
	q.serviceTime += serviceTimeGain * (took.Seconds() - q.serviceTime)
}

// Len returns the number of waiting requests.
func (q *Queue[T]) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.length
}

// Push adds a request. It rejects the request immediately if the expected waiting and service time exceed the deadline.
// If the queue is full, Push displaces the newest request of the tenant with the most waiting requests, provided that
// the tenant of item has at least two fewer; the caller must reject the displaced request.
func (q *Queue[T]) Push(now model.Instant, item Item[T]) (decision Decision, displaced *Item[T]) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if now.Add(q.expectedTime(item.Tenant)) > item.Deadline {
		return DeadlineTooShort, nil
	}
	if q.length >= q.capacity {
		displaced = q.displace(item.Tenant)
		if displaced == nil {
			return QueueFull, nil
		}
	}
	own := q.tenants[item.Tenant]
	if own == nil {
		own = &tenantQueue[T]{tenant: item.Tenant}
		q.tenants[item.Tenant] = own
		q.roundRobin = append(q.roundRobin, own)
	}
	own.items = append(own.items, item)
	q.length++
	return Admitted, displaced
}

// expectedTime returns the expected time until a request of the tenant pushed now would finish. If n requests of the
// tenant are waiting already, at most n+1 requests of each other tenant are served before it, because tenants are
// served round-robin.
func (q *Queue[T]) expectedTime(tenant model.Tenant) time.Duration {
	own := 0
	if tq := q.tenants[tenant]; tq != nil {
		own = len(tq.items)
	}
	ahead := own
	for _, tq := range q.roundRobin {
		if tq.tenant != tenant {
			ahead += min(len(tq.items), own+1)
		}
	}
	rounds := float64(ahead)/q.concurrency + 1
	return time.Duration(rounds * q.serviceTime * float64(time.Second))
}

func (q *Queue[T]) displace(tenant model.Tenant) *Item[T] {
	longest := q.roundRobin[0]
	for _, tq := range q.roundRobin[1:] {
		if len(tq.items) > len(longest.items) {
			longest = tq
		}
	}
	own := 0
	if tq := q.tenants[tenant]; tq != nil {
		own = len(tq.items)
	}
	if len(longest.items) < own+2 {
		return nil
	}
	last := len(longest.items) - 1
	item := longest.items[last]
	longest.items = longest.items[:last]
	q.length--
	return &item
}

// Pop removes and returns the next request whose deadline leaves enough time to run it. late holds the requests that
// were dropped before it because their deadlines do not.
func (q *Queue[T]) Pop(now model.Instant) (item Item[T], late []Item[T], ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	runTime := time.Duration(q.serviceTime * float64(time.Second))
	for len(q.roundRobin) > 0 {
		next := q.roundRobin[0]
		item = next.items[0]
		next.items = next.items[1:]
		q.length--
		q.roundRobin = q.roundRobin[1:]
		if len(next.items) > 0 {
			q.roundRobin = append(q.roundRobin, next)
		} else {
			delete(q.tenants, next.tenant)
		}
		if now.Add(runTime) <= item.Deadline {
			return item, late, true
		}
		late = append(late, item)
	}
	return Item[T]{}, late, false
}

// Remove removes a waiting request, for instance because its caller disconnected, and reports whether it was waiting.
func (q *Queue[T]) Remove(tenant model.Tenant, matches func(T) bool) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	own := q.tenants[tenant]
	if own == nil {
		return false
	}
	for i := range own.items {
		if !matches(own.items[i].Value) {
			continue
		}
		own.items = append(own.items[:i:i], own.items[i+1:]...)
		q.length--
		if len(own.items) == 0 {
			q.removeTenantQueue(own)
		}
		return true
	}
	return false
}

func (q *Queue[T]) removeTenantQueue(own *tenantQueue[T]) {
	delete(q.tenants, own.tenant)
	for i, tq := range q.roundRobin {
		if tq == own {
			q.roundRobin = append(q.roundRobin[:i:i], q.roundRobin[i+1:]...)
			return
		}
	}
}
