package gateway

import (
	"context"

	"github.com/tarragonpoint/tarragonpoint/internal/fleet"
	"github.com/tarragonpoint/tarragonpoint/internal/logging"
	"github.com/tarragonpoint/tarragonpoint/internal/registry"
)

// maxRechecks bounds the health checks that are begun at a time, every housekeepingInterval.
const maxRechecks = 4

// recheckFailed asks targets for their health that this VM could not reach, if it has had no news of the targets for unconfirmedAge.
// Otherwise the next report of such a target shows that it is back and whether it is cold; without news nothing would, and a
// service whose targets were out of reach for a moment would get no request until the store or a leader responds.
func (g *gateway) recheckFailed(ctx context.Context) {
	config, now := g.state.config.Load(), g.clock.Now()
	if config == nil || g.verified.isCurrent(now) {
		return
	}
	var failed []fleet.Target
	g.state.withRegistry(func(r *registry.Registry) { failed = r.Failed() })
	begun := 0
	for i := range failed {
		path := config.Services[failed[i].Service].HealthPath
		if path == "" {
			continue
		}
		if begun++; begun > maxRechecks {
			return
		}
		go g.recheck(ctx, path, &failed[i])
	}
}

// recheck ends the failure of a target if it passes a health check. It then gets requests again, within the limit for cold
// targets if it is cold.
func (g *gateway) recheck(ctx context.Context, path string, target *fleet.Target) {
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	unlock := g.healthChecks.lock(ctx, target.Address)
	if unlock == nil {
		return
	}
	defer unlock()
	incarnation, began := target.Incarnation(), g.clock.Now()
	health, err := g.targets.Health(ctx, target.Address, path)
	state := classifyHealth(target.ID, health, err)
	g.recordHealth(incarnation, target.Address, state, health)
	if state != healthWarm && state != healthCold {
		g.state.withRegistry(func(r *registry.Registry) { r.RecordFailure(g.clock.Now(), incarnation) })
		return
	}
	g.verified.confirm(incarnation, began)
	ended := false
	g.state.withRegistry(func(r *registry.Registry) { ended = r.EndFailure(incarnation, began) })
	if ended {
		g.log.Part(logging.Registry).Event("target is reachable again", logging.TargetID(incarnation.ID),
			logging.Address(target.Address), logging.State(state.String()))
		g.controller.viewChanged()
	}
}
