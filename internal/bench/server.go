package bench

import (
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/balance"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/retry"
	"github.com/tarragonpoint/tarragonpoint/internal/route"
)

// server is the model of one target.
type server struct {
	sim    *sim
	route  *route.Target
	lessor *entryVM
	alive  bool
	// slotsFree is true once the slots of a failed server may be reassigned.
	slotsFree bool
	// slow multiplies the work; 1 is normal.
	slow      float64
	coldSince model.Instant
	cold      bool
	running   int
	queue     []*attempt
	served    int
	// gateRunning is the number of requests that the lessor has admitted during a cold start and that have not ended;
	// gateQueue holds those that wait at the lessor.
	gateRunning int
	gateQueue   []*attempt
}

func (s *server) limit() int {
	concurrency := s.sim.deployment.Concurrency
	if !s.cold {
		return concurrency
	}
	ramp := balance.Ramp{Initial: coldInitial, Concurrency: concurrency, Duration: coldStart}
	return balance.Limit(s.coldSince, s.sim.now, ramp)
}

// receive runs, queues or rejects an attempt that arrives over the network.
func (s *server) receive(a *attempt) {
	switch {
	case !s.alive:
		s.respond(a, retry.NotSent, false)
	case s.running < s.sim.deployment.Concurrency:
		s.run(a)
	case len(s.queue) < targetQueue:
		s.queue = append(s.queue, a)
	default:
		s.respond(a, retry.Shed, false)
	}
}

func (s *server) run(a *attempt) {
	s.running++
	s.served++
	work := float64(a.request.work) * s.slow
	if s.cold && s.running > s.limit() {
		work *= coldPenalty
	}
	s.sim.after(time.Duration(work), func() { s.done(a) })
}

func (s *server) done(a *attempt) {
	s.running--
	if !s.alive {
		s.respond(a, retry.Broken, false)
		return
	}
	s.respond(a, 0, true)
	for len(s.queue) > 0 {
		next := s.queue[0]
		s.queue = s.queue[1:]
		if !next.abandoned() {
			s.run(next)
			return
		}
		s.respond(next, retry.TimedOut, false)
	}
}

// fail stops the server. Queued and running requests fail with a broken connection.
func (s *server) fail() {
	s.alive, s.slotsFree = false, false
	for _, a := range s.queue {
		s.respond(a, retry.Broken, false)
	}
	s.queue = nil
	s.sim.after(notServingAfter, func() { s.route.Status.Serving = s.alive })
	s.sim.after(takeoverAfter, func() { s.slotsFree = !s.alive })
}

// start starts the server with a cold start.
func (s *server) start() {
	s.alive, s.slotsFree, s.cold, s.coldSince = true, false, true, s.sim.now
	s.route.InService = true
	s.route.Status.Serving = true
	s.updateStatus()
}

// updateStatus ends the cold start when its duration has passed, and updates the status that entry VMs use.
func (s *server) updateStatus() {
	if s.cold && s.sim.now.Sub(s.coldSince) >= coldStart {
		s.cold = false
	}
	if s.sim.stack.ColdRule {
		s.route.Status.Cold = s.cold
		s.route.Status.Limit = s.limit()
	}
}

func (s *server) respond(a *attempt, failure retry.Failure, ok bool) {
	delay := s.sim.transferTime(s.zone(), a.vm.zone)
	s.sim.after(delay, func() { a.finish(failure, ok) })
}

func (s *server) zone() Zone { return Zone{s.route.Zone, s.route.Region} }
