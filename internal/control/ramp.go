package control

import (
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/balance"
	"github.com/tarragonpoint/tarragonpoint/internal/config"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

// startupWindow is the age of this process up to which an incarnation that it sees for the first time may have started
// earlier. During that time the target's own report decides whether it is cold.
const startupWindow = 10 * time.Second

// ramp tracks the cold start of one target.
type ramp struct {
	incarnation model.Incarnation
	cold        bool
	coldSince   model.Instant
	// reported is true if the target's last response reported a cold start.
	reported bool
}

// observe processes a response of the target. known is the last status of the target from any lessor.
func (r *ramp) observe(now model.Instant, state *targetState, service config.Service, known *knownStatus, cold bool) {
	incarnation, _ := state.keeper.Incarnation()
	if incarnation != r.incarnation {
		first := r.incarnation == 0
		r.incarnation = incarnation
		r.startCold(now, cold || r.isNew(now, first, incarnation, known))
	}
	if cold && !r.reported {
		// The target became cold, possibly during an earlier cold start: restart the ramp.
		r.cold = true
		r.coldSince = now
	}
	r.reported = cold
	if r.cold && !cold && now.Sub(r.coldSince) >= service.ColdStart {
		r.cold = false
	}
}

// isNew reports whether an incarnation that this process has not seen before has just started.
func (r *ramp) isNew(now model.Instant, first bool, incarnation model.Incarnation, known *knownStatus) bool {
	if known != nil && known.status.Incarnation == incarnation {
		return known.status.Cold
	}
	return !first || known != nil || now >= model.Instant(startupWindow)
}

func (r *ramp) startCold(now model.Instant, cold bool) {
	if cold && !r.cold {
		r.coldSince = now
	}
	r.cold = cold
}

// limit returns the number of concurrent requests that the target can handle now: a linear ramp from ColdInitial to
// Concurrency over ColdStart.
func (r *ramp) limit(now model.Instant, service config.Service) int {
	if !r.cold || service.ColdStart <= 0 {
		return service.Concurrency
	}
	return balance.Limit(r.coldSince, now, balance.Ramp{
		Initial:     service.ColdInitial,
		Concurrency: service.Concurrency,
		Duration:    service.ColdStart,
	})
}
