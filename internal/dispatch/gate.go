package dispatch

import (
	"container/list"
	"sync"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

// gateResult is the result of gate.acquire.
type gateResult uint8

const (
	gateOpen gateResult = iota
	// gateFull means that the queue has no room.
	gateFull
	// gateLost means that this VM is no longer the lessor.
	gateLost
	// gateTimeout means that the deadline passed in the queue.
	gateTimeout
)

// gateWaiter is a request in the queue; ready is closed after granted was set.
type gateWaiter struct {
	ready   chan struct{}
	granted bool
}

// gate limits the concurrent requests that the lessor sends to one target. Requests wait in order of arrival.
type gate struct {
	mu       sync.Mutex
	limit    int
	running  int
	queue    list.List
	maxQueue int
}

// setLimit sets the number of concurrent requests and lets waiting requests in.
func (g *gate) setLimit(limit int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limit = limit
	g.wake()
}

// drop refuses all waiting requests because the lease is lost.
func (g *gate) drop() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limit = 0
	for g.queue.Len() > 0 {
		close(g.queue.Remove(g.queue.Front()).(*gateWaiter).ready)
	}
}

// wake lets in the first waiters while there is room. The caller holds the lock.
func (g *gate) wake() {
	for g.running < g.limit && g.queue.Len() > 0 {
		waiter := g.queue.Remove(g.queue.Front()).(*gateWaiter)
		waiter.granted = true
		g.running++
		close(waiter.ready)
	}
}

// acquire takes one place or waits for it until done closes. After gateOpen the caller must call release.
func (g *gate) acquire(done <-chan struct{}) gateResult {
	g.mu.Lock()
	if g.running < g.limit && g.queue.Len() == 0 {
		g.running++
		g.mu.Unlock()
		return gateOpen
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
		return gateLost
	}
	return gateOpen
}

// abandon removes a waiter. It returns false if the waiter was let in or dropped meanwhile.
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

// release returns one place.
func (g *gate) release() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running--
	g.wake()
}

// gates holds the gate of each target for which this VM is or was the lessor.
type gates struct {
	mu       sync.Mutex
	byTarget map[model.TargetID]*gate
	maxQueue int
}

// of returns the gate of a target. A new gate lets nothing in until its limit is set.
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
