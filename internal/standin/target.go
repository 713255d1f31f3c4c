package standin

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/target"
)

// RequestIDHeader is the header with the caller's request ID.
const RequestIDHeader = "Tarragon-Request-Id"

// TargetOptions configures a target.
type TargetOptions struct {
	ID model.TargetID
	// Concurrency is the maximum number of requests that run at the same time; 0 means 4. Queue is the maximum number
	// that wait.
	Concurrency, Queue int
	// ServiceTime is the duration of a request. The query parameter work_ms of a request overrides it, in milliseconds.
	ServiceTime time.Duration
	// ColdStart is the time in which the concurrency limit rises from ColdInitial to Concurrency after a start.
	ColdStart   time.Duration
	ColdInitial int
	// LoadLag is the maximum age of the reported load.
	LoadLag time.Duration
	// DrainGrace is the time for which a draining target still accepts requests.
	DrainGrace time.Duration
	// Unchecked disables the checks of fences, terms and leases, but not of deadlines.
	Unchecked bool
	// Now replaces the monotonic clock in tests.
	Now func() model.Instant
	// Journal is called with a copy of a run when it starts and when it ends, so that the record of runs is
	// still available after the process has ended. It must not call methods of the target, which holds its mutex.
	Journal func(run Run)
	// OnCrash is called after a crash has started a new incarnation, for example to close connections or to exit.
	OnCrash func()
}

// Outcome states how a run ended.
type Outcome string

// Outcomes of a run.
const (
	RunDone     Outcome = "done"
	RunCanceled Outcome = "cancelled"
	RunCrashed  Outcome = "crashed"
	// RunOpen means that the run has not ended.
	RunOpen Outcome = "open"
)

// Run records one execution of a request. Start and End are on the target's clock.
type Run struct {
	RequestID   string            `json:"request_id"`
	Attempt     string            `json:"attempt"`
	Slot        string            `json:"slot"`
	Fence       string            `json:"fence"`
	Term        string            `json:"term"`
	Incarnation model.Incarnation `json:"incarnation"`
	Start       model.Instant     `json:"start"`
	End         model.Instant     `json:"end"`
	Outcome     Outcome           `json:"outcome"`
}

// TargetReport is the response to GET /control/report.
type TargetReport struct {
	Incarnation model.Incarnation            `json:"incarnation"`
	Clock       model.Instant                `json:"clock"`
	Term        model.Term                   `json:"term"`
	LeaseUntil  model.Instant                `json:"lease_until"`
	Grants      int                          `json:"grants"`
	Running     int                          `json:"running"`
	Queued      int                          `json:"queued"`
	Refused     map[target.RefusalReason]int `json:"refused"`
	// Overloads counts the requests that started above the concurrency limit of the cold start.
	Overloads int `json:"overloads"`
}

// TargetControl is the body of POST /control. Fields that are nil change nothing.
type TargetControl struct {
	Drain *bool `json:"drain"`
	Shed  *bool `json:"shed"`
	// Freeze holds back all responses and keeps connections open until it is set to false.
	Freeze *bool `json:"freeze"`
	// StallMillis is added to the duration of every request that starts from now on.
	StallMillis *int64 `json:"stall_ms"`
	// Cold starts the cold-start ramp without a restart.
	Cold bool `json:"cold"`
	// Crash has the effect of Target.Crash.
	Crash bool `json:"crash"`
}

// Target is a stand-in for a server behind the router.
type Target struct {
	options TargetOptions
	mux     *http.ServeMux
	origin  time.Time

	mutex       sync.Mutex
	incarnation model.Incarnation
	lease       lease
	attempts    map[*attempt]struct{}
	running     int
	queue       []*attempt
	runs        []*Run
	refused     map[target.RefusalReason]int
	overloads   int
	coldSince   model.Instant
	cold        bool
	drainSince  model.Instant
	load        int
	loadAt      model.Instant
	drain, shed bool
	stall       time.Duration
	// unfrozen is closed unless the target is frozen; crashed is closed when the incarnation ends.
	unfrozen, crashed chan struct{}
}

// NewTarget returns a target that has just started.
func NewTarget(options TargetOptions) *Target {
	if options.Concurrency <= 0 {
		options.Concurrency = 4
	}
	t := &Target{options: options, mux: http.NewServeMux(), origin: time.Now(), refused: map[target.RefusalReason]int{}}
	t.unfrozen = make(chan struct{})
	close(t.unfrozen)
	t.restart()
	t.mux.HandleFunc("POST /tarragon/v1/renew", t.holdWhileFrozen(t.renew))
	t.mux.HandleFunc("POST /tarragon/v1/revoke", t.holdWhileFrozen(t.revoke))
	t.mux.HandleFunc("POST /tarragon/v1/cancel", t.holdWhileFrozen(t.cancel))
	t.mux.HandleFunc("POST /control", t.control)
	t.mux.HandleFunc("GET /control/runs", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, t.Runs()) })
	t.mux.HandleFunc("GET /control/report", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, t.Report()) })
	t.mux.HandleFunc("/", t.holdWhileFrozen(t.serve))
	return t
}

