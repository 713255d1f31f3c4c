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
type storeOutage struct {
	mu   sync.Mutex
	down bool
	// answered is when the store last answered a read.
	lastResponse model.Instant
	recovery     chan struct{}
}

func newStoreOutage() *storeOutage { return &storeOutage{recovery: make(chan struct{})} }

func (o *storeOutage) recovered() <-chan struct{} {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.recovery
}

// begin returns a context for one read, which ends if the store comes back while the read waits.
func (o *storeOutage) beginRead(ctx context.Context) (context.Context, func()) {
	recovery := o.recovered()
	ctx, cancel := context.WithCancel(ctx)
	finished := make(chan struct{})
	go func() {
		select {
		case <-recovery:
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
func (o *storeOutage) waitRetry(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-o.recovered():
	case <-ctx.Done():
	}
}

// ended records the end of a read that began at started. A read that fails says nothing if the store has answered
// another one since it began. It returns whether the store is taken to be away.
func (o *storeOutage) endRead(started, now model.Instant, responded bool) (down bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case !responded:
		o.down = o.down || started >= o.lastResponse
	case o.down:
		o.down = false
		close(o.recovery)
		o.recovery = make(chan struct{})
	}
	if responded {
		o.lastResponse = max(o.lastResponse, now)
	}
	return o.down
}

// isLost reports whether the store is taken to be away.
func (o *storeOutage) isDown() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.down
}
