package bench

import (
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/admission"
	"github.com/tarragonpoint/tarragonpoint/internal/balance"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/retry"
)

// request is one caller's request.
type request struct {
	load         *load
	slot         int
	work         time.Duration
	intendedSend model.Instant
	deadline     model.Instant
	vm           *entryVM
	attempts     int
	tried        []model.TargetID
	ended        bool
}

// attempt is one attempt to run a request on a server.
type attempt struct {
	request *request
	vm      *entryVM
	server  *server
	sent    model.Instant
	first   bool
	// gated is true if the attempt entered the gate of a cold target, which it leaves when it finishes.
	gated bool
}

// abandoned reports whether the target may skip the request because its deadline has passed or it was canceled.
func (a *attempt) abandoned() bool {
	return a.request.ended || a.vm.sim.now > a.request.deadline
}

// arrive handles the arrival of a request at its entry VM.
func (r *request) arrive() {
	state := r.vm.services[r.load]
	state.budget.Request(r.vm.sim.now)
	if r.load.spec.Keyed {
		r.sendKeyed()
		return
	}
	r.sendUnkeyed()
}

func (r *request) sendKeyed() {
	owner := r.load.servingOwner(r.slot)
	if owner == nil {
		r.end(false)
		return
	}
	r.send(owner)
}

func (r *request) sendUnkeyed() {
	state := r.vm.services[r.load]
	choice, err := r.vm.choose(r.load, r.tried)
	if err != nil {
		r.end(false)
		return
	}
	if state.shouldQueue(choice) {
		item := admission.Item[*request]{Tenant: "t", Deadline: r.deadline, Value: r}
		if decision, _ := state.queue.Push(r.vm.sim.now, item); decision != admission.Admitted {
			r.end(false)
		}
		return
	}
	r.send(r.load.byID[choice.Target.ID])
}

func (r *request) send(to *server) {
	a := &attempt{request: r, vm: r.vm, server: to, sent: r.vm.sim.now, first: r.attempts == 0}
	r.attempts++
	r.tried = append(r.tried, to.route.ID)
	r.vm.services[r.load].tracker.Start(to.route.ID)
	if a.first {
		r.scheduleHedge()
	}
	sim := r.vm.sim
	if r.load.spec.Keyed && sim.stack.ColdRule && to.cold {
		sim.after(sim.transferTime(r.vm.zone, to.lessor.zone), func() { to.enterGate(a) })
		return
	}
	sim.after(sim.transferTime(r.vm.zone, to.zone()), func() { to.receive(a) })
}

// enterGate admits an attempt at the lessor of a cold target, or queues it there until the ramp permits it.
func (s *server) enterGate(a *attempt) {
	a.gated = true
	if s.gateRunning >= s.limit() {
		s.gateQueue = append(s.gateQueue, a)
		return
	}
	s.gateRunning++
	s.sim.after(s.sim.networkDelay(s.lessor.zone, s.zone()), func() { s.receive(a) })
}

// leaveGate counts the end of an admitted attempt and admits waiting ones.
func (s *server) leaveGate() {
	s.gateRunning--
	for len(s.gateQueue) > 0 && s.gateRunning < s.limit() {
		next := s.gateQueue[0]
		s.gateQueue = s.gateQueue[1:]
		if next.abandoned() {
			next.gated = false
			next.finish(retry.TimedOut, false)
			continue
		}
		s.enterGate(next)
	}
}

func (r *request) scheduleHedge() {
	state := r.vm.services[r.load]
	if !r.vm.sim.stack.Budgeted || r.load.spec.Keyed {
		return
	}
	delay, ok := state.hedger.Delay(true, r.deadline.Sub(r.vm.sim.now))
	if !ok {
		return
	}
	r.vm.sim.after(delay, r.hedge)
}

func (r *request) hedge() {
	if r.ended || r.attempts > 1 {
		return
	}
	choice, err := r.vm.choose(r.load, r.tried)
	if err != nil || choice.Saturated || !r.vm.services[r.load].hedger.Take(r.vm.sim.now, false) {
		return
	}
	r.send(r.load.byID[choice.Target.ID])
}

// finish handles the end of an attempt at its entry VM.
func (a *attempt) finish(failure retry.Failure, ok bool) {
	r, sim := a.request, a.vm.sim
	state := a.vm.services[r.load]
	latency := sim.now.Sub(a.sent)
	ignore := !ok && failure != retry.Broken && failure != retry.NotSent
	observation := balance.Observation{Target: a.server.route.ID, Latency: latency, Failed: !ok, Ignore: ignore}
	state.tracker.Finish(sim.now, observation)
	if a.first && !ignore {
		state.hedger.Observe(sim.now, latency)
	}
	if a.gated {
		a.server.leaveGate()
	}
	if ok {
		state.queue.ObserveService(r.work)
	}
	state.drainQueue()
	switch {
	case r.ended:
	case ok:
		r.end(true)
	default:
		r.retry(failure)
	}
}

func (r *request) retry(failure retry.Failure) {
	now := r.vm.sim.now
	failed := retry.Attempt{Failure: failure, Idempotent: true, Attempts: r.attempts, TimeLeft: r.deadline.Sub(now)}
	allowed := r.attempts < retry.MaxAttempts && failed.TimeLeft > 0
	if r.vm.sim.stack.Budgeted {
		allowed = r.vm.services[r.load].budget.Decide(now, failed) == retry.Allowed
	}
	switch {
	case !allowed:
		r.end(false)
	case r.load.spec.Keyed:
		r.sendKeyed()
	default:
		r.sendUnkeyed()
	}
}

// end ends the request and records its result. The caller's latency includes the network delay of the response.
func (r *request) end(ok bool) {
	if r.ended {
		return
	}
	r.ended = true
	r.load.recordEnd(r, r.vm.sim.now.Add(clientDelay), ok)
}
