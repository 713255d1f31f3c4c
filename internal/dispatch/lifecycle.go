package dispatch

import (
	"context"
	"sync"
)

// lifecycle counts running requests and ends the intake on a stop.
type lifecycle struct {
	mu       sync.Mutex
	stopping bool
	running  int
	limit    int
	// idle is closed when a stopping dispatcher has no running request.
	idle chan struct{}
}

// entry is the result of lifecycle.enter.
type entry uint8

const (
	entered entry = iota
	entryFull
	entryStopping
)

// isStopping reports whether the intake has ended.
func (l *lifecycle) isStopping() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stopping
}

// enter counts a new request unless the limit is reached or the dispatcher stops.
func (l *lifecycle) enter() entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopping {
		return entryStopping
	}
	if l.running >= l.limit {
		return entryFull
	}
	l.running++
	return entered
}

// hold counts background work of a request that is already counted, so that it outlives the request's return.
func (l *lifecycle) hold() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running++
}

// leave ends what enter or hold counted.
func (l *lifecycle) leave() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running--
	if l.stopping && l.running == 0 {
		close(l.idle)
	}
}

// stop ends the intake. It returns false if it was called before.
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

// wait returns when no request runs, or the context's error.
func (l *lifecycle) wait(ctx context.Context) error {
	select {
	case <-l.idle:
		return nil
	case <-ctx.Done():
	}
	// If both were ready, the choice above was random.
	select {
	case <-l.idle:
		return nil
	default:
		return ctx.Err()
	}
}
