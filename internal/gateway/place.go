package gateway

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/fleet"
	"github.com/tarragonpoint/tarragonpoint/internal/keyspace"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/overload"
	"github.com/tarragonpoint/tarragonpoint/internal/picker"
	"github.com/tarragonpoint/tarragonpoint/internal/registry"
	"github.com/tarragonpoint/tarragonpoint/internal/result"
	"github.com/tarragonpoint/tarragonpoint/internal/subset"
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
	// isOwner is true if the target is the only one that may serve the request, as the owner of its key.
	isOwner bool
	// coldAllowed is true if the target is cold and the request counts towards its limit.
	coldAllowed bool
	// age is the time since the target's last report was read; set for keyed services only.
	age      time.Duration
	estimate picker.Estimate
	// wait is the longest time to wait before a target is chosen again.
	wait     time.Duration
	response callerResponse
}

const (
	// maxPlacementAge is the age from which a target is chosen again for a request that waited for its tenant's quota.
	maxPlacementAge = 10 * time.Millisecond
	// notReadyRetryAfter is the retry delay sent to callers while this VM has no configuration or assignment yet.
	notReadyRetryAfter = 500 * time.Millisecond
	// ownerRetryAfter is the retry delay sent to callers whose key has an owner that may not serve them.
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
	return picker.Request{
		Route: j.route.Name, Zone: model.Zone(g.settings.Zone), Region: model.Region(g.settings.Region),
		IsConnected: g.targets.Pool().HasIdle,
	}
}

// placeUnkeyed chooses among all targets of a service without keys. Cold targets are included up to their rate limit.
func (g *gateway) placeUnkeyed(now model.Instant, j *job, service fleet.Service) placement {
	entries := g.state.service(now, j.service)
	targets := g.eligible(now, j, service, entries, true)
	if len(targets) == 0 {
		targets = g.eligible(now, j, service, entries, false)
	}
	targets, choice, found := g.chooseAmong(now, j, targets)
	if !found {
		if pause := shortestPause(j, entries); pause > 0 {
			return g.waitForPause(now, j, pause)
		}
		return placement{
			action: actionReject, response: reject(result.NoTarget, "no target may serve the route", overloadRetryAfter),
		}
	}
	if decision := g.decideOverload(now, j, choice.Estimate.Total); !decision.Send {
		trial, ok := g.chooseTrial(now, j, targets)
		if !ok {
			return rejectOverloaded(decision, choice.Estimate)
		}
		choice = trial
	}
	target := *targets[choice.Index]
	isCold := now < target.ColdUntil
	if isCold && !g.allowCold(now, service, target.Incarnation(), true) {
		return placement{action: actionWait, wait: coldRecheckDelay}
	}
	return placement{action: actionSend, target: target, coldAllowed: isCold, estimate: choice.Estimate}
}

// chooseAmong chooses a target from this VM's subset of the given ones, and from all of them if no target of the subset has
// a free slot. It returns the list to which the choice refers, and false if there is no target.
func (g *gateway) chooseAmong(now model.Instant, j *job, targets []*fleet.Target) ([]*fleet.Target, picker.Choice, bool) {
	request := g.pickerRequest(j)
	size := g.subsetSize(now, j)
	chosen := withCold(now, subset.Of(g.settings.VM, request.Region, targets, size), targets)
	choice, found := g.picker.Choose(now, request, chosen)
	if !found || len(chosen) == len(targets) || choice.Estimate.HasFreeSlot(chosen[choice.Index].Slots) {
		return chosen, choice, found
	}
	choice, found = g.picker.Choose(now, request, targets)
	return targets, choice, found
}

// withCold adds the cold targets to a subset. Only a few VMs send to a cold target, so it would warm up late if it had to be
// in their subsets.
func withCold(now model.Instant, chosen, targets []*fleet.Target) []*fleet.Target {
	for _, target := range targets {
		if now < target.ColdUntil && !slices.Contains(chosen, target) {
			chosen = append(chosen, target)
		}
	}
	return chosen
}

// subsetSize returns the number of targets of a service that this VM uses while they have free slots.
func (g *gateway) subsetSize(now model.Instant, j *job) int {
	return subset.Size(g.budget(j.service).Rate(now))
}

