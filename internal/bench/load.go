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

// load holds the arrivals, targets and measurements of one service.
type load struct {
	sim     *sim
	spec    Service
	servers []*server
	targets []*route.Target
	byID    map[model.TargetID]*server
	slots   []placement.Slot
	// readyAt holds, for each slot, the instant from which its owner serves it after a move.
	readyAt []model.Instant
	random  *rand.Rand
	keys    *rand.Zipf
	latency *hdrhistogram.Histogram
	sent    int
	inTime  int
	failed  int
	moved   int
	// downtime is the sum over slots of the time without a serving owner. maxDowntime is the longest uninterrupted
	// time of this kind of one slot; currentDowntime holds, for each slot, the time since an owner last served it.
	downtime        time.Duration
	maxDowntime     time.Duration
	currentDowntime []time.Duration
	requests        []int     // for each slot, since the last plan
	rates           []float64 // for each slot, moving average in requests/s
}

// arrivalRate returns the mean number of arrivals per second.
func (l *load) arrivalRate() float64 {
	capacity := float64(l.spec.Instances*l.sim.deployment.Concurrency) / l.spec.Work.Seconds()
	return capacity * l.sim.deployment.Utilization
}

// scheduleArrival schedules the next arrival. The load is open-loop: arrivals do not wait for responses.
func (l *load) scheduleArrival() {
	wait := time.Duration(l.random.ExpFloat64() / l.arrivalRate() * float64(time.Second))
	l.sim.after(wait, func() {
		l.sendRequest()
		l.scheduleArrival()
	})
}

// sendRequest draws the work, the entry VM and the key of a request and sends it.
func (l *load) sendRequest() {
	now := l.sim.now
	work := float64(l.spec.Work) * math.Exp(workSigma*l.random.NormFloat64()-workSigma*workSigma/2)
	pick := l.random.Float64()
	r := &request{load: l, work: time.Duration(work), intendedSend: now, deadline: now.Add(l.spec.Deadline - clientDelay)}
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

// recordEnd counts the end of a request. If the request succeeded, it also records the latency since the intended send
// time.
func (l *load) recordEnd(r *request, at model.Instant, ok bool) {
	if !ok {
		l.failed++
		return
	}
	latency := at.Sub(r.intendedSend)
	if latency <= l.spec.Deadline {
		l.inTime++
	}
	_ = l.latency.RecordValue(min(latency.Microseconds(), histogramMax))
}

// histogramMax is the highest recorded latency in microseconds.
const histogramMax = 60_000_000

// servingOwner returns the server that currently serves the slot, or nil.
func (l *load) servingOwner(slot int) *server {
	if l.sim.now < l.readyAt[slot] {
		return nil
	}
	owner := l.byID[l.slots[slot].Owner]
	if owner == nil || !owner.alive {
		return nil
	}
	return owner
}

// plan runs the stack's placement and applies its moves.
func (l *load) plan(first bool) {
	input := l.planInput(first)
	if !first {
		input.MaxMoves = movesPerPlan
	}
	l.applyMoves(l.sim.stack.Plan(input), first)
}

// planWithoutLog does the part of planning that is possible while the log is down. Rates are still updated, because
// entry VMs report them to each other. A stack with overrides moves the slots of failed targets inside their zones;
// planned moves wait.
func (l *load) planWithoutLog() {
	input := l.planInput(false)
	if !l.sim.stack.Overrides {
		return
	}
	for _, s := range l.servers {
		if s.slotsFree {
			l.failOver(s, input)
		}
	}
}

// failOver moves the slots of a failed server to servers of its zone, as an override does.
func (l *load) failOver(failed *server, input placement.Input) {
	targets := append([]placement.Target(nil), input.Targets...)
	for i := range targets {
		candidate := l.byID[targets[i].ID]
		targets[i].Alive = candidate.alive && candidate.route.Zone == failed.route.Zone
	}
	input.Targets = targets
	input.Slots = l.slots
	var moves []placement.Move
	for _, move := range l.sim.stack.Plan(input) {
		if move.From == failed.route.ID {
			moves = append(moves, move)
		}
	}
	l.applyMoves(moves, false)
}

// planInput returns the slots and targets as input to the placement, and updates the request rates if the stack uses
// them. A failed target counts as alive until its slots may be reassigned.
func (l *load) planInput(first bool) placement.Input {
	input := placement.Input{Class: model.AnyRegion, Slots: l.slots, ImbalancePercent: imbalancePercent}
	if l.sim.stack.HotRates && !first {
		input.BaseRate = l.updateRates(input.Slots)
	}
	for _, s := range l.servers {
		input.Targets = append(input.Targets, placement.Target{
			ID: s.route.ID, Zone: s.route.Zone, Region: s.route.Region, InService: s.route.InService,
			Alive: s.alive || !s.slotsFree, Weight: l.weight(s, first),
		})
	}
	return input
}

// applyMoves assigns the slots to their new owners, which serve them after moveDuration. The moves of the first plan
// take no time and are not counted.
func (l *load) applyMoves(moves []placement.Move, first bool) {
	l.slots = placement.Apply(l.slots, moves)
	if first {
		return
	}
	l.moved += len(moves)
	for _, m := range moves {
		l.readyAt[m.Slot.Index] = l.sim.now.Add(moveDuration)
	}
}

// weight returns the fraction of a full share of slots that the server gets.
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

// updateRates updates the moving averages, sets the rates of hot slots and returns the mean rate of the others.
func (l *load) updateRates(slots []placement.Slot) (base float64) {
	others := 0
	hot := hotRatio * l.arrivalRate() / float64(len(slots))
	if l.sim.stack.HotKeyRule {
		hot = l.sim.deployment.HotKeyRate
	}
	for i := range slots {
		l.rates[i] += rateSmoothing * (float64(l.requests[i])/planInterval.Seconds() - l.rates[i])
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
	// slowWeight is the minimum factor that slowness applies to the weight of a target.
	slowWeight = 0.25
	// rateSmoothing is the weight of a new measurement in the moving average. 20 measurements, or 10 s, largely replace
	// an old rate.
	rateSmoothing = 0.1
	// hotRatio is the ratio of a slot's rate to the mean rate above which the slot is hot.
	hotRatio         = 4
	imbalancePercent = 25
	// sampleInterval is the resolution of the downtime.
	sampleInterval = 10 * time.Millisecond
)

// sampleDowntime adds one sample interval to the downtime of each slot without a serving owner.
func (l *load) sampleDowntime() {
	for slot := range l.slots {
		if l.servingOwner(slot) != nil {
			l.currentDowntime[slot] = 0
			continue
		}
		l.downtime += sampleInterval
		l.currentDowntime[slot] += sampleInterval
		l.maxDowntime = max(l.maxDowntime, l.currentDowntime[slot])
	}
}
