package gateway

import (
	"context"
	"sync"
)

// outage restarts reads that wait for a change when the store answers again after an outage: the store may have lost
// them without closing their connections.
type outage struct {
	mu      sync.Mutex
	lost    bool
	restart chan struct{}
}

func newOutage() *outage { return &outage{restart: make(chan struct{})} }

// begin returns a context for one read, which ends if the store comes back while the read waits.
func (o *outage) begin(ctx context.Context) (context.Context, func()) {
	o.mu.Lock()
	restart := o.restart
	o.mu.Unlock()
	ctx, cancel := context.WithCancel(ctx)
	finished := make(chan struct{})
	go func() {
		select {
		case <-restart:
			cancel()
		case <-finished:
		}
	}()
	return ctx, func() {
		close(finished)
		cancel()
	}
}

// ended records whether a read was answered.
func (o *outage) ended(answered bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if answered && o.lost {
		close(o.restart)
		o.restart = make(chan struct{})
	}
	o.lost = !answered
}
