package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

// storeOutage tracks whether the store responds to this VM. When it responds again after an outage, reads that wait for
// a change are restarted, because the store may have lost them without closing their connections. Reads that wait for
// their next retry are retried immediately.
type storeOutage struct {
	mu   sync.Mutex
	down bool
	// lastResponse is when the store last responded to a read.
	lastResponse model.Instant
	// recovery is closed and replaced when the store recovers from an outage.
	recovery chan struct{}
}

func newStoreOutage() *storeOutage { return &storeOutage{recovery: make(chan struct{})} }

func (o *storeOutage) recovered() <-chan struct{} {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.recovery
}

// beginRead returns a context for one read, which ends if the store recovers while the read waits.
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

// waitRetry waits before a failed read is retried. It returns early when the store recovers.
func (o *storeOutage) waitRetry(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-o.recovered():
	case <-ctx.Done():
	}
}

// endRead records the end of a read that began at started. A failed read is ignored if the store has responded to
// another read since it began. It returns whether the store is considered unavailable.
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

// isDown reports whether the store is considered unavailable.
func (o *storeOutage) isDown() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.down
}
