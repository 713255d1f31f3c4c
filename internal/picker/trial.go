package picker

import (
	"slices"
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/fleet"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

const (
	// trialAge is the age of the last response to a route from which the estimate of its work time rests on nothing recent, and that of
	// a target's last load report from which it says nothing.
	trialAge = 500 * time.Millisecond
	// staleAge is the age of a target's last response or load report from which it is tried although others respond to the route. It
	// is longer, because their responses show that the service is loaded.
	staleAge = 5 * time.Second
	// minTrialInterval is the shortest time between two trials of a route, and maxTrialInterval the longest, after trials without a
	// response. At hundreds of VMs the trials of an overloaded service stay well below its capacity.
	minTrialInterval = 500 * time.Millisecond
	maxTrialInterval = 4 * time.Second
	// trialWeight is the weight of the response to a trial, in observations. With less, initialWork would still count after it.
	trialWeight = 3.0
)

// trialKey identifies what a trial corrects: the work time of a route at the targets of a service.
type trialKey struct {
	route   string
	service model.Service
}

// trialState is the state of the trials of a route at one service.
type trialState struct {
	// inFlight is the trial whose outcome is not known yet; nil if there is none.
	inFlight *Ticket
	// heardAt is when the last response or load report in reply to a request of the route arrived; 0 if there was none.
	heardAt model.Instant
	// next is when the next trial may begin.
	next model.Instant
	// interval is the time between two trials, from the begin of one without a response to the next.
	interval time.Duration
}

// Trial chooses a target for a request that would be rejected because of its estimates, and returns false if the request is to be
// rejected.
//
// It answers the end of a disturbance that made a whole service slow: only responses correct the estimates, and requests that are
// rejected get none, so that idle targets would be taken for slow ones until the estimates have faded. One request of a route at a
// time is therefore sent, if no other one is in flight that will tell, to the target that this VM has heard of least recently among those
// with a free slot or without a recent load report. The response to it replaces the earlier observations. Responses to other routes
// say nothing of the work of this one. While targets respond to the route, its estimate is current, and nothing is tried but targets that
// have been left out for a while.
func (p *Picker) Trial(now model.Instant, request Request, targets []*fleet.Target) (Choice, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(targets) == 0 {
		return Choice{}, false
	}
	trial := p.trial(request.Route, targets[0].Service)
	best, oldest, isCurrent := -1, time.Duration(0), now.Sub(trial.heardAt) < trialAge
	for i, target := range targets {
		s := p.stats(now, target)
		if s.hasInFlight(request.Route) {
			isCurrent = true
			continue
		}
		if age := now.Sub(s.heardAt); (best < 0 || age > oldest) && p.mayTry(now, request, target, s) {
			best, oldest = i, age
		}
	}
	if best < 0 || isCurrent && oldest < staleAge {
		return Choice{}, false
	}
	if trial.inFlight != nil || now < trial.next {
		return Choice{}, false
	}
	trial.next = now.Add(trial.interval)
	choice := Choice{Index: best, Estimate: p.estimate(now, request, targets[best])}
	choice.Estimate.IsTrial = true
	return choice, true
}

// mayTry reports whether nothing but the estimate of the work time keeps requests from a target. The caller must hold the mutex.
func (p *Picker) mayTry(now model.Instant, request Request, target *fleet.Target, s *stats) bool {
	if now < target.ColdUntil {
		return false
	}
	if len(s.inFlight) == 0 && now.Sub(s.heardAt) >= trialAge {
		return true
	}
	estimate := p.estimate(now, request, target)
	return estimate.HasFreeSlot(target.Slots)
}

// hasInFlight reports whether a request of a route is in flight.
func (s *stats) hasInFlight(route string) bool {
	return slices.ContainsFunc(s.inFlight, func(t *Ticket) bool { return t.route == route })
}

// trial returns the state of the trials of a route. The caller must hold the mutex.
func (p *Picker) trial(route string, service model.Service) *trialState {
	key := trialKey{route: route, service: service}
	trial := p.trials[key]
	if trial == nil {
		trial = &trialState{interval: minTrialInterval}
		p.trials[key] = trial
	}
	return trial
}

// endTrial records the outcome of a trial. The caller must hold the mutex.
func (p *Picker) endTrial(now model.Instant, ticket *Ticket, responded bool) {
	trial := p.trial(ticket.route, ticket.serviceZone.service)
	if trial.inFlight != ticket {
		return
	}
	trial.inFlight = nil
	if responded {
		trial.interval, trial.next = minTrialInterval, now
		return
	}
	trial.interval = min(maxTrialInterval, 2*trial.interval)
	trial.next = now.Add(trial.interval)
}

// replaceObservations makes the response to a trial the only observation of its route and target. The caller must hold the mutex.
func (p *Picker) replaceObservations(now model.Instant, s *stats, ticket *Ticket, work float64) {
	s.targetSlowness, s.failures = 1, 0
	p.work[ticket.route] = workMean{mean: work, weight: trialWeight, at: now}
}
