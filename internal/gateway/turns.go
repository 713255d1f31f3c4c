package gateway

import (
	"context"
	"sync"
)

// turns lets one grant at a time go to each address.
type turns struct {
	mu   sync.Mutex
	busy map[string]*turn
}

// turn is the queue of one address. It is dropped when nobody has or awaits it.
type turn struct {
	taken chan struct{}
	users int
}

func newTurns() *turns { return &turns{busy: map[string]*turn{}} }

func (t *turns) use(address string) *turn {
	t.mu.Lock()
	defer t.mu.Unlock()
	used := t.busy[address]
	if used == nil {
		used = &turn{taken: make(chan struct{}, 1)}
		t.busy[address] = used
	}
	used.users++
	return used
}

func (t *turns) drop(address string, used *turn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	used.users--
	if used.users == 0 {
		delete(t.busy, address)
	}
}

// enter waits for the turn of an address and returns the function that ends it, or nil if ctx ends first.
func (t *turns) enter(ctx context.Context, address string) (leave func()) {
	used := t.use(address)
	select {
	case used.taken <- struct{}{}:
		return func() {
			<-used.taken
			t.drop(address, used)
		}
	case <-ctx.Done():
		t.drop(address, used)
		return nil
	}
}
