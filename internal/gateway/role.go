// Package gateway is the role of an entry VM on the users' platform: it routes callers' requests by host and path,
// sends each to a target, and assigns the keys of keyed services to targets.
//
// All VMs run the same role. Persistent state is in the platform's store. The decision logic is in separate packages
// (keyspace, registry, picker, retry, fleet); this package connects them to sockets and the store.
package gateway

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/tarragonpoint/tarragonpoint/internal/bounds"
	"github.com/tarragonpoint/tarragonpoint/internal/callerconn"
	"github.com/tarragonpoint/tarragonpoint/internal/hub"
	"github.com/tarragonpoint/tarragonpoint/internal/keyspace"
	"github.com/tarragonpoint/tarragonpoint/internal/logging"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/picker"
	"github.com/tarragonpoint/tarragonpoint/internal/quarantine"
	"github.com/tarragonpoint/tarragonpoint/internal/retry"
	"github.com/tarragonpoint/tarragonpoint/internal/shares"
	"github.com/tarragonpoint/tarragonpoint/internal/throttle"
	"github.com/tarragonpoint/tarragonpoint/internal/upstream"
	"github.com/tarragonpoint/tarragonpoint/platform"
)

const (
	// retryShareFactor is the fraction of the common retry share that VMs use. It is below 1, because the windows of the
	// VMs are not aligned.
	retryShareFactor = 0.8
	// retryBurstFactor is the fraction of the common retry burst that VMs use.
	retryBurstFactor = 0.7
	// balancerDetectionDelay is the time after which the load balancer sends no new connections to a VM that is not
	// ready: two checks one second apart, and one more because their phase is unknown.
	balancerDetectionDelay = 2500 * time.Millisecond
	// shutdownMargin is the part of the grace period reserved for the exit of the process.
	shutdownMargin = 200 * time.Millisecond
	// responseMargin is how long before the end of the grace period open requests get a response without waiting for
	// their targets.
	responseMargin = 400 * time.Millisecond
	// housekeepingInterval is the time between two runs of the housekeeping, which drops the statistics of unused targets,
	// logs changes of the readiness and updates the gauges.
	housekeepingInterval = 500 * time.Millisecond
	// stallThreshold is the delay of a timer from which the process counts as stalled. An unloaded VM wakes within a few
	// milliseconds.
	stallThreshold = 100 * time.Millisecond
	// statsRetention is how long the statistics of an unused target are kept.
	statsRetention = time.Minute
)

type budget = *retry.WindowBudget

// gateway is the state of the role on one VM.
type gateway struct {
	settings   Settings
	clock      clock
	log        *logging.Log
	metrics    *metrics
	store      *platform.Store
	targets    *platform.TargetClient
	state      *state
	picker     *picker.Picker
	throttle   *throttle.Throttle
	holds      *holdEvidence
	absence    leaderAbsence
	controller *controller
	// reportNow wakes the goroutine that sends reports when the leader changes or a strike is to be shared.
	reportNow chan struct{}
	// quarantine blocks requests that crash targets, strikes shares its strikes with the other VMs, and runs remembers what
	// targets have lately run to its end.
	quarantine *quarantine.Table
	strikes    *sharedStrikes
	runs       *quarantine.Runs
	// callerBodies is the memory for the bodies of unfinished requests.
	callerBodies *bounds.BodyMemory
	// completeSince is when this VM could first have served but for the strikes; 0 before.
	completeSince atomic.Int64
	// lastReadTable is the newest table that the follower of the assignment has read; only that follower uses it.
	lastReadTable *keyspace.Table
	// era is the era of the store.
	era storeEra
	// followers read the topics of the store.
	followers []*topicFollower
	load      *keyLoad
	work      *keyWork
	watched   *watchList
	// verified holds which connections lead to a known process; healthChecks serializes the health checks of an address.
	verified     *verifiedConnections
	healthChecks *addressLocks
	hub          *hub.Server
	// dialLeader opens the link to the leader at an address; tests slow or cut it.
	dialLeader func(ctx context.Context, address string) (*hub.Client, error)
	// distribution is this VM's part in the distribution of records in a large deployment.
	distribution *distribution
	outage       *storeOutage
	split        *splitter
	cold         *coldLimiter
	deadlines    *deadlineTracker
	draining     atomic.Bool
	// lastResponseAt is when requests in progress get a response without waiting for their targets, because the process is
	// about to end; 0 while the VM is not stopping.
	lastResponseAt atomic.Int64
	// connections are the connections of callers.
	connections *callerconn.Tracker
	// requestsContext ends when the last open requests must get their response.
	requestsContext context.Context
	cancelRequests  context.CancelFunc

	// position is this VM's position among all VMs as last reported by the leader; nil before the first report.
	position atomic.Pointer[hub.Position]
	// shares are the leases of this VM's shares of common limits.
	shares *shares.Holder
	// quotas are this VM's parts of the tenants' limits; nil if the settings have no quotas.
	quotas *quotas

	budgetsMu sync.Mutex
	budgets   map[model.Service]budget
}