// ServeHTTP implements http.Handler.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) { t.mux.ServeHTTP(w, r) }

// Control applies a change to the behavior of the target.
func (t *Target) Control(change TargetControl) {
	t.mutex.Lock()
	if change.Drain != nil {
		t.drain, t.drainSince = *change.Drain, t.now()
	}
	if change.Shed != nil {
		t.shed = *change.Shed
	}
	if change.StallMillis != nil {
		t.stall = time.Duration(*change.StallMillis) * time.Millisecond
	}
	if change.Freeze != nil {
		t.freeze(*change.Freeze)
	}
	if change.Cold {
		t.startColdRamp()
	}
	t.mutex.Unlock()
	if change.Crash {
		t.Crash()
	}
}

// Crash ends the incarnation and starts a new one. Running and queued requests get no response. The lease, the grants,
// the reported load and the drain state are reset; the recorded runs, the counters of the report and the other settings
// of TargetControl are kept.
func (t *Target) Crash() {
	t.mutex.Lock()
	for ended := range t.attempts {
		if ended.run != nil {
			t.recordEnd(ended.run, RunCrashed)
		}
	}
	close(t.crashed)
	t.restart()
	t.mutex.Unlock()
	if t.options.OnCrash != nil {
		t.options.OnCrash()
	}
}

// Runs returns copies of all runs in the order in which they started.
func (t *Target) Runs() []Run {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	runs := make([]Run, 0, len(t.runs))
	for _, run := range t.runs {
		runs = append(runs, *run)
	}
	return runs
}

// Report returns the current state.
func (t *Target) Report() TargetReport {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	refused := make(map[target.RefusalReason]int, len(t.refused))
	for reason, count := range t.refused {
		refused[reason] = count
	}
	return TargetReport{
		Incarnation: t.incarnation,
		Clock:       t.now(),
		Term:        t.lease.term,
		LeaseUntil:  t.lease.validUntil,
		Grants:      len(t.lease.grants),
		Running:     t.running,
		Queued:      len(t.queue),
		Refused:     refused,
		Overloads:   t.overloads,
	}
}

// restart begins a new incarnation. The caller holds the mutex, except in the constructor.
func (t *Target) restart() {
	t.incarnation = model.Incarnation(rand.Uint64()>>1 | 1)
	t.lease = newLease()
	t.attempts = map[*attempt]struct{}{}
	t.running, t.load, t.queue = 0, 0, nil
	t.drain = false
	t.crashed = make(chan struct{})
	t.startColdRamp()
}

func (t *Target) startColdRamp() {
	t.cold = t.options.ColdStart > 0
	t.coldSince = t.now()
}

// freeze freezes or unfreezes the target. The caller holds the mutex.
func (t *Target) freeze(on bool) {
	select {
	case <-t.unfrozen:
		if on {
			t.unfrozen = make(chan struct{})
		}
	default:
		if !on {
			close(t.unfrozen)
		}
	}
}

// holdWhileFrozen wraps a handler so that requests that arrive during a freeze are handled after it.
func (t *Target) holdWhileFrozen(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		t.waitWhileFrozen(r)
		next(w, r)
	}
}

// waitWhileFrozen waits until the target is not frozen. It aborts the request without a response if the connection of
// the caller closes.
func (t *Target) waitWhileFrozen(r *http.Request) {
	for {
		t.mutex.Lock()
		unfrozen := t.unfrozen
		t.mutex.Unlock()
		select {
		case <-unfrozen:
			return
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
	}
}

func (t *Target) control(w http.ResponseWriter, r *http.Request) {
	var change TargetControl
	if readJSON(w, r, &change) {
		t.Control(change)
		writeJSON(w, http.StatusOK, t.Report())
	}
}

// now returns the time on the target's monotonic clock, which starts at 0.
func (t *Target) now() model.Instant {
	if t.options.Now != nil {
		return t.options.Now()
	}
	return model.Instant(time.Since(t.origin))
}

// concurrencyLimit returns the current limit of concurrent requests, and ends the cold start when the ramp is complete.
// The caller holds the mutex.
func (t *Target) concurrencyLimit() int {
	elapsed := t.now().Sub(t.coldSince)
	if !t.cold || elapsed >= t.options.ColdStart {
		t.cold = false
		return t.options.Concurrency
	}
	ramp := float64(t.options.Concurrency-t.options.ColdInitial) * float64(elapsed) / float64(t.options.ColdStart)
	return t.options.ColdInitial + int(ramp)
}

// reportedLoad returns the number of running and queued requests, up to LoadLag old. The caller holds the mutex.
func (t *Target) reportedLoad() int {
	if now := t.now(); now.Sub(t.loadAt) >= t.options.LoadLag {
		t.load, t.loadAt = t.running+len(t.queue), now
	}
	return t.load
}
