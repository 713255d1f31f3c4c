package bench

import (
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/placement"
)

// Run holds the results of one service in one scenario with one stack. Latencies and DownMaxMs are in milliseconds.
type Run struct {
	Deployment string `json:"deployment"`
	Scenario   string `json:"scenario"`
	Service    string `json:"service"`
	Stack      string `json:"stack"`
	Requests   int    `json:"requests"`
	// InTimePercent is the percentage of requests with a response by their deadline.
	InTimePercent float64 `json:"in_time_percent"`
	P50           float64 `json:"p50_ms"`
	P99           float64 `json:"p99_ms"`
	P999          float64 `json:"p999_ms"`
	// RequestImbalance is the highest number of requests of a target divided by the mean.
	RequestImbalance float64 `json:"request_imbalance"`
	// SlotImbalance is the same ratio for slots at the end of the run; it is 0 for services without keys.
	SlotImbalance float64 `json:"slot_imbalance,omitempty"`
	Moved         int     `json:"slots_moved"`
	// DownSlotSeconds is the sum over slots of the time without a serving owner.
	DownSlotSeconds float64 `json:"down_slot_seconds"`
	// CrossMbit is the mean cross-region traffic of all services in both directions, in Mbit/s.
	CrossMbit float64 `json:"cross_mbit"`
	// DownMaxMs is the longest uninterrupted time for which one slot had no serving owner.
	DownMaxMs float64 `json:"down_max_ms"`
}

// Churn holds the mean number of slots that a membership change of one target moves, over all targets of a keyed
// service.
type Churn struct {
	Deployment string  `json:"deployment"`
	Stack      string  `json:"stack"`
	Slots      int     `json:"slots"`
	Targets    int     `json:"targets"`
	Join       float64 `json:"join"`
	Leave      float64 `json:"leave"`
	Failure    float64 `json:"loss"`
}

// Measure runs one scenario and returns the results of each service.
func Measure(deployment Deployment, stack Stack, scenario Scenario, seed uint64) ([]Run, error) {
	s, err := newSim(deployment, stack, seed)
	if err != nil {
		return nil, err
	}
	s.run(scenario)
	var runs []Run
	for _, l := range s.loads {
		run := l.results()
		run.Deployment, run.Scenario, run.Stack = deployment.Name, scenario.Name, stack.Name
		run.CrossMbit = float64(s.linkBytes*8) / scenario.Duration.Seconds() / 1e6
		runs = append(runs, run)
	}
	return runs, nil
}

func (l *load) results() Run {
	millis := func(percentile float64) float64 { return float64(l.latency.ValueAtPercentile(percentile)) / 1000 }
	ended := l.failed + int(l.latency.TotalCount())
	run := Run{
		Service: string(l.spec.Name), Requests: ended,
		InTimePercent: 100 * float64(l.inTime) / float64(max(1, ended)),
		P50:           millis(50), P99: millis(99), P999: millis(99.9),
		Moved: l.moved, DownSlotSeconds: l.downtime.Seconds(), DownMaxMs: float64(l.maxDowntime / time.Millisecond),
	}
	served := make([]int, len(l.servers))
	for i, s := range l.servers {
		served[i] = s.served
	}
	run.RequestImbalance = imbalance(served)
	if l.spec.Keyed {
		run.SlotImbalance = imbalance(l.slotsPerServer())
	}
	return run
}

func (l *load) slotsPerServer() []int {
	counts := map[model.TargetID]int{}
	for i := range l.slots {
		counts[l.slots[i].Owner]++
	}
	var result []int
	for _, s := range l.servers {
		if s.alive && s.route.InService {
			result = append(result, counts[s.route.ID])
		}
	}
	return result
}

// imbalance returns the maximum divided by the mean.
func imbalance(counts []int) float64 {
	sum, highest := 0, 0
	for _, n := range counts {
		sum += n
		highest = max(highest, n)
	}
	return float64(highest) * float64(len(counts)) / float64(max(1, sum))
}

// MeasureChurn measures how many slots move on average when each target of the keyed service in turn leaves, joins,
// fails and joins again.
func MeasureChurn(deployment Deployment, stack Stack) Churn {
	spec := deployment.Services[1]
	churn := Churn{Deployment: deployment.Name, Stack: stack.Name, Slots: deployment.HashSlots, Targets: spec.Instances}
	stack.HotRates, stack.SlowWeight = false, false // the model has no load here
	idle := &sim{deployment: deployment, stack: stack}
	l := &load{sim: idle, spec: spec, byID: map[model.TargetID]*server{}}
	vm := &entryVM{sim: idle}
	for range deployment.Zones {
		idle.vms = append(idle.vms, vm)
	}
	for i := range spec.Instances {
		idle.addServer(l, i)
	}
	for i := range deployment.HashSlots {
		id := model.Slot{Service: spec.Name, Class: model.AnyRegion, Index: uint32(i)}
		l.slots = append(l.slots, placement.Slot{ID: id})
	}
	l.readyAt = make([]model.Instant, len(l.slots))
	l.plan(true)
	for _, s := range l.servers {
		s.route.InService = false
		churn.Leave += l.planUntilStable()
		s.route.InService = true
		churn.Join += l.planUntilStable()
		s.alive, s.slotsFree = false, true
		churn.Failure += l.planUntilStable()
		s.alive, s.slotsFree = true, false
		churn.Join += l.planUntilStable()
	}
	n := float64(spec.Instances)
	churn.Leave, churn.Failure, churn.Join = churn.Leave/n, churn.Failure/n, churn.Join/(2*n)
	return churn
}

// planUntilStable plans repeatedly until no slot moves and returns the number of moves.
func (l *load) planUntilStable() float64 {
	before := l.moved
	for {
		last := l.moved
		l.plan(false)
		if l.moved == last {
			return float64(l.moved - before)
		}
	}
}
