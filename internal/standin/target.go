package standin

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/target"
)

// RequestIDHeader carries the caller's request ID.
const RequestIDHeader = "Tarragon-Request-Id"

// TargetOptions describes a target.
type TargetOptions struct {
	ID model.TargetID
	// Concurrency is the number of requests that run at a time, 0 means 4; Queue is the number that may wait.
	Concurrency, Queue int
	// ServiceTime is how long a request runs. A request may set its own with the query parameter work_ms.
	ServiceTime time.Duration
	// ColdStart is the length of the ramp from ColdInitial to Concurrency after a start.
	ColdStart   time.Duration
	ColdInitial int
	// LoadLag is how late the reported load is.
	LoadLag time.Duration
	// DrainGrace is how long a target that drains still takes requests.
	DrainGrace time.Duration
	// Unchecked ignores fences, terms and leases, but not deadlines.
	Unchecked bool
	// Now replaces the monotonic clock in tests.
	Now func() model.Instant
	// Journal is called with a copy of a run when it starts and when it ends, so that the record of runs outlives the
	// process. It must not call the target.
	Journal func(run Run)
	// OnCrash is called after the state was reset, for instance to close connections or to exit.
	OnCrash func()
}

// Outcome says how a run ended.
type Outcome string

// Outcomes of a run.
const (
	RunDone      Outcome = "done"
	RunCancelled Outcome = "cancelled"
	RunCrashed   Outcome = "crashed"
	RunOpen      Outcome = "open"
)

// Run records one run of a request.
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

// TargetReport is the answer of GET /control/report.
type TargetReport struct {
	Incarnation model.Incarnation            `json:"incarnation"`
	Clock       model.Instant                `json:"clock"`
	Term        model.Term                   `json:"term"`
	LeaseUntil  model.Instant                `json:"lease_until"`
	Grants      int                          `json:"grants"`
	Running     int                          `json:"running"`
	Queued      int                          `json:"queued"`
	Refused     map[target.RefusalReason]int `json:"refused"`
	// Overloads counts the requests that started above what the target bears in its cold start.
	Overloads int `json:"overloads"`
}

// TargetControl is the body of POST /control. Fields that are nil change nothing.
type TargetControl struct {
	Drain *bool `json:"drain"`
	Shed  *bool `json:"shed"`
	// Freeze answers nothing and keeps sockets open until it is false again.
	Freeze *bool `json:"freeze"`
	// StallMillis is added to the time of every request that starts from now on.
	StallMillis *int64 `json:"stall_ms"`
	// Cold starts a cold ramp without a restart.
	Cold bool `json:"cold"`
	// Crash loses all state and starts a new incarnation.
	Crash bool `json:"crash"`
}

// Target is a server behind the router.
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
	// thawed is closed unless the target is frozen; crashed is closed when the incarnation ends.
	thawed, crashed chan struct{}
}

// NewTarget returns a target that has just started.
func NewTarget(options TargetOptions) *Target {
	if options.Concurrency <= 0 {
		options.Concurrency = 4
	}
	t := &Target{options: options, mux: http.NewServeMux(), origin: time.Now(), refused: map[target.RefusalReason]int{}}
	t.thawed = make(chan struct{})
	close(t.thawed)
	t.restart()
	t.mux.HandleFunc("POST /tarragon/v1/renew", t.frozen(t.renew))
	t.mux.HandleFunc("POST /tarragon/v1/revoke", t.frozen(t.revoke))
	t.mux.HandleFunc("POST /tarragon/v1/cancel", t.frozen(t.cancel))
	t.mux.HandleFunc("POST /control", t.control)
	t.mux.HandleFunc("GET /control/runs", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, t.Runs()) })
	t.mux.HandleFunc("GET /control/report", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, t.Report()) })
	t.mux.HandleFunc("/", t.frozen(t.serve))
	return t
}

// ServeHTTP implements http.Handler.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) { t.mux.ServeHTTP(w, r) }

// Control changes the behaviour of the target.
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
		t.turnCold()
	}
	t.mutex.Unlock()
	if change.Crash {
		t.Crash()
	}
}

// Crash ends the incarnation: running and queued requests get no answer, and all state but the record of runs is lost.
func (t *Target) Crash() {
	t.mutex.Lock()
	for ended := range t.attempts {
		if ended.run != nil {
			t.finish(ended.run, RunCrashed)
		}
	}
	close(t.crashed)
	t.restart()
	t.mutex.Unlock()
	if t.options.OnCrash != nil {
		t.options.OnCrash()
	}
}

// Runs returns copies of all runs, in order of their start.
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
		LeaseUntil:  t.lease.until,
		Grants:      len(t.lease.grants),
		Running:     t.running,
		Queued:      len(t.queue),
		Refused:     refused,
		Overloads:   t.overloads,
	}
}

// restart begins a new incarnation. The mutex is held, except in the constructor.
func (t *Target) restart() {
	t.incarnation = model.Incarnation(rand.Uint64()>>1 | 1)
	t.lease = newLease()
	t.attempts = map[*attempt]struct{}{}
	t.running, t.load, t.queue = 0, 0, nil
	t.drain = false
	t.crashed = make(chan struct{})
	t.turnCold()
}

func (t *Target) turnCold() {
	t.cold = t.options.ColdStart > 0
	t.coldSince = t.now()
}

// freeze holds back everything. The mutex is held.
func (t *Target) freeze(on bool) {
	select {
	case <-t.thawed:
		if on {
			t.thawed = make(chan struct{})
		}
	default:
		if !on {
			close(t.thawed)
		}
	}
}

// frozen wraps a handler so that calls that arrive during a freeze are handled after it.
func (t *Target) frozen(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		t.waitThawed(r)
		next(w, r)
	}
}

// waitThawed returns when the target is not frozen. It ends the call without an answer if its connection closes.
func (t *Target) waitThawed(r *http.Request) {
	for {
		t.mutex.Lock()
		thawed := t.thawed
		t.mutex.Unlock()
		select {
		case <-thawed:
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

// now returns the monotonic clock.
func (t *Target) now() model.Instant {
	if t.options.Now != nil {
		return t.options.Now()
	}
	return model.Instant(time.Since(t.origin))
}

// limit returns the number of concurrent requests that the target bears now. The mutex is held.
func (t *Target) limit() int {
	passed := t.now().Sub(t.coldSince)
	if !t.cold || passed >= t.options.ColdStart {
		t.cold = false
		return t.options.Concurrency
	}
	ramp := float64(t.options.Concurrency-t.options.ColdInitial) * float64(passed) / float64(t.options.ColdStart)
	return t.options.ColdInitial + int(ramp)
}

// reportedLoad returns a load that is up to LoadLag old. The mutex is held.
func (t *Target) reportedLoad() int {
	if now := t.now(); now.Sub(t.loadAt) >= t.options.LoadLag {
		t.load, t.loadAt = t.running+len(t.queue), now
	}
	return t.load
}
