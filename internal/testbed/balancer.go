package testbed

import (
	"net/http"
	"sync"
	"time"
)

const (
	// healthInterval is the time between two health checks of an entry VM. It is much shorter than the time for which a
	// stopping VM still accepts requests.
	healthInterval = 200 * time.Millisecond
	healthTimeout  = 300 * time.Millisecond
)

// balancer simulates the platform's load balancer: it checks periodically which entry VMs report that they are ready.
type balancer struct {
	entries func() []*Entry
	client  *http.Client
	mutex   sync.Mutex
	healthy []*Entry
	stop    chan struct{}
	stopped sync.WaitGroup
	once    sync.Once
}

func newBalancer(entries func() []*Entry) *balancer {
	b := &balancer{entries: entries, stop: make(chan struct{}),
		client: &http.Client{Timeout: healthTimeout, Transport: &http.Transport{DisableKeepAlives: true}}}
	b.stopped.Add(1)
	go b.run()
	return b
}

func (b *balancer) run() {
	defer b.stopped.Done()
	ticker := time.NewTicker(healthInterval)
	defer ticker.Stop()
	for {
		b.check()
		select {
		case <-b.stop:
			return
		case <-ticker.C:
		}
	}
}

// check queries the readiness of all entry VMs concurrently.
func (b *balancer) check() {
	entries := b.entries()
	healthy := make([]bool, len(entries))
	var checks sync.WaitGroup
	for i, e := range entries {
		checks.Add(1)
		go func() {
			defer checks.Done()
			response, err := b.client.Get("http://" + e.CallerAddress + "/readyz")
			if err != nil {
				return
			}
			_ = response.Body.Close()
			healthy[i] = response.StatusCode == http.StatusOK
		}()
	}
	checks.Wait()
	var ready []*Entry
	for i, e := range entries {
		if healthy[i] {
			ready = append(ready, e)
		}
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.healthy = ready
}

func (b *balancer) ready() []*Entry {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.healthy
}

func (b *balancer) close() {
	b.once.Do(func() { close(b.stop) })
	b.stopped.Wait()
}
