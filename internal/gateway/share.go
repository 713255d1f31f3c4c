package gateway

import (
	"sync"
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/fleet"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/shares"
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
	// coldRateShare is the share of a cold target's rate limit that VMs use.
	coldRateShare = 0.9
	// coldSpacingFactor extends the time between two requests, because requests do not arrive at the intervals at which
	// they are sent.
	coldSpacingFactor = 1.15
)

// coldLimiter limits the rate of requests from this VM to cold targets, so that the sum over all VMs stays within the
// targets' limits. The limit of each target is divided among the VMs that hold the units of the target's group.
type coldLimiter struct {
	// held returns how many of the first units of a group this VM holds.
	held func(now model.Instant, group, first int) int

	mu   sync.Mutex
	next map[fleet.Incarnation]model.Instant
	// sends holds the requests that have left; it has a lock of its own.
	sends sendTimes
}

func newColdLimiter(held func(now model.Instant, group, first int) int) *coldLimiter {
	return &coldLimiter{held: held, next: map[fleet.Incarnation]model.Instant{}}
}

// allow reports whether this VM may send a request to a cold target now, and counts the request if consume is true.
// maxRate is the target's limit in requests per second over all VMs.
func (l *coldLimiter) allow(now model.Instant, incarnation fleet.Incarnation, maxRate float64, consume bool) bool {
	perSecond := l.perSecond(now, incarnation, maxRate)
	if perSecond == 0 {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if now < l.next[incarnation] {
		return false
	}
	if consume {
		l.dropExpired(now)
		l.next[incarnation] = now.Add(time.Duration(float64(time.Second) * coldSpacingFactor / float64(perSecond)))
	}
	return true
}

// perSecond returns how many requests per second this VM may send to a target whose limit over all VMs is maxRate.
func (l *coldLimiter) perSecond(now model.Instant, incarnation fleet.Incarnation, maxRate float64) int {
	// A low limit is divided among fewer VMs, so that each may send at least one request.
	usable := int(maxRate * coldRateShare)
	senders := min(shares.UnitsPerGroup, usable)
	if senders < 1 {
		return 0
	}
	return usable / senders * l.held(now, shares.GroupOf(incarnation.ID), senders)
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
