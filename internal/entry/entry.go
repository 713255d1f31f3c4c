package entry

import (
	"context"
	"os"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/joomcode/errorx"

	"github.com/tarragonpoint/tarragonpoint/internal/config"
	"github.com/tarragonpoint/tarragonpoint/internal/control"
	"github.com/tarragonpoint/tarragonpoint/internal/dispatch"
	"github.com/tarragonpoint/tarragonpoint/internal/front"
	"github.com/tarragonpoint/tarragonpoint/internal/logging"
	"github.com/tarragonpoint/tarragonpoint/internal/message"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/platform"
	"github.com/tarragonpoint/tarragonpoint/internal/quarantine"
	"github.com/tarragonpoint/tarragonpoint/internal/record"
	"github.com/tarragonpoint/tarragonpoint/internal/route"
	"github.com/tarragonpoint/tarragonpoint/internal/settings"
	"github.com/tarragonpoint/tarragonpoint/internal/telemetry"
)

const (
	// tenantLabels is the number of tenants with a metric label of their own; the others share one label.
	tenantLabels = 200
	// leaveTimeout limits the wait for the record with which this VM leaves its cell. Without that record the other
	// members detect after cell.SuspectAfter that this VM is unresponsive.
	leaveTimeout = 3 * time.Second
	// stopTimeout limits the time in which the plug-ins stop after the requests have ended.
	stopTimeout = 5 * time.Second
)

var (
	errNamespace = errorx.NewNamespace("entry")
	// ErrStart reports that the entry role could not start.
	ErrStart = errNamespace.NewType("start")
)

// entry is the running entry role.
type entry struct {
	settings   settings.Entry
	clock      clock
	log        *logging.Logger
	metrics    *telemetry.Metrics
	plugins    *plugins
	loop       *loop
	dispatcher *dispatch.Dispatcher
	policies   *policies
	hotKeys    *hotKeys
	readiness  readiness
	background sync.WaitGroup
}

// Run runs the entry role until ctx ends, then stops gracefully within the drain time. It returns ErrStart if the role
// cannot start.
func Run(ctx context.Context, configured settings.Entry) error {
	log, err := logging.New(logging.Settings{Level: configured.LogLevel, Output: os.Stderr})
	if err != nil {
		return ErrStart.Wrap(err, "log")
	}
	e, err := newEntry(configured, log)
	if err != nil {
		return ErrStart.Wrap(err, "the entry role cannot start")
	}
	logSettingsWarnings(e.log, configured, os.Environ())
	return e.run(ctx)
}

func newEntry(configured settings.Entry, log *logging.Log) (*entry, error) {
	adapters, err := newPlugins(configured.Plugins)
	if err != nil {
		return nil, err
	}
	c := newClock()
	metrics := telemetry.New(tenantLabels)
	e := &entry{
		settings: configured,
		clock:    c,
		log:      log.Part(logging.Entry),
		metrics:  metrics,
		plugins:  adapters,
		policies: newPolicies(c, log.Part(logging.Dispatch), metrics),
		hotKeys:  newHotKeys(c),
	}
	e.loop = newLoop(control.NewNode(nodeSettings(configured)), c)
	e.dispatcher = e.newDispatcher()
	e.loop.publish = e.publish
	e.loop.effects = &effects{
		publisher: &platform.Publisher{Log: adapters.log},
		target:    adapters.target,
		peer:      adapters.peer,
		metrics:   e.metrics,
		log:       log.Part(logging.Control),
		withheld:  e.withheld,
		post:      e.loop.post,
	}
	adapters.peer.SetHandler(e.onPeerMessage)
	installTestPartition(adapters.peer, e.log)
	provider := &host{settings: configured, log: log, metrics: e.metrics, front: e.frontSettings(log)}
	return e, adapters.set.Provision(provider)
}

func nodeSettings(configured settings.Entry) control.Settings {
	seeds := make(map[model.VMID]string, len(configured.Peers))
	for _, peer := range configured.Peers {
		if peer.VM == configured.VM {
			continue
		}
		seeds[peer.VM] = peer.Address
	}
	return control.Settings{
		VM:          configured.VM,
		Zone:        configured.Zone,
		Region:      configured.Region,
		Incarnation: model.Incarnation(time.Now().UnixMilli()),
		Address:     configured.ListenPeers,
		Seeds:       seeds,
		Retention:   configured.LogRetention,
		NewID:       record.NewID,
	}
}

