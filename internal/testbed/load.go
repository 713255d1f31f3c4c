package testbed

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/result"
)

const (
	// maxWorkers is the number of workers that send requests concurrently.
	maxWorkers = 8
	// workerPause is the time between two requests of a worker. It limits the load to a few hundred requests per second.
	workerPause = 15 * time.Millisecond
	// loadDeadline keeps workers from waiting for a paused process for the whole duration of a fault.
	loadDeadline = time.Second
	// loadKeys is the number of distinct keys in requests.
	loadKeys = 40
	// maxSends is how often a worker sends a non-idempotent request at most. It stops earlier when a response confirms
	// that the request ran.
	maxSends = 3
)

// Workload describes the requests of a load: their tenant, and the keyed and the unkeyed service that they go to. An
// empty Unkeyed means that all requests go to the keyed service.
type Workload struct {
	Tenant         model.Tenant
	Keyed, Unkeyed model.Service
}

// Load sends requests through the ready entry VMs until it is stopped.
type Load struct {
	cluster  *Cluster
	caller   *Caller
	workload Workload
	cancel   context.CancelFunc
	workers  sync.WaitGroup
}

// StartLoad starts maxWorkers workers that send requests through caller until Stop.
func StartLoad(c *Cluster, caller *Caller, workload Workload) *Load {
	ctx, cancel := context.WithCancel(context.Background())
	l := &Load{cluster: c, caller: caller, workload: workload, cancel: cancel}
	for range maxWorkers {
		l.workers.Add(1)
		go l.work(ctx)
	}
	return l
}

// Stop ends the load and waits for the requests in flight.
func (l *Load) Stop() {
	l.cancel()
	l.workers.Wait()
}

func (l *Load) work(ctx context.Context) {
	defer l.workers.Done()
	for number := 0; ctx.Err() == nil; number++ {
		l.send(l.request(number))
		timer := time.NewTimer(workerPause)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
		}
	}
}

// request returns the request with the given number: keyed and unkeyed, idempotent and non-idempotent ones alternate.
func (l *Load) request(number int) Request {
	request := Request{
		ID:         model.NewRequestID().String(),
		Tenant:     l.workload.Tenant,
		Service:    l.workload.Keyed,
		Key:        fmt.Sprintf("key-%d", rand.IntN(loadKeys)),
		Path:       "load",
		Idempotent: number%2 == 0,
		Body:       fmt.Sprintf("body-%d", rand.Uint64()),
		Deadline:   loadDeadline,
	}
	if number%4 > 1 && l.workload.Unkeyed != "" {
		request.Service, request.Key = l.workload.Unkeyed, ""
	}
	return request
}

// send sends a request through a random ready entry VM. It sends a non-idempotent request again, through a newly chosen
// VM, until a response confirms that it ran, as a client that retries eagerly does.
func (l *Load) send(request Request) {
	for range maxSends {
		ready := l.cluster.Ready()
		if len(ready) == 0 {
			return
		}
		exchange := l.caller.Do(context.Background(), ready[rand.IntN(len(ready))], request)
		if request.Idempotent || exchange.Outcome == result.Ran.String() {
			return
		}
	}
}
