package gateway

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/keyspace"
	"github.com/tarragonpoint/tarragonpoint/internal/logging"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/report"
)

const (
	// loadTime is the time constant of the keys' load: hot keys change within seconds.
	loadTime = 3 * time.Second
	// decayStep is the shortest time after which a load is decayed, as each decay touches all buckets.
	decayStep = 250 * time.Millisecond
	// unknownVMs is the number of VMs among which common budgets are divided until the leader has told it. It is above
	// the number of VMs of any deployment in use, so that no budget is exceeded.
	unknownVMs = 100
)

// keyWork collects the work on keys at this VM until it is reported.
type keyWork struct {
	mu       sync.Mutex
	services map[model.Service]map[uint16]time.Duration
}

func newKeyWork() *keyWork { return &keyWork{services: map[model.Service]map[uint16]time.Duration{}} }

// add records work on a key.
func (k *keyWork) add(service model.Service, key int, work time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	buckets := k.services[service]
	if buckets == nil {
		buckets = map[uint16]time.Duration{}
		k.services[service] = buckets
	}
	buckets[report.BucketOf(key)] += work
}

// take returns the work since the last call.
func (k *keyWork) take(vm string) report.Report {
	k.mu.Lock()
	defer k.mu.Unlock()
	r := report.Report{VM: vm, Services: map[model.Service][]report.Bucket{}}
	for service, buckets := range k.services {
		for index, work := range buckets {
			r.Services[service] = append(r.Services[service], report.Bucket{Index: index, Work: uint32(work.Milliseconds())})
		}
		delete(k.services, service)
	}
	return r
}

// keyLoad is the load of the keys of each service as reported by all VMs.
type keyLoad struct {
	mu       sync.Mutex
	now      func() model.Instant
	services map[model.Service]*decayingLoad
}

type decayingLoad struct {
	load *keyspace.Load
	last model.Instant
}

func newKeyLoad(now func() model.Instant) *keyLoad {
	return &keyLoad{now: now, services: map[model.Service]*decayingLoad{}}
}

// add records a report.
func (k *keyLoad) add(r report.Report) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for service, buckets := range r.Services {
		d := k.service(service)
		d.decay(k.now())
		for _, bucket := range buckets {
			d.load.Add(int(bucket.Index), float64(bucket.Work)/float64(loadTime.Milliseconds()))
		}
	}
}

func (k *keyLoad) service(service model.Service) *decayingLoad {
	d := k.services[service]
	if d == nil {
		d = &decayingLoad{load: keyspace.NewLoad(1.0 / keyspace.Buckets), last: k.now()}
		k.services[service] = d
	}
	return d
}

func (d *decayingLoad) decay(now model.Instant) {
	elapsed := now.Sub(d.last)
	if elapsed < decayStep {
		return
	}
	d.last = now
	d.load.Decay(math.Exp(-elapsed.Seconds() / loadTime.Seconds()))
}

// of returns a copy of a service's load.
func (k *keyLoad) of(service model.Service) *keyspace.Load {
	k.mu.Lock()
	defer k.mu.Unlock()
	d := k.service(service)
	d.decay(k.now())
	copied := *d.load
	return &copied
}

// reportLoad sends this VM's load to the leader until ctx ends.
func (g *gateway) reportLoad(ctx context.Context) {
	link := leaderLink{gw: g}
	defer link.close()
	for ctx.Err() == nil {
		sleep(ctx, report.Every)
		table := g.state.table.Load()
		if table == nil || table.LeaderAddress == "" {
			continue
		}
		r := g.work.take(g.settings.VM)
		if table.Leader == g.control.self {
			link.close()
			answer := g.reports.Record(r)
			g.place.Store(&answer)
			continue
		}
		link.send(ctx, table.LeaderAddress, r)
	}
}

// leaderLink is the connection to the present leader.
type leaderLink struct {
	gw      *gateway
	client  *report.Client
	address string
	lost    bool
}

func (l *leaderLink) send(ctx context.Context, address string, r report.Report) {
	err := l.connect(ctx, address)
	var answer report.Answer
	if err == nil {
		answer, err = l.client.Send(ctx, r)
	}
	log := l.gw.log.Part(logging.Peer)
	switch {
	case err != nil:
		l.close()
		if !l.lost {
			log.Event("leader is lost", logging.Address(address), logging.SystemError(err))
		}
		l.lost = true
	default:
		if l.lost {
			log.Event("leader is back", logging.Address(address))
		}
		l.lost = false
		l.gw.place.Store(&answer)
	}
}

func (l *leaderLink) connect(ctx context.Context, address string) error {
	if l.client != nil && l.address == address {
		return nil
	}
	l.close()
	client, err := report.Dial(ctx, address)
	if err != nil {
		return err
	}
	l.client, l.address = client, address
	return nil
}

func (l *leaderLink) close() {
	if l.client != nil {
		l.client.Close()
		l.client = nil
	}
}

// fleetSize returns the number of VMs among which common budgets are divided. It is raised by a quarter, as VMs may
// have joined since the leader counted.
func (g *gateway) fleetSize() float64 {
	known := g.place.Load()
	if known == nil {
		return unknownVMs
	}
	return float64(known.VMs)*1.25 + 1
}
