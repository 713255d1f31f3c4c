package gateway

import (
	"sync"

	"github.com/tarragonpoint/tarragonpoint/internal/fleet"
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
	// coldSenders is the number of VMs that may send to one cold target at the same time, for want of a shared count.
	coldSenders = 12
	// coldSecond is the window in which a cold target's requests are counted.
	coldSecond = 1e9
)

// coldGate bounds what this VM sends to cold targets, so that the sum over all VMs stays within what they bear.
type coldGate struct {
	mu   sync.Mutex
	next map[fleet.Life]model.Instant
}

func newColdGate() *coldGate { return &coldGate{next: map[fleet.Life]model.Instant{}} }

// allow reports whether a request may be sent to a cold target now. rate is what the target bears a second and burst
// what it bears beside, both over all VMs.
func (g *coldGate) allow(now model.Instant, life fleet.Life, rate, burst float64) bool {
	share := (rate + burst) / coldSenders
	if share <= 0 {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if now < g.next[life] {
		return false
	}
	g.next[life] = now + model.Instant(coldSecond/min(1, share))
	return true
}
