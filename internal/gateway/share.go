package gateway

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tarragonpoint/tarragonpoint/internal/fleet"
	"github.com/tarragonpoint/tarragonpoint/internal/hub"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

// splitter distributes the requests of a route among its services by smooth weighted round robin. The count of each
// service stays within one request of its weight's share.
type splitter struct {
	mu      sync.Mutex
	credits map[string]map[model.Service]float64
}

func newSplitter() *splitter { return &splitter{credits: map[string]map[model.Service]float64{}} }

func (s *splitter) choose(route *fleet.Route) model.Service {
	if len(route.Backends) == 1 {
		return route.Backends[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	credits := s.credits[route.Name]
	if credits == nil {
		credits = map[model.Service]float64{}
		s.credits[route.Name] = credits
	}
	total := 0.0
	best := route.Backends[0].Service
	for _, backend := range route.Backends {
		total += backend.Weight
		credits[backend.Service] += backend.Weight
		if credits[backend.Service] > credits[best] {
			best = backend.Service
		}
	}
	credits[best] -= total
	return best
}

const (
	// sendersPerColdTarget is the number of VMs that send to one cold target at a time. With more than one, the target
	// keeps warming up when a VM fails.
	sendersPerColdTarget = 3
	// coldRateShare is the share of a cold target's rate limit that VMs use.
	coldRateShare = 0.9
	// coldSpacingFactor extends the time between two requests, because requests do not arrive at the intervals at which
	// they are sent.
	coldSpacingFactor = 1.15
)

// coldLimiter limits the rate of requests from this VM to cold targets, so that the sum over all VMs stays within the
// targets' limits. Only a few VMs, selected by their rank, send to each cold target.
type coldLimiter struct {
	mu   sync.Mutex
	next map[fleet.Incarnation]model.Instant
	// sends holds the requests that have left; it has a lock of its own.
	sends sendTimes
}

func newColdLimiter() *coldLimiter { return &coldLimiter{next: map[fleet.Incarnation]model.Instant{}} }

// allow reports whether this VM may send a request to a cold target now, and counts the request if consume is true.
// maxRate is the target's limit in requests per second over all VMs. position is nil if this VM does not know its rank;
// it then sends nothing.
func (l *coldLimiter) allow(
	now model.Instant, incarnation fleet.Incarnation, maxRate float64, position *hub.Position, consume bool,
) bool {
	senders, perSender := coldShare(maxRate)
	if position == nil || position.VMs == 0 || senders < 1 {
		return false
	}
	offset := (uint64(position.Rank) + xxhash.Sum64String(string(incarnation.ID))) % uint64(position.VMs)
	if offset >= uint64(senders) {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if now < l.next[incarnation] {
		return false
	}
	if consume {
		l.dropExpired(now)
		l.next[incarnation] = now.Add(time.Duration(float64(time.Second) * coldSpacingFactor / float64(perSender)))
	}
	return true
}

// dropExpired removes targets whose next request is already allowed. The caller must hold the mutex.
func (l *coldLimiter) dropExpired(now model.Instant) {
	for incarnation, next := range l.next {
		if now >= next {
			delete(l.next, incarnation)
		}
	}
}

const (
	// retryDeadlineShare is the share of a route's usual deadline below which a request counts as a caller's retry.
	retryDeadlineShare = 0.97
	// maxTrackedRoutes bounds the number of routes whose usual deadline is tracked.
	maxTrackedRoutes = 1024
)

// deadlineTracker records the longest deadline that callers of each route state. A caller that retries states the time
// that it has left.
type deadlineTracker struct {
	mu      sync.Mutex
	longest map[string]time.Duration
}

func newDeadlineTracker() *deadlineTracker {
	return &deadlineTracker{longest: map[string]time.Duration{}}
}

// elapsed returns how long ago the caller of a request made its first attempt, or 0 if this appears to be the first.
func (d *deadlineTracker) elapsed(route string, deadline time.Duration) time.Duration {
	if deadline <= 0 {
		return 0
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, known := d.longest[route]; !known && len(d.longest) >= maxTrackedRoutes {
		// The map still holds routes of earlier configurations; routes in use are added again.
		clear(d.longest)
	}
	d.longest[route] = max(d.longest[route], deadline)
	if float64(deadline) >= float64(d.longest[route])*retryDeadlineShare {
		return 0
	}
	return d.longest[route] - deadline
}
