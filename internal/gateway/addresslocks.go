package gateway

import (
	"context"
	"sync"
)

// addressLocks serializes grants to each address.
type addressLocks struct {
	mu    sync.Mutex
	locks map[string]*addressLock
}

// addressLock is the lock of one address. It is removed when no caller holds it or waits for it.
type addressLock struct {
	held chan struct{}
	refs int
}

func newAddressLocks() *addressLocks { return &addressLocks{locks: map[string]*addressLock{}} }

func (l *addressLocks) acquire(address string) *addressLock {
	l.mu.Lock()
	defer l.mu.Unlock()
	lock := l.locks[address]
	if lock == nil {
		lock = &addressLock{held: make(chan struct{}, 1)}
		l.locks[address] = lock
	}
	lock.refs++
	return lock
}

func (l *addressLocks) release(address string, lock *addressLock) {
	l.mu.Lock()
	defer l.mu.Unlock()
	lock.refs--
	if lock.refs == 0 {
		delete(l.locks, address)
	}
}

// lock locks an address and returns the function that unlocks it, or nil if ctx ends first.
func (l *addressLocks) lock(ctx context.Context, address string) (unlock func()) {
	lock := l.acquire(address)
	select {
	case lock.held <- struct{}{}:
		return func() {
			<-lock.held
			l.release(address, lock)
		}
	case <-ctx.Done():
		l.release(address, lock)
		return nil
	}
}
