package dispatch

import (
	"container/list"
	"sync"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

// gateResult is the result of gate.acquire.
type gateResult uint8

const (
	gateAcquired gateResult = iota
	// gateFull means that the queue has no room.
	gateFull
	// gateLeaseLost means that this VM is no longer the lessor.
	gateLeaseLost
	// gateTimeout means that the deadline passed or the caller left while the request was queued.
	gateTimeout
)

// gateWaiter is a request in the queue. ready is closed when the request is admitted, after granted is set, or
// rejected.
type gateWaiter struct {
	ready   chan struct{}
	granted bool
}

// gate limits the number of concurrent requests that the lessor sends to one target. Waiting requests are admitted in
// FIFO order.
type gate struct {
	mu       sync.Mutex
	limit    int
	running  int
	queue    list.List
	maxQueue int
}

// setLimit sets the number of concurrent requests and admits waiting requests up to it.
func (g *gate) setLimit(limit int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limit = limit
	g.admitWaiters()
}

// rejectWaiters rejects all waiting requests and admits none until the next setLimit. It is called when this VM no
// longer holds the lease.
func (g *gate) rejectWaiters() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limit = 0
	for g.queue.Len() > 0 {
		close(g.queue.Remove(g.queue.Front()).(*gateWaiter).ready)
	}
}

// admitWaiters admits requests from the head of the queue up to the limit. The caller holds the lock.
func (g *gate) admitWaiters() {
	for g.running < g.limit && g.queue.Len() > 0 {
		waiter := g.queue.Remove(g.queue.Front()).(*gateWaiter)
		waiter.granted = true
		g.running++
		close(waiter.ready)
	}
}

// acquire takes one unit of the limit or waits for one until done is closed. After gateAcquired the caller must call
// release.
func (g *gate) acquire(done <-chan struct{}) gateResult {
	g.mu.Lock()
	if g.running < g.limit && g.queue.Len() == 0 {
		g.running++
		g.mu.Unlock()
		return gateAcquired
	}
	if g.queue.Len() >= g.maxQueue {
		g.mu.Unlock()
		return gateFull
	}
	waiter := &gateWaiter{ready: make(chan struct{})}
	element := g.queue.PushBack(waiter)
	g.mu.Unlock()
	select {
	case <-waiter.ready:
	case <-done:
		if g.abandon(element, waiter) {
			return gateTimeout
		}
	}
	if !waiter.granted {
		return gateLeaseLost
	}
	return gateAcquired
}

// abandon removes a waiter from the queue. It returns false if the waiter has been admitted or rejected in the
// meantime.
func (g *gate) abandon(element *list.Element, waiter *gateWaiter) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-waiter.ready:
		return false
	default:
		g.queue.Remove(element)
		return true
	}
}

// release returns one unit of the limit.
func (g *gate) release() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running--
	g.admitWaiters()
}

// gates contains the gate of each target for which this VM is or was the lessor.
type gates struct {
	mu       sync.Mutex
	byTarget map[model.TargetID]*gate
	maxQueue int
}

// of returns the gate of a target and creates it if necessary. A new gate admits no request until its limit is set.
func (g *gates) of(id model.TargetID) *gate {
	g.mu.Lock()
	defer g.mu.Unlock()
	found := g.byTarget[id]
	if found == nil {
		found = &gate{maxQueue: g.maxQueue}
		g.byTarget[id] = found
	}
	return found
}
