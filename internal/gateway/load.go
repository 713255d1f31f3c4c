package gateway

import (
	"math"
	"sync"
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/keyspace"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

// loadTime is the time constant of the keys' load: hot keys change within seconds.
const loadTime = 4 * time.Second

// keyLoad measures the load of the keys of each keyed service at this VM.
type keyLoad struct {
	mu       sync.Mutex
	services map[model.Service]*decayingLoad
}

type decayingLoad struct {
	load *keyspace.Load
	last model.Instant
}

func newKeyLoad() *keyLoad { return &keyLoad{services: map[model.Service]*decayingLoad{}} }

func (k *keyLoad) service(service model.Service) *decayingLoad {
	d := k.services[service]
	if d == nil {
		d = &decayingLoad{load: keyspace.NewLoad(1.0 / keyspace.Buckets)}
		k.services[service] = d
	}
	return d
}

// add records work on a key.
func (k *keyLoad) add(now model.Instant, service model.Service, key int, work time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	d := k.service(service)
	d.decay(now)
	d.load.Add(keyspace.Bucket(key), work.Seconds()/loadTime.Seconds())
}

// decayStep is the shortest time after which a load is decayed, as each decay touches all buckets.
const decayStep = 250 * time.Millisecond

func (d *decayingLoad) decay(now model.Instant) {
	elapsed := now.Sub(d.last)
	if elapsed < decayStep {
		return
	}
	d.last = now
	d.load.Decay(math.Exp(-elapsed.Seconds() / loadTime.Seconds()))
}

// of returns a copy of a service's load.
func (k *keyLoad) of(now model.Instant, service model.Service) *keyspace.Load {
	k.mu.Lock()
	defer k.mu.Unlock()
	d := k.service(service)
	d.decay(now)
	copied := *d.load
	return &copied
}
