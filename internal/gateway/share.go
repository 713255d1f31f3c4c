package gateway

import (
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tarragonpoint/tarragonpoint/internal/fleet"
	"github.com/tarragonpoint/tarragonpoint/internal/hub"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

// splitter divides the requests of a route among its services by smooth weighted round robin, which keeps the shares
// within one request of the weights.
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
	// coldSenders is the number of VMs that send to one cold target at a time. More than one keeps it warming up while a
	// VM is lost.
	sendersPerColdTarget = 3
	// coldCaution is the part of what a cold target bears in a second that VMs use.
	coldRateShare = 0.9
	// coldSpacing stretches the time between two requests, as requests do not arrive in the pace in which they are sent.
	coldSpacingFactor = 1.15
)

// coldGate bounds what this VM sends to cold targets, so that the sum over all VMs stays within what they bear. A few
// VMs, chosen by their rank, send to each cold target.
type coldLimiter struct {
	mu   sync.Mutex
	next map[fleet.Incarnation]model.Instant
}

func newColdLimiter() *coldLimiter { return &coldLimiter{next: map[fleet.Incarnation]model.Instant{}} }

// allow reports whether this VM may send a request to a cold target now, and counts the request if take is true. bound
// is the number of requests that the target bears in a second. place is nil for a VM that does not know its rank; it
// sends nothing.
func (g *coldLimiter) allow(now model.Instant, life fleet.Incarnation, maxRate float64, place *hub.Position, consume bool) bool {
	senders := min(sendersPerColdTarget, math.Floor(maxRate*coldRateShare))
	if place == nil || place.VMs == 0 || senders < 1 {
		return false
	}
	offset := (uint64(place.Rank) + xxhash.Sum64String(string(life.ID))) % uint64(place.VMs)
	if float64(offset) >= senders {
		return false
	}
	perSender := math.Floor(maxRate * coldRateShare / senders)
	g.mu.Lock()
	defer g.mu.Unlock()
	if now < g.next[life] {
		return false
	}
	if consume {
		g.dropExpired(now)
		g.next[life] = now.Add(time.Duration(float64(time.Second) * coldSpacingFactor / perSender))
	}
	return true
}

// forget drops targets whose next request is allowed anyway. The mutex is held.
func (g *coldLimiter) dropExpired(now model.Instant) {
	for life, next := range g.next {
		if now >= next {
			delete(g.next, life)
		}
	}
}

const (
	// returnedShare is the part of a route's usual deadline below which a request counts as one that was refused before.
	retryDeadlineShare = 0.97
	// maxDeadlines bounds the routes whose usual deadline is known.
	maxTrackedRoutes = 1024
)

// deadlines knows the longest deadline that callers of each route state. A caller that comes back states what is left.
type deadlineTracker struct {
	mu      sync.Mutex
	longest map[string]time.Duration
}

func newDeadlineTracker() *deadlineTracker {
	return &deadlineTracker{longest: map[string]time.Duration{}}
}

// elapsed returns how long ago the caller of a request made its first attempt, 0 if this seems to be the first.
func (d *deadlineTracker) elapsed(route string, deadline time.Duration) time.Duration {
	if deadline <= 0 {
		return 0
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, known := d.longest[route]; !known && len(d.longest) >= maxTrackedRoutes {
		// Routes come and go with configurations; those in use are learned again.
		clear(d.longest)
	}
	d.longest[route] = max(d.longest[route], deadline)
	if float64(deadline) >= float64(d.longest[route])*retryDeadlineShare {
		return 0
	}
	return d.longest[route] - deadline
}
