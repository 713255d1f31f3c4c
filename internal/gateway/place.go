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

type placementAction uint8

const (
	actionSend placementAction = iota
	actionWait
	actionReject
)

// placement is the decision on a request: send it to a target, wait, or reject it.
type placement struct {
	action placementAction
	target fleet.Target
	// age is the time since the target's last report was read; set for keyed services only.
	age      time.Duration
	estimate picker.Estimate
	// wait is the longest time to wait before a target is chosen again.
	wait     time.Duration
	response callerResponse
}

const (
	// notReadyRetryAfter is the retry delay sent to callers while this VM has no configuration or assignment yet.
	notReadyRetryAfter = 500 * time.Millisecond
	// ownerRetryAfter is the retry delay sent to callers whose key has no usable owner.
	ownerRetryAfter = 500 * time.Millisecond
	// overloadRetryAfter is the retry delay sent to callers whose service has no capacity.
	overloadRetryAfter = 300 * time.Millisecond
	// coldRecheckDelay is how long a request waits if a concurrent request used up the rate of its cold target.
	coldRecheckDelay = 5 * time.Millisecond
	// ownerGrantWait is how long a request waits if the owner does not hold its key yet.
	ownerGrantWait = 80 * time.Millisecond
	// ownerRecheckDelay is how long a request without an owner waits for a change before it is checked again.
	ownerRecheckDelay = 100 * time.Millisecond
)

// chooseTarget decides to which target a request is sent, if any.
func (g *gateway) chooseTarget(j *job) placement {
	now := g.clock.Now()
	config := g.state.config.Load()
	if config.Services[j.service].Keyed {
		return g.placeKeyed(now, j)
	}
	return g.placeUnkeyed(now, j, config.Services[j.service])
}

func (g *gateway) pickerRequest(j *job) picker.Request {
	return picker.Request{Route: j.route.Name, Zone: model.Zone(g.settings.Zone), Region: model.Region(g.settings.Region)}
}

// placeUnkeyed chooses among all targets of a service without keys. Cold targets are included up to their rate limit.
func (g *gateway) placeUnkeyed(now model.Instant, j *job, service fleet.Service) placement {
	entries := g.state.service(now, j.service)
	targets := g.eligible(now, j, service, entries, true)
	if len(targets) == 0 {
		targets = g.eligible(now, j, service, entries, false)
	}
	choice, found := g.picker.Choose(now, g.pickerRequest(j), targets)
	if !found {
		if pause := shortestPause(j, entries); pause > 0 {
			return g.waitForPause(now, j, pause)
		}
		return placement{
			action: actionReject, response: reject(result.NoTarget, "no target may serve the route", overloadRetryAfter),
		}
	}
	if decision := g.decideOverload(now, j, choice.Estimate.Total); !decision.Send {
		return rejectOverloaded(decision, choice.Estimate)
	}
	target := targets[choice.Index]
	if now < target.ColdUntil && !g.allowCold(now, service, target.Incarnation(), true) {
		return placement{action: actionWait, wait: coldRecheckDelay}
	}
	return placement{action: actionSend, target: target, estimate: choice.Estimate}
}

// shortestPause returns the time until the first of the paused targets that may serve a request gets requests again; 0 if
// none is paused.
func shortestPause(j *job, entries []registry.Entry) time.Duration {
	shortest := time.Duration(0)
	for i := range entries {
		pause := entries[i].PauseLeft
		if pause > 0 && j.route.AllowsRegion(entries[i].Target.Region) && (shortest == 0 || pause < shortest) {
			shortest = pause
		}
	}
	return shortest
}

// waitForPause makes a request wait until its targets want requests again, if there is time to run it then, and rejects it
// at once otherwise or if this VM is draining. The rejection tells the caller when the pause ends.
func (g *gateway) waitForPause(now model.Instant, j *job, pause time.Duration) placement {
	if pause+g.picker.Work(j.route.Name) > j.timeLeft(now) || g.draining.Load() {
		return placement{action: actionReject, response: reject(result.Overloaded, "targets asked for a pause", pause)}
	}
	return placement{action: actionWait, wait: pause}
}

func (g *gateway) allowCold(
	now model.Instant, service fleet.Service, incarnation fleet.Incarnation, consume bool,
) bool {
	maxRate := service.ColdRate*g.settings.ColdFactor + g.settings.ColdBurst
	return g.cold.allow(now, incarnation, maxRate, g.position.Load(), consume)
}

