package gateway

import (
	"math"
	"sync"
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/hub"
	"github.com/tarragonpoint/tarragonpoint/internal/keyspace"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

const (
	// loadTimeConstant is the time constant of the exponential decay of key load. Hot keys change within seconds.
	loadTimeConstant = 3 * time.Second
	// minDecayInterval is the shortest time between two decays of a load, because each decay updates all buckets.
	minDecayInterval = 250 * time.Millisecond
)

// keyWork accumulates this VM's work per key bucket until it is reported to the leader.
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
	buckets[uint16(keyspace.Bucket(key))] += work
}

// take returns and resets the work since the last call.
func (k *keyWork) take() map[model.Service][]hub.Bucket {
	k.mu.Lock()
	defer k.mu.Unlock()
	taken := map[model.Service][]hub.Bucket{}
	for service, buckets := range k.services {
		for index, work := range buckets {
			taken[service] = append(taken[service], hub.Bucket{Index: index, Work: uint32(work.Milliseconds())})
		}
		delete(k.services, service)
	}
	return taken
}

// keyLoad is the decaying load of the keys of each service, summed over the reports of all VMs.
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

// add adds the work in a VM's report.
func (k *keyLoad) add(r hub.Report) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for service, buckets := range r.Services {
		d := k.service(service)
		d.decay(k.now())
		for _, bucket := range buckets {
			d.load.Add(int(bucket.Index), float64(bucket.Work)/float64(loadTimeConstant.Milliseconds()))
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
	if elapsed < minDecayInterval {
		return
	}
	d.last = now
	d.load.Decay(math.Exp(-elapsed.Seconds() / loadTimeConstant.Seconds()))
}

// snapshot returns a copy of a service's load.
func (k *keyLoad) snapshot(service model.Service) *keyspace.Load {
	k.mu.Lock()
	defer k.mu.Unlock()
	d := k.service(service)
	d.decay(k.now())
	copied := *d.load
	return &copied
}

// retryBurst returns this VM's part of the burst of the common retry budget.
func (g *gateway) retryBurst(now model.Instant) float64 {
	return g.settings.RetryBurst * retryBurstFactor * g.shares.Part(now)
}
