package bench

import (
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/admission"
	"github.com/tarragonpoint/tarragonpoint/internal/balance"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/retry"
)

// entryVM models one entry VM.
type entryVM struct {
	sim      *sim
	id       model.VMID
	zone     Zone
	alive    bool
	policy   balance.Policy
	spill    *balance.SpillBudget
	services map[*load]*entryService
}

// entryService is the state of one service at one entry VM.
type entryService struct {
	vm      *entryVM
	load    *load
	tracker *balance.Tracker
	budget  *retry.Budget
	hedger  *retry.Hedger
	queue   *admission.Queue[*request]
}

const (
	// entryQueue is the maximum number of requests of one service that an entry VM queues.
	entryQueue = 64
	// retryPercent and hedgePercent are the percentages of requests that may be retried and hedged, ejectPercent is the
	// percentage of targets that may be ejected at once.
	retryPercent = 10
	hedgePercent = 5
	ejectPercent = 30
	retryFloor   = 1 // retries/s
	// pollInterval is the interval at which an entry VM checks whether queued requests can be sent.
	pollInterval = 2 * time.Millisecond
	// shareHeadroom is the factor by which an entry VM may exceed its share of the capacity before it queues requests.
	shareHeadroom = 1.25
)

func (v *entryVM) addService(l *load) {
	state := &entryService{
		vm: v, load: l, tracker: balance.NewTracker(ejectPercent),
		budget: retry.NewBudget(retryPercent, retryFloor, 0), hedger: retry.NewHedger(hedgePercent, 0),
		queue: admission.NewQueue[*request](entryQueue, v.sim.capacityPerVM(l)),
	}
	v.services[l] = state
	if v.sim.stack.Queue != QueueAtTarget && !l.spec.Keyed {
		v.sim.every(pollInterval, state.drainQueue)
	}
}

func (v *entryVM) choose(l *load, tried []model.TargetID) (balance.Choice, error) {
	return v.policy.Choose(v.sim.now, l.targets, balance.View{
		VM: v.id, Zone: v.zone.Name, Region: v.zone.Region, Concurrency: v.sim.deployment.Concurrency,
		RequestBytes: requestBytes, Tried: tried, Tracker: v.services[l].tracker, Spill: v.spill,
	})
}

// shouldQueue reports whether a request is to wait at the entry VM instead of at the chosen target.
func (e *entryService) shouldQueue(choice balance.Choice) bool {
	switch e.vm.sim.stack.Queue {
	case QueueAtEntry:
		return choice.Saturated
	case QueueShare:
		return float64(e.inFlight()) >= e.vm.sim.capacityPerVM(e.load)*shareHeadroom
	default:
		return false
	}
}

func (e *entryService) inFlight() int {
	sum := 0
	for _, target := range e.load.targets {
		sum += e.tracker.InFlight(target.ID)
	}
	return sum
}

// drainQueue sends queued requests as long as a target has capacity.
func (e *entryService) drainQueue() {
	for e.queue.Len() > 0 {
		choice, err := e.vm.choose(e.load, nil)
		if err != nil || e.shouldQueue(choice) {
			return
		}
		item, expired, ok := e.queue.Pop(e.vm.sim.now)
		for _, late := range expired {
			late.Value.end(false)
		}
		if !ok {
			return
		}
		item.Value.send(e.load.byID[choice.Target.ID])
	}
}
