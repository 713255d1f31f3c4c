package bench

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/placement"
	"github.com/tarragonpoint/tarragonpoint/internal/route"
)

// load is the arrivals, targets and measurements of one service.
type load struct {
	sim     *sim
	spec    Service
	servers []*server
	targets []*route.Target
	byID    map[model.TargetID]*server
	slots   []placement.Slot
	// ready is the instant from which a slot's owner serves it after a move.
	ready   []model.Instant
	random  *rand.Rand
	keys    *rand.Zipf
	latency *hdrhistogram.Histogram
	sent    int
	inTime  int
	refused int
	moved   int
	// down is the sum over slots of the time without an owner that serves them, and downMax the longest one.
	down     time.Duration
	downMax  time.Duration
	downNow  []time.Duration
	requests []int     // for each slot, since the last plan
	rates    []float64 // for each slot, moving average in requests/s
}

// rate returns the arrivals a second.
func (l *load) rate() float64 {
	capacity := float64(l.spec.Instances*l.sim.deployment.Concurrency) / l.spec.Work.Seconds()
	return capacity * l.sim.deployment.Utilization
}

// schedule schedules the next arrival. Arrivals do not wait for responses.
func (l *load) schedule() {
	wait := time.Duration(l.random.ExpFloat64() / l.rate() * float64(time.Second))
	l.sim.after(wait, func() {
		l.arrival()
		l.schedule()
	})
}

func (l *load) arrival() {
	now := l.sim.now
	work := float64(l.spec.Work) * math.Exp(workSigma*l.random.NormFloat64()-workSigma*workSigma/2)
	pick := l.random.Float64()
	r := &request{load: l, work: time.Duration(work), intended: now, deadline: now.Add(l.spec.Deadline - clientDelay)}
	if l.spec.Keyed {
		key := model.KeyHash(l.spec.Name, model.AnyRegion, keyName(l.keys.Uint64()))
		r.slot = int(key % uint64(len(l.slots)))
		l.requests[r.slot]++
	}
	r.vm = l.sim.pickVM(pick)
	l.sent++
	l.sim.after(clientDelay, r.arrive)
	l.sim.after(l.spec.Deadline, func() { r.end(false) })
}

// record counts a response and the wait from the intended send time.
func (l *load) record(r *request, at model.Instant, ok bool) {
	if !ok {
		l.refused++
		return
	}
	wait := at.Sub(r.intended)
	if wait <= l.spec.Deadline {
		l.inTime++
	}
	_ = l.latency.RecordValue(min(wait.Microseconds(), histogramMax))
}

// histogramMax is the highest recorded latency in microseconds.
const histogramMax = 60_000_000

// ownerNow returns the server that serves the slot now, or nil.
func (l *load) ownerNow(slot int) *server {
	if l.sim.now < l.ready[slot] {
		return nil
	}
	owner := l.byID[l.slots[slot].Owner]
	if owner == nil || !owner.alive {
		return nil
	}
	return owner
}

// plan runs the stack's placement and carries out its moves.
func (l *load) plan(first bool) {
	input := l.input(first)
	if !first {
		input.MaxMoves = movesPerPlan
	}
	l.carryOut(l.sim.stack.Plan(input), first)
}

// planWithoutLog does what the planner can do while the log is down. Rates still arrive, because entry VMs report them to
// each other. A stack with overrides moves the slots of lost targets inside their zones; planned moves wait.
func (l *load) planWithoutLog() {
	input := l.input(false)
	if !l.sim.stack.Overrides {
		return
	}
	for _, s := range l.servers {
		if s.free {
			l.failOver(s, input)
		}
	}
}

// failOver moves the slots of a lost server to servers of its zone, as an override does.
func (l *load) failOver(lost *server, input placement.Input) {
	targets := append([]placement.Target(nil), input.Targets...)
	for i := range targets {
		candidate := l.byID[targets[i].ID]
		targets[i].Alive = candidate.alive && candidate.route.Zone == lost.route.Zone
	}
	input.Targets = targets
	input.Slots = l.slots
	var moves []placement.Move
	for _, move := range l.sim.stack.Plan(input) {
		if move.From == lost.route.ID {
			moves = append(moves, move)
		}
	}
	l.carryOut(moves, false)
}

// input describes the slots and targets to the placement.
func (l *load) input(first bool) placement.Input {
	input := placement.Input{Class: model.AnyRegion, Slots: l.slots, ImbalancePercent: imbalancePercent}
	if l.sim.stack.HotRates && !first {
		input.BaseRate = l.setRates(input.Slots)
	}
	for _, s := range l.servers {
		input.Targets = append(input.Targets, placement.Target{
			ID: s.route.ID, Zone: s.route.Zone, Region: s.route.Region, InService: s.route.InService,
			Alive: s.alive || !s.free, Weight: l.weight(s, first),
		})
	}
	return input
}

// carryOut gives the slots their new owners, which serve them after moveTime. Moves of the first plan cost nothing.
func (l *load) carryOut(moves []placement.Move, first bool) {
	l.slots = placement.Apply(l.slots, moves)
	if first {
		return
	}
	l.moved += len(moves)
	for _, m := range moves {
		l.ready[m.Slot.Index] = l.sim.now.Add(moveTime)
	}
}

// weight returns the part of a full share of slots that the server gets.
func (l *load) weight(s *server, first bool) float64 {
	weight := 1.0
	if s.cold && l.sim.stack.ColdWeight {
		weight = float64(s.limit()) / float64(l.sim.deployment.Concurrency)
	}
	if l.sim.stack.SlowWeight && !first {
		share := s.lessor.services[l].tracker.Share(l.sim.now, s.route.ID)
		weight *= max(slowWeight, share)
	}
	return weight
}

// setRates updates the moving averages, gives hot slots their rates and returns the mean rate of the others.
func (l *load) setRates(slots []placement.Slot) (base float64) {
	others := 0
	hot := hotRatio * l.rate() / float64(len(slots))
	if l.sim.stack.HotKeyRule {
		hot = l.sim.deployment.HotKeyRate
	}
	for i := range slots {
		l.rates[i] += rateGain * (float64(l.requests[i])/planEvery.Seconds() - l.rates[i])
		l.requests[i] = 0
		slots[i].Rate = 0
		if l.rates[i] > hot {
			slots[i].Rate = l.rates[i]
			continue
		}
		base += l.rates[i]
		others++
	}
	return base / float64(max(1, others))
}

const (
	// slowWeight is the least weight of a slow target.
	slowWeight = 0.25
	// rateGain is the weight of a new measurement; 20 measurements, or 10 s, replace an old rate.
	rateGain = 0.1
	// hotRatio is the ratio of a slot's rate to the mean from which it is hot.
	hotRatio         = 4
	imbalancePercent = 25
	// sampleEvery is the resolution of the unavailable time.
	sampleEvery = 10 * time.Millisecond
)

// sample adds to the unavailable time of slots.
func (l *load) sample() {
	for slot := range l.slots {
		if l.ownerNow(slot) != nil {
			l.downNow[slot] = 0
			continue
		}
		l.down += sampleEvery
		l.downNow[slot] += sampleEvery
		l.downMax = max(l.downMax, l.downNow[slot])
	}
}
