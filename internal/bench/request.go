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
	load     *load
	slot     int
	work     time.Duration
	intended model.Instant
	deadline model.Instant
	vm       *entryVM
	attempts int
	tried    []model.TargetID
	ended    bool
}

// attempt is one send of a request.
type attempt struct {
	request *request
	vm      *entryVM
	server  *server
	sent    model.Instant
	first   bool
	gated   bool
}

// dropped reports whether the target may leave the request out: its deadline passed or it was canceled.
func (a *attempt) dropped() bool {
	return a.request.ended || a.vm.sim.now > a.request.deadline
}

// arrive handles a request at its entry VM.
func (r *request) arrive() {
	state := r.vm.services[r.load]
	state.budget.Request(r.vm.sim.now)
	if r.load.spec.Keyed {
		r.sendKeyed()
		return
	}
	r.sendAny()
}

func (r *request) sendKeyed() {
	owner := r.load.ownerNow(r.slot)
	if owner == nil {
		r.end(false)
		return
	}
	r.send(owner)
}

func (r *request) sendAny() {
	state := r.vm.services[r.load]
	choice, err := r.vm.choose(r.load, r.tried)
	if err != nil {
		r.end(false)
		return
	}
	if state.mustQueue(choice) {
		item := admission.Item[*request]{Tenant: "t", Deadline: r.deadline, Value: r}
		if refusal, _ := state.queue.Push(r.vm.sim.now, item); refusal != admission.Admitted {
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
		sim.after(sim.travel(r.vm.zone, to.lessor.zone), func() { to.passGate(a) })
		return
	}
	sim.after(sim.travel(r.vm.zone, to.zone()), func() { to.receive(a) })
}

// passGate holds an attempt at the lessor of a cold target until the ramp permits it.
func (s *server) passGate(a *attempt) {
	a.gated = true
	if s.gated >= s.limit() {
		s.gate = append(s.gate, a)
		return
	}
	s.gated++
	s.sim.after(s.sim.delay(s.lessor.zone, s.zone()), func() { s.receive(a) })
}

func (s *server) leaveGate() {
	s.gated--
	for len(s.gate) > 0 && s.gated < s.limit() {
		next := s.gate[0]
		s.gate = s.gate[1:]
		if next.dropped() {
			next.gated = false
			next.finish(retry.TimedOut, false)
			continue
		}
		s.passGate(next)
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

// finish handles the end of an attempt at the entry VM.
func (a *attempt) finish(failure retry.Failure, ok bool) {
	r, sim := a.request, a.vm.sim
	state := a.vm.services[r.load]
	latency := sim.now.Sub(a.sent)
	ignore := !ok && failure != retry.Broken && failure != retry.NotSent
	seen := balance.Observation{Target: a.server.route.ID, Latency: latency, Failed: !ok, Ignore: ignore}
	state.tracker.Finish(sim.now, seen)
	if a.first && !ignore {
		state.hedger.Observe(sim.now, latency)
	}
	if a.gated {
		a.server.leaveGate()
	}
	if ok {
		state.queue.ObserveService(r.work)
	}
	state.drain()
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
	failed := retry.Attempt{Failure: failure, Idempotent: true, Attempts: r.attempts, Left: r.deadline.Sub(now)}
	allowed := r.attempts < retry.MaxAttempts && failed.Left > 0
	if r.vm.sim.stack.Budgeted {
		allowed = r.vm.services[r.load].budget.Decide(now, failed) == retry.Allowed
	}
	switch {
	case !allowed:
		r.end(false)
	case r.load.spec.Keyed:
		r.sendKeyed()
	default:
		r.sendAny()
	}
}

// end records the response. The caller's wait includes the way back.
func (r *request) end(ok bool) {
	if r.ended {
		return
	}
	r.ended = true
	r.load.record(r, r.vm.sim.now.Add(clientDelay), ok)
}
