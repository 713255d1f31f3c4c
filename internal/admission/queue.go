package admission

import (
	"sync"
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

// serviceTimeGain is the weight of a new service time in the moving average.
const serviceTimeGain = 0.05

// Item is a waiting request.
type Item[T any] struct {
	Tenant   model.Tenant
	Deadline model.Instant
	Value    T
}

// Queue holds the waiting requests of one service at one entry VM. Tenants take turns; within a tenant the order is
// first in, first out.
type Queue[T any] struct {
	mu       sync.Mutex
	capacity int
	parallel float64
	// serviceTime is the moving average of the time a target needs for a request, in seconds; 0 if unknown.
	serviceTime float64
	length      int
	tenants     map[model.Tenant]*line[T]
	// turns holds the tenants with waiting requests; the first is next.
	turns []*line[T]
}

type line[T any] struct {
	tenant model.Tenant
	items  []Item[T]
}

// NewQueue returns a queue for at most capacity requests. parallel is the number of requests of this VM that the
// service can run at a time.
func NewQueue[T any](capacity int, parallel float64) *Queue[T] {
	return &Queue[T]{capacity: capacity, parallel: max(1, parallel), tenants: map[model.Tenant]*line[T]{}}
}

// SetConcurrency changes the number of requests of this VM that the service can run at a time.
func (q *Queue[T]) SetConcurrency(parallel float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.parallel = max(1, parallel)
}

// ObserveService records how long a target needed for a request, queueing left out.
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

// Push adds a request. It refuses at once if the expected wait and run would pass the deadline. A full queue makes room
// by displacing the newest request of the tenant with the most waiting ones, if the pushing tenant has at least two
// fewer; the caller must refuse the displaced request.
func (q *Queue[T]) Push(now model.Instant, item Item[T]) (refusal Decision, displaced *Item[T]) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if now.Add(q.expected(item.Tenant)) > item.Deadline {
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
		own = &line[T]{tenant: item.Tenant}
		q.tenants[item.Tenant] = own
		q.turns = append(q.turns, own)
	}
	own.items = append(own.items, item)
	q.length++
	return Admitted, displaced
}

// expected returns the time until a request of the tenant pushed now would be done. As tenants take turns, each other
// tenant is served at most as often as this one before it.
func (q *Queue[T]) expected(tenant model.Tenant) time.Duration {
	own := 0
	if l := q.tenants[tenant]; l != nil {
		own = len(l.items)
	}
	ahead := own
	for _, l := range q.turns {
		if l.tenant != tenant {
			ahead += min(len(l.items), own+1)
		}
	}
	rounds := float64(ahead)/q.parallel + 1
	return time.Duration(rounds * q.serviceTime * float64(time.Second))
}

func (q *Queue[T]) displace(tenant model.Tenant) *Item[T] {
	longest := q.turns[0]
	for _, l := range q.turns[1:] {
		if len(l.items) > len(longest.items) {
			longest = l
		}
	}
	own := 0
	if l := q.tenants[tenant]; l != nil {
		own = len(l.items)
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

// Pop returns the next request whose deadline leaves time to run it, and those that were dropped before it because
// their deadline does not.
func (q *Queue[T]) Pop(now model.Instant) (item Item[T], late []Item[T], ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	runTime := time.Duration(q.serviceTime * float64(time.Second))
	for len(q.turns) > 0 {
		next := q.turns[0]
		item = next.items[0]
		next.items = next.items[1:]
		q.length--
		q.turns = q.turns[1:]
		if len(next.items) > 0 {
			q.turns = append(q.turns, next)
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

// Remove takes out a waiting request, for instance because its caller left, and reports whether it was waiting.
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
			q.dropLine(own)
		}
		return true
	}
	return false
}

func (q *Queue[T]) dropLine(own *line[T]) {
	delete(q.tenants, own.tenant)
	for i, l := range q.turns {
		if l == own {
			q.turns = append(q.turns[:i:i], q.turns[i+1:]...)
			return
		}
	}
}