// shortestPause returns the time until the first of the paused targets that may serve a request gets requests again; 0 if
// none is paused.
func shortestPause(j *job, entries []registry.Entry) time.Duration {
	shortest := time.Duration(0)
	for i := range entries {
		pause := entries[i].PauseLeft
		if pause > 0 && j.allowsRegion(entries[i].Target.Region) && (shortest == 0 || pause < shortest) {
			shortest = pause
		}
	}
	return shortest
}

// waitForPause makes a request wait until its targets want requests again, if there is time to run it then, and rejects it
// at once otherwise or if this VM is draining. The rejection tells the caller when the pause ends.
func (g *gateway) waitForPause(now model.Instant, j *job, pause time.Duration) placement {
	response := pause + g.picker.Work(now, j.route.Name)
	if float64(response) > float64(j.timeLeft(now))*overload.DeadlineFactor || g.draining.Load() {
		return placement{action: actionReject, response: reject(result.Overloaded, "targets asked for a pause", pause)}
	}
	return placement{action: actionWait, wait: pause}
}

// allowCold reports whether a request may be placed at a cold target of a service, and counts it if consume is true.
func (g *gateway) allowCold(
	now model.Instant, service fleet.Service, incarnation fleet.Incarnation, consume bool,
) bool {
	return g.cold.maySend(now, incarnation, g.coldSends(now, service, incarnation)) &&
		g.cold.allow(now, incarnation, g.coldMaxRate(service), consume)
}

// eligible returns the targets that may receive the request now. With skipTried, targets that already had an attempt
// are left out.
func (g *gateway) eligible(
	now model.Instant, j *job, service fleet.Service, entries []registry.Entry, skipTried bool,
) []*fleet.Target {
	targets := make([]*fleet.Target, 0, len(entries))
	for i := range entries {
		target := &entries[i].Target
		if entries[i].State == registry.Unavailable || entries[i].State == registry.Paused || !j.allowsRegion(target.Region) {
			continue
		}
		if skipTried && j.wasTried(target.Incarnation()) {
			continue
		}
		if entries[i].State == registry.Cold && !g.allowCold(now, service, target.Incarnation(), false) {
			continue
		}
		targets = append(targets, target)
	}
	return targets
}

// decideOverload decides whether to send a request whose response is expected after the given time.
func (g *gateway) decideOverload(now model.Instant, j *job, expected time.Duration) overload.Decision {
	before := g.deadlines.elapsed(j.route.Name, j.callerHeaders.Timeout)
	return overload.Decide(overload.Request{
		Elapsed: g.elapsed(now, j), TimeLeft: j.timeLeft(now), LatencyTarget: j.route.LatencyTarget, Work: g.picker.Work(now, j.route.Name),
		PreviouslyRejected: before > 0 || j.sends > 0, Urgent: g.isUrgent(j),
	}, expected)
}

// chooseTrial chooses a target for the first attempt of a request that is rejected because of its estimates otherwise. The request has
// to have the time in which its route usually responds.
func (g *gateway) chooseTrial(now model.Instant, j *job, targets []*fleet.Target) (picker.Choice, bool) {
	if j.sends > 0 || j.timeLeft(now) < j.route.LatencyTarget {
		return picker.Choice{}, false
	}
	choice, ok := g.picker.Trial(now, g.pickerRequest(j), targets)
	if ok {
		g.metrics.trial(string(j.service))
	}
	return choice, ok
}

// elapsed returns the time since the first attempt of the request's caller, as far as known.
func (g *gateway) elapsed(now model.Instant, j *job) time.Duration {
	return g.deadlines.elapsed(j.route.Name, j.callerHeaders.Timeout) + now.Sub(j.arrived)
}

