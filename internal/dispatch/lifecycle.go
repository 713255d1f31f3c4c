package dispatch

import (
	"context"
	"sync"
)

// lifecycle counts running requests and rejects new ones after a stop.
type lifecycle struct {
	mu       sync.Mutex
	stopping bool
	running  int
	limit    int
	// idle is closed when the dispatcher is stopping and no request is running.
	idle chan struct{}
}

// enterResult is the result of lifecycle.enter.
type enterResult uint8

const (
	enterAccepted enterResult = iota
	enterFull
	enterStopping
)

// isStopping reports whether new requests are rejected because of a stop.
func (l *lifecycle) isStopping() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stopping
}

// enter counts a new request unless the limit is reached or the dispatcher is stopping.
func (l *lifecycle) enter() enterResult {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopping {
		return enterStopping
	}
	if l.running >= l.limit {
		return enterFull
	}
	l.running++
	return enterAccepted
}

// retain counts background work of a request that is already counted, so that a stop waits for work that outlives the
// request.
func (l *lifecycle) retain() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running++
}

// leave reverts one call of enter or retain.
func (l *lifecycle) leave() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running--
	if l.stopping && l.running == 0 {
		close(l.idle)
	}
}

// stop rejects new requests from now on. It returns false if it was called before.
func (l *lifecycle) stop() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopping {
		return false
	}
	l.stopping = true
	if l.running == 0 {
		close(l.idle)
	}
	return true
}

// wait blocks until no request is running. It returns the error of ctx if that ends first.
func (l *lifecycle) wait(ctx context.Context) error {
	select {
	case <-l.idle:
		return nil
	case <-ctx.Done():
	}
	// If both channels were ready, select chose one at random: prefer idle.
	select {
	case <-l.idle:
		return nil
	default:
		return ctx.Err()
	}
}
