package balance

import (
	"math"
	"sync"
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

const (
	// reportLag is the assumed age of a load report on arrival.
	reportLag = 500 * time.Millisecond
	// latencyGain is the weight of a new latency in the moving average; about 20 requests replace an old value.
	latencyGain = 0.1
)

// Observation is the outcome of an attempt.
type Observation struct {
	Target  model.TargetID
	Latency time.Duration
	// Failed is true if the request failed at the target or timed out. Refusals and unresponsive connections are not
	// failures of the target.
	Failed bool
	// Ignore is true if the attempt gives no information about the target: it was refused or canceled, or its connection
	// was unresponsive while the target responded to other requests.
	Ignore bool
}

// Tracker holds the load and health of the targets of one service as seen by one entry VM.
type Tracker struct {
	mu       sync.Mutex
	targets  map[model.TargetID]*tracked
	outliers outliers
	// sumOthers and reports are the sum and number of the load reports held in targets.
	sumOthers float64
	reports   int
}

// tracked is the state of one target.
type tracked struct {
	inFlight int
	// others is the load from other VMs: the reported load minus this VM's requests at the time of the report.
	others     float64
	reportedAt model.Instant
	reported   bool
	health     health
}

// NewTracker returns an empty tracker. maxEjectedPercent bounds the share of targets that are ejected at once.
func NewTracker(maxEjectedPercent float64) *Tracker {
	return &Tracker{targets: map[model.TargetID]*tracked{}, outliers: outliers{maxPercent: maxEjectedPercent}}
}

func (t *Tracker) target(id model.TargetID) *tracked {
	state := t.targets[id]
	if state == nil {
		state = &tracked{health: health{target: id}}
		t.targets[id] = state
	}
	return state
}

// Retain drops the state of targets that are not listed. Running requests of dropped targets are no longer counted.
func (t *Tracker) Retain(ids []model.TargetID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	kept := make(map[model.TargetID]*tracked, len(ids))
	for _, id := range ids {
		if state := t.targets[id]; state != nil {
			kept[id] = state
		}
	}
	t.targets = kept
	t.sumOthers, t.reports = 0, 0
	for _, id := range ids {
		if state := kept[id]; state != nil && state.reported {
			t.sumOthers += state.others
			t.reports++
		}
	}
}

// Start records that a request is sent to the target.
func (t *Tracker) Start(id model.TargetID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.target(id).inFlight++
}

// Finish records the end of an attempt that Start recorded.
func (t *Tracker) Finish(now model.Instant, observation Observation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.target(observation.Target)
	state.inFlight = max(0, state.inFlight-1)
	if observation.Ignore {
		return
	}
	state.health.observe(observation)
	t.outliers.evaluate(now, t.targets)
}

// Report records a load report of a target: its running and queued requests from all entry VMs.
func (t *Tracker) Report(now model.Instant, id model.TargetID, load int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.target(id)
	if !state.reported {
		t.reports++
	}
	others := math.Max(0, float64(load-state.inFlight))
	t.sumOthers += others - state.others
	state.others, state.reportedAt, state.reported = others, now, true
}

// InFlight returns the number of this VM's running requests at the target.
func (t *Tracker) InFlight(id model.TargetID) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.target(id).inFlight
}

// Share returns the fraction of its normal requests that a target may receive, from 0 (ejected) to 1.
func (t *Tracker) Share(now model.Instant, id model.TargetID) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.target(id).health.share(now)
}

// estimate is the estimated load of a target and the share of requests that it may receive.
type estimate struct {
	load  float64
	share float64
	// inFlight is the part of the load from this VM.
	inFlight int
	// slowness is the target's mean latency relative to the service's median; 1 if unknown.
	slowness float64
}

// estimates returns the estimates of the targets. The weight of a load report halves with each median latency that
// passes, in favor of the mean of all reports, because half of the requests that it counted have ended by then. If
// reports outlived the requests that they count, all entry VMs would move to the same targets at once.
func (t *Tracker) estimates(now model.Instant, ids []model.TargetID) []estimate {
	t.mu.Lock()
	defer t.mu.Unlock()
	mean := t.sumOthers / float64(max(1, t.reports))
	result := make([]estimate, len(ids))
	for i, id := range ids {
		state := t.target(id)
		weight := t.reportWeight(now, state)
		result[i] = estimate{
			load:     float64(state.inFlight) + weight*state.others + (1-weight)*mean,
			inFlight: state.inFlight,
			share:    state.health.share(now),
			slowness: t.outliers.slowness(&state.health),
		}
	}
	return result
}

func (t *Tracker) reportWeight(now model.Instant, state *tracked) float64 {
	if !state.reported || t.outliers.median <= 0 {
		return 0
	}
	age := now.Sub(state.reportedAt) + reportLag
	return math.Exp2(-age.Seconds() / t.outliers.median)
}