// isUrgent reports whether the service gets requests that are less urgent than this one.
func (g *gateway) isUrgent(j *job) bool {
	return j.priority() < g.state.config.Load().LeastUrgent(j.service)
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
	if wait, ok := g.holds.check(now, r); !ok {
		return g.waitForOwner(now, j, wait)
	}
	entry, found := g.state.lookup(now, r.Owner.Incarnation.ID)
	if !found || entry.Leaving || entry.Target.Incarnation() != r.Owner.Incarnation {
		return g.waitForOwner(now, j, ownerWait{reason: waitLeaving, expected: g.holds.usualMove()})
	}
	if !j.allowsRegion(entry.Target.Region) {
		return placement{
			action: actionReject, response: reject(result.NoTarget, "owner is outside the home regions", ownerRetryAfter),
		}
	}
	if entry.State == registry.Unavailable {
		return g.waitForOwner(now, j, ownerWait{reason: waitUnreachable, expected: typicalMove})
	}
	if entry.State == registry.Paused {
		return g.waitForPause(now, j, entry.PauseLeft)
	}
	service := g.state.config.Load().Services[j.service]
	isCold := entry.State == registry.Cold
	if isCold && !g.allowCold(now, service, r.Owner.Incarnation, true) {
		return g.waitForOwner(now, j, ownerWait{reason: waitCold, expected: ownerRecheckDelay})
	}
	// Requests that waited for the owner leave together, before any of them has a response. Only the estimate bounds them.
	if !j.waitedForOwner && !g.throttle.Allow(now, r.Owner.Incarnation, g.isUrgent(j), rand.Float64()) {
		return g.rejectThrottled(now, j)
	}
	estimate := g.picker.Estimate(now, g.pickerRequest(j), &entry.Target)
	if decision := g.decideOverload(now, j, estimate.Total); !decision.Send {
		trial, ok := g.chooseTrial(now, j, []*fleet.Target{&entry.Target})
		if !ok {
			g.countRejectedWork(now, j.route.Name, j.service, j.callerHeaders.Key)
			return rejectOverloaded(decision, estimate)
		}
		estimate = trial.Estimate
	}
	return g.sendToOwner(now, j, r, placement{
		action: actionSend, target: entry.Target, isOwner: true, coldAllowed: isCold, age: entry.Age, estimate: estimate,
	})
}

// sendToOwner returns the placement of a request at the owner of its key, unless another request has begun to find out whether
// the owner holds its keys since they were checked.
func (g *gateway) sendToOwner(now model.Instant, j *job, r *keyspace.Range, chosen placement) placement {
	if wait, ok := g.holds.begin(now, r); !ok {
		return g.waitForOwner(now, j, wait)
	}
	return chosen
}

// rejectThrottled rejects a request whose owner rejects most requests. The callers return at random times, spread over as
// long as they are ready to wait: part of the keys may have another owner by then.
func (g *gateway) rejectThrottled(now model.Instant, j *job) placement {
	g.countRejectedWork(now, j.route.Name, j.service, j.callerHeaders.Key)
	return placement{
		action:   actionReject,
		response: reject(result.Overloaded, "owner rejects most requests", overload.SpreadRetryAfter(j.timeLeft(now), rand.Float64())),
	}
}

// countRejectedWork adds the work of a request that was rejected because the owner of its key is overloaded to the key's
// load. Otherwise the load of a hot spot would seem to be what its owner can serve, and too few of its keys would move.
func (g *gateway) countRejectedWork(now model.Instant, route string, service model.Service, key int) {
	g.work.add(service, key, min(g.picker.Work(now, route), maxKeyWork))
}

// waitForOwner makes a request wait for the owner of its key while there may be time to run it after the wait. It rejects the
// request at once otherwise or if this VM is draining, with the expected wait as Retry-After.
func (g *gateway) waitForOwner(now model.Instant, j *job, wait ownerWait) placement {
	timeLeft := j.timeLeft(now)
	if timeLeft < wait.least+g.picker.Work(now, j.route.Name) || g.draining.Load() {
		g.metrics.ownerWait("rejected", wait.reason)
		return placement{action: actionReject, response: reject(result.OwnerUnavailable, wait.reason, wait.expected)}
	}
	if !j.waitedForOwner {
		j.waitedForOwner = true
		g.metrics.ownerWait("waited", wait.reason)
	}
	return placement{action: actionWait, wait: min(ownerRecheckDelay, timeLeft)}
}
