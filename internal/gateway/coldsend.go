package gateway

import (
	"sync"
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/fleet"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

const (
	// coldSendPeriod is the period for which the limit of a cold target is stated.
	coldSendPeriod = time.Second
	// coldSendMargin extends coldSendPeriod, because the first byte of a request leaves some time after the check. It is a
	// third of what coldSpacingFactor adds to a period, so that requests at their usual distance pass although some of them
	// wait longer for their connection than others.
	coldSendMargin = 50 * time.Millisecond
)

// sendTimes holds when requests were sent to cold targets during the last coldSendPeriod and coldSendMargin, oldest first. The
// zero value is empty. It is safe for concurrent use.
type sendTimes struct {
	mu     sync.Mutex
	recent map[fleet.Incarnation][]model.Instant
}

// maySend reports whether a request may be sent to a cold target now. perSecond is the number of requests that this VM may
// send to the target in any second. Unlike allow, it counts requests when they are sent, not when they are placed: requests
// that were placed one by one may leave together after they have waited for a connection.
func (l *coldLimiter) maySend(now model.Instant, incarnation fleet.Incarnation, perSecond int) bool {
	l.sends.mu.Lock()
	defer l.sends.mu.Unlock()
	return len(unexpired(now, l.sends.recent[incarnation])) < perSecond
}

// send records that a request is sent to a cold target now. It returns false if the request may not be sent; see maySend.
func (l *coldLimiter) send(now model.Instant, incarnation fleet.Incarnation, perSecond int) bool {
	l.sends.mu.Lock()
	defer l.sends.mu.Unlock()
	recent := unexpired(now, l.sends.recent[incarnation])
	if len(recent) >= perSecond {
		return false
	}
	l.sends.dropExpired(now)
	l.sends.recent[incarnation] = append(recent, now)
	return true
}

// dropExpired removes targets to which nothing was sent lately. The caller must hold the mutex.
func (s *sendTimes) dropExpired(now model.Instant) {
	if s.recent == nil {
		s.recent = map[fleet.Incarnation][]model.Instant{}
	}
	for incarnation, times := range s.recent {
		if len(unexpired(now, times)) == 0 {
			delete(s.recent, incarnation)
		}
	}
}

// unexpired returns the times that still count.
func unexpired(now model.Instant, times []model.Instant) []model.Instant {
	for len(times) > 0 && now.Sub(times[0]) >= coldSendPeriod+coldSendMargin {
		times = times[1:]
	}
	return times
}

// coldSends returns the number of requests that this VM may send in any second to a cold target of a service.
func (g *gateway) coldSends(now model.Instant, service fleet.Service, incarnation fleet.Incarnation) int {
	return g.cold.perSecond(now, incarnation, g.coldMaxRate(service))
}

// coldMaxRate returns the limit of a cold target of a service in requests per second over all VMs.
func (g *gateway) coldMaxRate(service fleet.Service) float64 {
	return service.ColdRate*g.settings.ColdFactor + g.settings.ColdBurst
}