// Run runs the role until ctx ends, drains, and returns when all requests have a response or the grace period has
// passed.
func Run(ctx context.Context, settings Settings) error {
	if err := settings.Check(); err != nil {
		return err
	}
	output := logging.NewAsyncWriter(os.Stdout)
	log, err := logging.New(logging.Settings{Level: settings.LogLevel, Output: output, JSON: true})
	if err != nil {
		return err
	}
	g, err := newGateway(settings, log)
	if err != nil {
		return err
	}
	if limit := settings.heapLimit(); limit > 0 {
		debug.SetMemoryLimit(limit)
	}
	err = g.run(ctx)
	select {
	case <-output.Close():
	case <-time.After(shutdownMargin / 2):
	}
	return err
}

func newGateway(settings Settings, log *logging.Log) (*gateway, error) {
	regions, err := settings.regions()
	if err != nil {
		return nil, err
	}
	clock := newClock()
	g := &gateway{
		settings: settings, clock: clock, log: log, metrics: newMetrics(),
		store: platform.NewStore(settings.StoreAddress), targets: newTargetClient(clock, settings.bodyMemory()),
		state: newState(regions), picker: picker.New(rand.Float64), work: newKeyWork(),
		dialLeader: hub.Dial, distribution: newDistribution(), reportNow: make(chan struct{}, 1), outage: newStoreOutage(),
		watched: newWatchList(), verified: newVerifiedConnections(), healthChecks: newAddressLocks(), split: newSplitter(),
		shares: shares.NewHolder(), deadlines: newDeadlineTracker(),
		budgets: map[model.Service]budget{}, throttle: throttle.New(),
		quarantine: quarantine.New(quarantine.Options{StrikesToBlock: strikesToBlock}), strikes: newSharedStrikes(),
		runs: quarantine.NewRuns(), callerBodies: bounds.NewCallerBodyMemory(settings.callerBodyMemory()),
	}
	g.store.OnEra = g.eraSeen
	g.connections = &callerconn.Tracker{
		MaxConnections: settings.maxConnections(), HeadMemory: bounds.NewBodyMemory(settings.headMemory()),
	}
	g.quotas = newQuotas(settings, time.Now())
	g.cold = newColdLimiter(g.shares.InGroup)
	g.load = newKeyLoad(g.clock.Now)
	g.hub = hub.NewServer(g.clock.Now, func() bool { return g.controller.isLeader.Load() }, g.leadershipConfirmed,
		g.handleReport, settings.RetryWindow)
	if g.quotas != nil {
		g.hub.DivideQuotas(settings.quotaBounds(), g.quotaLimit)
	}
	g.requestsContext, g.cancelRequests = context.WithCancel(context.Background())
	incarnation := strconv.FormatUint(rand.Uint64(), 36)
	g.controller = newController(g, settings.VM+"/"+incarnation)
	g.holds = newHoldEvidence(g.controller.settings)
	g.hub.SetGreeting(g.greeting)
	g.followers = []*topicFollower{g.operatorFollower(), g.targetFollower(), g.tableFollower(), g.strikeFollower()}
	for _, f := range g.followers {
		f.readNow = make(chan struct{}, 1)
	}
	return g, nil
}

// newTargetClient returns a client with a connection pool of its own, which reads a clock.
func newTargetClient(clock clock, bodyMemory int64) *platform.TargetClient {
	return platform.NewTargetClient(upstream.NewPool(upstream.Options{BodyMemory: bodyMemory, Now: clock.Now}))
}

func (g *gateway) newBudget() budget {
	return retry.NewWindowBudget(g.settings.RetryShare*retryShareFactor, g.settings.RetryWindow)
}

// run serves until ctx ends and then drains.
func (g *gateway) run(ctx context.Context) error {
	log := g.log.Part(logging.Entry)
	workContext, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWork()
	callers, err := g.startServers()
	if err != nil {
		return err
	}
	log.Event("process starts", logging.VM(model.VMID(g.settings.VM)), logging.Zone(model.Zone(g.settings.Zone)),
		logging.Address(g.settings.ListenCallers), logging.Name(g.controller.self))
	g.startWork(workContext)
	<-ctx.Done()
	g.stop(callers)
	log.Event("process stops", logging.VM(model.VMID(g.settings.VM)))
	return nil
}

func (g *gateway) startWork(ctx context.Context) {
	for _, f := range g.followers {
		go f.run(ctx)
	}
	go g.controller.run(ctx)
	go g.controller.maintainMembership(ctx)
	go g.followLeader(ctx)
	go g.followParents(ctx)
	go g.storeStrikes(ctx)
	if g.quotas != nil {
		go g.storeQuotaNames(ctx)
	}
	go g.housekeeping(ctx)
	go g.watchReload(ctx)
}

// watchReload handles SIGHUP, the signal that the settings file has changed. Addresses and names of a process do not
// change while it runs, so there is nothing to apply, and no request is interrupted.
func (g *gateway) watchReload(ctx context.Context) {
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	for {
		select {
		case <-reload:
			g.log.Part(logging.Entry).Event("reload signal ignored", logging.Reason("no setting takes effect without a restart"))
		case <-ctx.Done():
			return
		}
	}
}

