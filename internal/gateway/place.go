package gateway

import (
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/fleet"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/overload"
	"github.com/tarragonpoint/tarragonpoint/internal/picker"
	"github.com/tarragonpoint/tarragonpoint/internal/registry"
	"github.com/tarragonpoint/tarragonpoint/internal/result"
)

type placeVerdict uint8

const (
	placeSend placeVerdict = iota
	placeWait
	placeRefused
)

// placement says what to do with a request now.
type placement struct {
	verdict  placeVerdict
	target   fleet.Target
	age      time.Duration
	estimate picker.Estimate
	wait     time.Duration
	reply    reply
}

const (
	// notReadyRetry is when callers come back to a VM that has no configuration yet.
	notReadyRetry = 500 * time.Millisecond
	// moveRetry is when callers come back whose keys have no owner.
	moveRetry = 500 * time.Millisecond
	// loadedRetry is when callers come back whose service has no room.
	loadedRetry = 300 * time.Millisecond
	// coldWait is how long a request waits whose cold target was taken by another one in the same moment.
	coldWait = 5 * time.Millisecond
	// misplacedWait is how long a request waits whose owner does not hold its key yet.
	misplacedWait = 80 * time.Millisecond
	// waitStep is how long a request waits for a change before it is judged again.
	waitStep = 100 * time.Millisecond
)

// choose chooses the target of a request.
func (g *gateway) choose(j *job) placement {
	now := g.clock.Now()
	config := g.state.config.Load()
	if config.Services[j.service].Keyed {
		return g.placeKeyed(now, j)
	}
	return g.placeFree(now, j, config.Services[j.service])
}

func (g *gateway) pickerRequest(j *job) picker.Request {
	return picker.Request{Route: j.route.Name, Zone: model.Zone(g.settings.Zone), Region: model.Region(g.settings.Region)}
}

// placeFree chooses among all targets of a service without keys. Cold targets take part as far as they bear it.
func (g *gateway) placeFree(now model.Instant, j *job, service fleet.Service) placement {
	entries := g.state.service(now, j.service)
	targets := g.eligible(now, j, service, entries, true)
	if len(targets) == 0 {
		targets = g.eligible(now, j, service, entries, false)
	}
	choice, found := g.picker.Choose(now, g.pickerRequest(j), targets)
	if !found {
		return placement{verdict: placeRefused, reply: refuse(result.NoTarget, "no target may serve the route", loadedRetry)}
	}
	if decision := g.decide(now, j, choice.Estimate.Total); !decision.Send {
		return overloaded(decision, choice.Estimate)
	}
	target := targets[choice.Index]
	if now < target.ColdUntil && !g.allowCold(now, service, target.Incarnation(), true) {
		return placement{verdict: placeWait, wait: coldWait}
	}
	return placement{verdict: placeSend, target: target, estimate: choice.Estimate}
}

func (g *gateway) allowCold(now model.Instant, service fleet.Service, life fleet.Incarnation, take bool) bool {
	bound := service.ColdRate*g.settings.ColdFactor + g.settings.ColdBurst
	return g.cold.allow(now, life, bound, g.place.Load(), take)
}

// eligible returns the targets that may take the request now. With fresh, targets that had an attempt are left out.
func (g *gateway) eligible(now model.Instant, j *job, service fleet.Service, entries []registry.Entry, fresh bool) []fleet.Target {
	var targets []fleet.Target
	for i := range entries {
		target := &entries[i].Target
		if entries[i].State == registry.Unavailable || !j.route.AllowsRegion(target.Region) {
			continue
		}
		if fresh && j.wasTried(target.Incarnation()) {
			continue
		}
		if entries[i].State == registry.Cold && !g.allowCold(now, service, target.Incarnation(), false) {
			continue
		}
		targets = append(targets, *target)
	}
	return targets
}

// decide says whether a request is worth sending to a target that is expected to answer after a time.
func (g *gateway) decide(now model.Instant, j *job, expected time.Duration) overload.Decision {
	before := g.deadlines.elapsed(j.route.Name, j.meta.Deadline)
	return overload.Decide(overload.Request{
		Elapsed: before + now.Sub(j.arrived), Left: j.left(now), LatencyTarget: j.route.LatencyTarget,
		PreviouslyRejected: before > 0 || j.sends > 0, Urgent: g.isUrgent(j),
	}, expected)
}

// isUrgent reports whether other routes of the service are less urgent.
func (g *gateway) isUrgent(j *job) bool {
	return j.route.Priority < g.state.config.Load().LeastUrgent(j.service)
}

func overloaded(decision overload.Decision, estimate picker.Estimate) placement {
	refused := refuse(result.Overloaded, decision.Reason, decision.RetryAfter)
	refused.estimate = &estimate
	return placement{verdict: placeRefused, reply: refused}
}

func (j *job) wasTried(life fleet.Incarnation) bool {
	for _, tried := range j.tried {
		if tried == life {
			return true
		}
	}
	return false
}

// placeKeyed finds the owner of a request's key.
func (g *gateway) placeKeyed(now model.Instant, j *job) placement {
	table := g.state.table.Load()
	if table == nil {
		return placement{verdict: placeRefused, reply: refuse(result.NotReady, "no assignment of keys yet", notReadyRetry)}
	}
	r := table.Find(j.service, j.meta.Key)
	if r == nil || !r.Ready {
		return g.placeOwnerless(now, j, "keys are being moved")
	}
	entry, found := g.state.lookup(now, r.Owner.Incarnation.ID)
	if !found || entry.Leaving || entry.Target.Incarnation() != r.Owner.Incarnation {
		return g.placeOwnerless(now, j, "owner is leaving or gone")
	}
	if !j.route.AllowsRegion(entry.Target.Region) {
		return placement{verdict: placeRefused, reply: refuse(result.NoTarget, "owner is outside of the home regions", moveRetry)}
	}
	if entry.State == registry.Unavailable {
		return g.placeOwnerless(now, j, "owner cannot be reached")
	}
	service := g.state.config.Load().Services[j.service]
	if entry.State == registry.Cold && !g.allowCold(now, service, r.Owner.Incarnation, true) {
		return g.placeOwnerless(now, j, "owner is cold")
	}
	estimate := g.picker.Estimate(now, g.pickerRequest(j), &entry.Target)
	if decision := g.decide(now, j, estimate.Total); !decision.Send {
		return overloaded(decision, estimate)
	}
	return placement{verdict: placeSend, target: entry.Target, age: entry.Age, estimate: estimate}
}

// placeOwnerless lets a request wait for its key's next owner while that can come in time.
func (g *gateway) placeOwnerless(now model.Instant, j *job, reason string) placement {
	left := j.left(now)
	if left < g.picker.Work(j.route.Name) || g.draining.Load() {
		return placement{verdict: placeRefused, reply: refuse(result.OwnerUnavailable, reason, moveRetry)}
	}
	return placement{verdict: placeWait, wait: min(waitStep, left)}
}
