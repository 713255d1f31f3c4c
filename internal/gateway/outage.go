package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

// outage knows whether the store answers this VM. When it answers again after an outage, reads that wait for a change
// are restarted, as the store may have lost them without closing their connections, and reads that wait for their next
// try are made at once.
type outage struct {
	mu   sync.Mutex
	lost bool
	// answered is when the store last answered a read.
	answered model.Instant
	restart  chan struct{}
}

func newOutage() *outage { return &outage{restart: make(chan struct{})} }

func (o *outage) restarted() <-chan struct{} {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.restart
}

// begin returns a context for one read, which ends if the store comes back while the read waits.
func (o *outage) begin(ctx context.Context) (context.Context, func()) {
	restart := o.restarted()
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

// pause waits before a failed read is repeated, or until the store comes back.
func (o *outage) pause(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-o.restarted():
	case <-ctx.Done():
	}
}

// ended records the end of a read that began at started. A read that fails says nothing if the store has answered
// another one since it began. It returns whether the store is taken to be away.
func (o *outage) ended(started, now model.Instant, answered bool) (lost bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case !answered:
		o.lost = o.lost || started >= o.answered
	case o.lost:
		o.lost = false
		close(o.restart)
		o.restart = make(chan struct{})
	}
	if answered {
		o.answered = max(o.answered, now)
	}
	return o.lost
}

// isLost reports whether the store is taken to be away.
func (o *outage) isLost() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.lost
}