// eligible returns the targets that may receive the request now. With skipTried, targets that already had an attempt
// are left out.
func (g *gateway) eligible(
	now model.Instant, j *job, service fleet.Service, entries []registry.Entry, skipTried bool,
) []fleet.Target {
	var targets []fleet.Target
	for i := range entries {
		target := &entries[i].Target
		if entries[i].State == registry.Unavailable || entries[i].State == registry.Paused || !j.route.AllowsRegion(target.Region) {
			continue
		}
		if skipTried && j.wasTried(target.Incarnation()) {
			continue
		}
		if entries[i].State == registry.Cold && !g.allowCold(now, service, target.Incarnation(), false) {
			continue
		}
		targets = append(targets, *target)
	}
	return targets
}

// decideOverload decides whether to send a request whose response is expected after the given time.
func (g *gateway) decideOverload(now model.Instant, j *job, expected time.Duration) overload.Decision {
	before := g.deadlines.elapsed(j.route.Name, j.callerHeaders.Timeout)
	return overload.Decide(overload.Request{
		Elapsed: before + now.Sub(j.arrived), TimeLeft: j.timeLeft(now), LatencyTarget: j.route.LatencyTarget,
		PreviouslyRejected: before > 0 || j.sends > 0, Urgent: g.isUrgent(j),
	}, expected)
}

// isUrgent reports whether the service has routes that are less urgent than the request's.
func (g *gateway) isUrgent(j *job) bool {
	return j.route.Priority < g.state.config.Load().LeastUrgent(j.service)
}

func rejectOverloaded(decision overload.Decision, estimate picker.Estimate) placement {
	rejected := reject(result.Overloaded, decision.Reason, decision.RetryAfter)
	rejected.estimate = &estimate
	return placement{action: actionReject, response: rejected}
}

func (j *job) wasTried(incarnation fleet.Incarnation) bool {
	for _, tried := range j.tried {
		if tried == incarnation {
			return true
		}
	}
	return false
}

// placeKeyed finds the owner of a request's key.
func (g *gateway) placeKeyed(now model.Instant, j *job) placement {
	table := g.state.table.Load()
	if table == nil {
		return placement{action: actionReject, response: reject(result.NotReady, "no key assignment yet", notReadyRetryAfter)}
	}
	r := table.Find(j.service, j.callerHeaders.Key)
	if r == nil || !r.Ready {
		return g.waitForOwner(now, j, "keys are being moved")
	}
	entry, found := g.state.lookup(now, r.Owner.Incarnation.ID)
	if !found || entry.Leaving || entry.Target.Incarnation() != r.Owner.Incarnation {
		return g.waitForOwner(now, j, "owner is leaving or was removed")
	}
	if !j.route.AllowsRegion(entry.Target.Region) {
		return placement{
			action: actionReject, response: reject(result.NoTarget, "owner is outside the home regions", ownerRetryAfter),
		}
	}
	if entry.State == registry.Unavailable {
		return g.waitForOwner(now, j, "owner is unreachable")
	}
	if entry.State == registry.Paused {
		return g.waitForPause(now, j, entry.PauseLeft)
	}
	service := g.state.config.Load().Services[j.service]
	if entry.State == registry.Cold && !g.allowCold(now, service, r.Owner.Incarnation, true) {
		return g.waitForOwner(now, j, "owner is cold")
	}
	estimate := g.picker.Estimate(now, g.pickerRequest(j), &entry.Target)
	if decision := g.decideOverload(now, j, estimate.Total); !decision.Send {
		return rejectOverloaded(decision, estimate)
	}
	return placement{action: actionSend, target: entry.Target, age: entry.Age, estimate: estimate}
}

// waitForOwner makes a request wait for the next owner of its key while there is time to run it, and rejects it
// otherwise or if this VM is draining.
func (g *gateway) waitForOwner(now model.Instant, j *job, reason string) placement {
	timeLeft := j.timeLeft(now)
	if timeLeft < g.picker.Work(j.route.Name) || g.draining.Load() {
		return placement{action: actionReject, response: reject(result.OwnerUnavailable, reason, ownerRetryAfter)}
	}
	return placement{action: actionWait, wait: min(ownerRecheckDelay, timeLeft)}
}