func (g *gateway) housekeeping(ctx context.Context) {
	wasReady := false
	for ctx.Err() == nil {
		now := g.clock.Now()
		g.picker.Forget(now, statsRetention)
		g.throttle.Forget(now, statsRetention)
		if ready := g.ready(); ready != wasReady {
			wasReady = ready
			g.log.Part(logging.Entry).Event("readiness changes", logging.State(strconv.FormatBool(ready)))
		}
		g.reportGauges()
		g.recheckFailed(ctx)
		sleptAt := g.clock.Now()
		sleep(ctx, housekeepingInterval)
		g.reportStall(g.clock.Now().Sub(sleptAt) - housekeepingInterval)
	}
}

// reportStall records how late a timer fired, because the VM was suspended or had no free processor time.
func (g *gateway) reportStall(delay time.Duration) {
	g.metrics.wakeDelay.RecordDuration(max(0, delay))
	if delay >= stallThreshold {
		g.log.Part(logging.Entry).Event("process stalled", logging.Duration(delay), logging.Threshold(stallThreshold))
	}
}

func (g *gateway) reportGauges() {
	counters := g.targets.Pool().Counters()
	g.metrics.gauge("connections_opened", float64(counters.Opened))
	g.metrics.gauge("connections_reused", float64(counters.Reused))
	g.metrics.gauge("connections_failed", float64(counters.Failed))
	g.metrics.gauge("caller_connections_refused", float64(g.connections.Refused()))
	g.metrics.gauge("attempts_in_flight", float64(g.metrics.inFlight()))
	era, changedAt := g.era.get()
	g.metrics.gauge("store_era", float64(era))
	g.metrics.gauge("store_era_changed_seconds", changedAt)
	g.reportQuotas()
	g.metrics.gauge("record_subscribers", float64(g.hub.Records().Subscribers()))
	if config := g.state.config.Load(); config != nil {
		g.metrics.gauge("config_version", float64(config.Version))
	}
	if table := g.state.table.Load(); table != nil {
		g.metrics.gauge("assignment_offset", float64(model.OffsetOf(table.Offset)))
		unready, unconfirmed := g.holds.waiting(g.clock.Now(), table)
		g.metrics.gauge("ranges_unready", float64(unready))
		g.metrics.gauge("ranges_unconfirmed", float64(unconfirmed))
	}
}

// startServers starts the servers for callers, readiness checks, other VMs and metrics.
func (g *gateway) startServers() (*http.Server, error) {
	callers := g.newServer()
	listener, err := listen(g.settings.ListenCallers)
	if err != nil {
		return nil, err
	}
	serveListener(callers, g.connections.Listener(listener))
	if err := serve(newInternalServer(g.readyRouter()), g.settings.ListenReady); err != nil {
		return nil, err
	}
	router := chi.NewRouter()
	router.Handle(hub.Path, g.hub)
	router.Handle(hub.RecordsPath, g.hub.Records())
	if err := serve(newInternalServer(router), g.settings.ListenPeers); err != nil {
		return nil, err
	}
	if g.settings.ListenMetrics == "" {
		return callers, nil
	}
	pages := chi.NewRouter()
	pages.Handle("/metrics", g.metrics.handler())
	return callers, serve(newInternalServer(pages), g.settings.ListenMetrics)
}

// newInternalServer returns a server for clients of the deployment itself, such as other VMs and readiness checks.
func newInternalServer(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: internalIdleTimeout}
}

func (g *gateway) readyRouter() http.Handler {
	router := chi.NewRouter()
	router.Get(platform.ReadinessPath, func(w http.ResponseWriter, _ *http.Request) {
		if !g.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	return router
}

func serve(server *http.Server, address string) error {
	listener, err := listen(address)
	if err != nil {
		return err
	}
	serveListener(server, listener)
	return nil
}

func serveListener(server *http.Server, listener net.Listener) {
	// Serve returns only on shutdown, which the caller initiates itself.
	go func() { _ = server.Serve(listener) }()
}

// stop drains the VM: the readiness check fails first, and the load balancer needs time to detect that.
func (g *gateway) stop(callers *http.Server) {
	g.lastResponseAt.Store(int64(g.clock.Now().Add(g.settings.Grace - responseMargin)))
	g.draining.Store(true)
	g.log.Part(logging.Entry).Event("process drains", logging.Duration(g.settings.Grace))
	ctx, cancel := context.WithTimeout(context.Background(), g.settings.Grace-shutdownMargin)
	defer cancel()
	defer g.cancelRequests()
	go g.controller.resign(ctx)
	last := time.AfterFunc(g.settings.Grace-responseMargin, g.cancelRequests)
	defer last.Stop()
	sleep(ctx, balancerDetectionDelay)
	closed, err := g.connections.Shutdown(ctx, callers)
	g.log.Part(logging.Entry).Event("idle connections of callers closed", logging.Count(closed.Closed),
		logging.Awaited(closed.Awaited), logging.Duration(closed.Waited))
	if err != nil {
		g.log.Part(logging.Entry).Event("open requests aborted at the end of the grace period", logging.SystemError(err))
	}
	g.targets.Pool().Close()
}