func (e *entry) newDispatcher() *dispatch.Dispatcher {
	return dispatch.New(dispatch.Options{
		Client:     e.plugins.target,
		Sender:     e.plugins.peer,
		Clock:      e.clock,
		Chooser:    chooser{policies: e.policies, serviceOf: e.serviceOf},
		Retry:      retryBudgets{e.policies},
		Hedger:     hedgeBudgets{e.policies},
		Admission:  admissionLimits{e.policies},
		Quarantine: quarantineFilter{table: quarantine.NewTable(quarantineCapacity), seed: e.fingerprintSeed()},
		Observer:   observer{e.policies},
		Successors: successors{table: e.loop.table.Load},
	})
}

// fingerprintSeed returns the seed of the quarantine's fingerprints. It is derived from the first peer key, so it is
// the same on all entry VMs that have the same first key.
func (e *entry) fingerprintSeed() uint64 {
	if len(e.settings.PeerKeys) == 0 {
		return 0
	}
	return xxhash.Sum64(append([]byte("fingerprint"), e.settings.PeerKeys[0].Reveal()...))
}

func (e *entry) frontSettings(log *logging.Log) front.Settings {
	return front.Settings{
		Listen:            e.settings.ListenCallers,
		AdminListen:       e.settings.ListenAdmin,
		Handler:           e.dispatcher,
		Ready:             e.ready,
		Metrics:           e.metrics.Handler(),
		Admin:             adminHandler(e.table),
		OnCompleted:       e.requestDone,
		Log:               log.Part(logging.Front),
		MaxHeaderBytes:    e.settings.MaxHeaderBytes,
		MaxBodyBytes:      e.settings.MaxBodyBytes,
		MaxConnections:    e.settings.MaxConnections,
		ReadHeaderTimeout: e.settings.ReadTimeout,
		BodyTimeout:       e.settings.ReadTimeout,
		RequestTimeout:    e.settings.RequestTimeout,
		WriteTimeout:      e.settings.RequestTimeout,
		DrainDelay:        e.settings.BalancerDelay,
	}
}

// table returns the current routing table; an empty one until the control loop has published its first table.
func (e *entry) table() *route.Table {
	if table := e.loop.table.Load(); table != nil {
		return table
	}
	return &route.Table{VM: e.settings.VM, Zone: e.settings.Zone, Region: e.settings.Region}
}

func (e *entry) ready() bool { return e.readiness.isReady(e.clock.Now(), e.table()) }

func (e *entry) serviceOf(id model.TargetID) model.Service {
	if target, found := e.table().Targets[id]; found {
		return target.Service
	}
	return ""
}

// withheld returns the share of its normal requests that this VM withholds from a target, in percent.
func (e *entry) withheld(id model.TargetID) int {
	policy := e.policies.service(e.serviceOf(id))
	if policy == nil {
		return 0
	}
	return int(100 * (1 - policy.tracker.Share(e.clock.Now(), id)))
}

// publish applies a new routing table from the control loop to the policies, the dispatcher and the metrics.
func (e *entry) publish(table *route.Table, state config.State) {
	e.policies.update(table, state)
	e.dispatcher.SetTable(table)
	e.metrics.Ready(table.Ready)
	e.metrics.ConfigVersion(table.ConfigVersion)
	e.metrics.AssignOffset(table.AssignOffset)
}

// onPeerMessage routes messages about requests to the dispatcher and all others to the control loop.
func (e *entry) onPeerMessage(from model.VMID, m message.Message) {
	switch {
	case m.Forward != nil, m.ForwardReply != nil, m.CancelForward != nil, m.CloseID != nil, m.Strike != nil, m.Handover != nil:
		e.dispatcher.OnMessage(from, m)
	default:
		e.loop.offer(from, m)
	}
}

func (e *entry) requestDone(done front.CompletedRequest) {
	table := e.table()
	account, registered := table.Tenants[done.Preview.Tenant]
	class := model.AnyRegion
	if registered {
		class = account.Class
	}
	e.metrics.RequestDone(telemetry.Request{
		Tenant:     done.Preview.Tenant,
		ShowTenant: registered && class.Allows(table.Region),
		Class:      class,
		Outcome:    done.Outcome,
		Code:       done.Code,
		Duration:   done.Duration,
	})
	e.hotKeys.add(table, done.Preview.Tenant, done.Preview.Service, done.Preview.Key)
}
