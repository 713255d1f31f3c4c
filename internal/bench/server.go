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
	// free is true once the slots of a dead server may be given away.
	free bool
	// slow multiplies the work; 1 is normal.
	slow      float64
	coldSince model.Instant
	cold      bool
	running   int
	waiting   []*attempt
	served    int
	// gated counts the requests that the lessor lets run during a cold start.
	gated int
	gate  []*attempt
}

func (s *server) limit() int {
	concurrency := s.sim.deployment.Concurrency
	if !s.cold {
		return concurrency
	}
	ramp := balance.Ramp{Initial: coldInitial, Concurrency: concurrency, Duration: coldStart}
	return balance.Limit(s.coldSince, s.sim.now, ramp)
}

// receive takes an attempt off the network.
func (s *server) receive(a *attempt) {
	switch {
	case !s.alive:
		s.reply(a, retry.NotSent, false)
	case s.running < s.sim.deployment.Concurrency:
		s.run(a)
	case len(s.waiting) < targetQueue:
		s.waiting = append(s.waiting, a)
	default:
		s.reply(a, retry.Shed, false)
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
		s.reply(a, retry.Broken, false)
		return
	}
	s.reply(a, 0, true)
	for len(s.waiting) > 0 {
		next := s.waiting[0]
		s.waiting = s.waiting[1:]
		if !next.dropped() {
			s.run(next)
			return
		}
		s.reply(next, retry.TimedOut, false)
	}
}

// die ends the server. Waiting and running requests break.
func (s *server) die() {
	s.alive, s.free = false, false
	for _, a := range s.waiting {
		s.reply(a, retry.Broken, false)
	}
	s.waiting = nil
	s.sim.after(notServingAfter, func() { s.route.Status.Serving = s.alive })
	s.sim.after(takeoverAfter, func() { s.free = !s.alive })
}

// start starts the server cold.
func (s *server) start() {
	s.alive, s.free, s.cold, s.coldSince = true, false, true, s.sim.now
	s.route.InService = true
	s.route.Status.Serving = true
	s.refresh()
}

// refresh updates the status that entry VMs see.
func (s *server) refresh() {
	if s.cold && s.sim.now.Sub(s.coldSince) >= coldStart {
		s.cold = false
	}
	if s.sim.stack.ColdRule {
		s.route.Status.Cold = s.cold
		s.route.Status.Limit = s.limit()
	}
}

func (s *server) reply(a *attempt, failure retry.Failure, ok bool) {
	delay := s.sim.travel(s.zone(), a.vm.zone)
	s.sim.after(delay, func() { a.finish(failure, ok) })
}

func (s *server) zone() Zone { return Zone{s.route.Zone, s.route.Region} }
