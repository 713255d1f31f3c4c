package dispatch

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/dedup"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/route"
	"github.com/tarragonpoint/tarragonpoint/internal/target"
)

// Options configures a Dispatcher. Client, Sender and Clock are required; the other fields have defaults.
type Options struct {
	Client     target.Client
	Sender     Sender
	Clock      Clock
	Dedup      *dedup.Table
	Chooser    Chooser
	Retry      RetryBudget
	Hedger     Hedger
	Admission  Admission
	Quarantine Quarantine
	Observer   Observer
	Successors Successors
	// Workers, Queue, MaxInFlight, MaxPending and GateQueue are limits; 0 selects the default.
	Workers     int
	Queue       int
	MaxInFlight int
	MaxPending  int
	GateQueue   int
}

// view is the immutable routing state that the request path reads.
type view struct {
	table *route.Table
	// leavingSince maps each target that gets no new work to the time of the first table that reported it as leaving.
	leavingSince map[model.TargetID]model.Instant
}

// slotCoverage is the coverage of a slot that was last passed to the at-most-once table.
type slotCoverage struct {
	since model.Instant
	// wall is since on the wall clock. It is converted only once, so that clock drift does not start a new horizon.
	wall  time.Time
	fence model.Fence
}

// Dispatcher is the request path of one entry VM. It implements Handler and is safe for concurrent use.
type Dispatcher struct {
	Options
	current atomic.Pointer[view]
	// tableMu serializes SetTable and the export at a stop.
	tableMu  sync.Mutex
	coverage map[model.Slot]slotCoverage
	exported bool

	lifecycle   lifecycle
	pool        *pool
	gates       gates
	pending     pendingForwards
	running     runningForwards
	coldReports coldReports
	// base is canceled at the end of Stop.
	base   context.Context
	cancel context.CancelFunc

	attemptPrefix string
	attempts      atomic.Uint64
}

var _ Handler = (*Dispatcher)(nil)

// New returns a Dispatcher that rejects requests until SetTable is called with a table that is ready. Stop ends its
// goroutines.
func New(options Options) *Dispatcher {
	options.setPolicyDefaults()
	options.setLimitDefaults()
	base, cancel := context.WithCancel(context.Background())
	d := &Dispatcher{
		Options:       options,
		coverage:      map[model.Slot]slotCoverage{},
		lifecycle:     lifecycle{limit: options.MaxInFlight, idle: make(chan struct{})},
		pool:          newPool(options.Workers, options.Queue),
		gates:         gates{byTarget: map[model.TargetID]*gate{}, maxQueue: options.GateQueue},
		pending:       pendingForwards{byAttempt: map[string]pendingForward{}, limit: options.MaxPending},
		running:       runningForwards{byKey: map[runningKey]context.CancelFunc{}},
		base:          base,
		cancel:        cancel,
		attemptPrefix: fmt.Sprintf("%016x", rand.Uint64()),
	}
	d.current.Store(&view{table: &route.Table{}})
	return d
}

func (o *Options) setPolicyDefaults() {
	if o.Dedup == nil {
		o.Dedup = dedup.New(dedup.Limits{})
	}
	if o.Chooser == nil {
		o.Chooser = defaultChooser{}
	}
	if o.Retry == nil {
		o.Retry = newDefaultRetryBudget()
	}
	if o.Hedger == nil {
		o.Hedger = noHedger{}
	}
	if o.Admission == nil {
		o.Admission = noAdmission{}
	}
	if o.Quarantine == nil {
		o.Quarantine = noQuarantine{}
	}
	if o.Observer == nil {
		o.Observer = noObserver{}
	}
	if o.Successors == nil {
		o.Successors = noSuccessors{}
	}
}

func (o *Options) setLimitDefaults() {
	setDefault(&o.Workers, DefaultWorkers)
	setDefault(&o.Queue, DefaultQueue)
	setDefault(&o.MaxInFlight, DefaultMaxInFlight)
	setDefault(&o.MaxPending, DefaultMaxPending)
	setDefault(&o.GateQueue, DefaultGateQueue)
}

func setDefault(value *int, fallback int) {
	if *value <= 0 {
		*value = fallback
	}
}

// nextAttempt returns an attempt ID that is unique across the deployment.
func (d *Dispatcher) nextAttempt() string {
	return fmt.Sprintf("%s-%d", d.attemptPrefix, d.attempts.Add(1))
}

// Timeout returns the default request timeout of a service.
func (d *Dispatcher) Timeout(service model.Service) time.Duration {
	if found := d.current.Load().table.Services[service]; found != nil && found.Timeout > 0 {
		return found.Timeout
	}
	return DefaultTimeout
}
