package upstream

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	// dialTimeout bounds the opening of a connection: a round trip of 25 ms between regions and a target's 1 ms.
	dialTimeout = 400 * time.Millisecond
	// maxIdlePerTarget bounds the idle connections to one target. A target has few slots, and its connections are shared
	// by all VMs.
	maxIdlePerTarget = 8
	// sweepEvery is the time between two searches for expired connections.
	sweepEvery = time.Second
)

// Counters count what a pool did.
type Counters struct {
	Opened uint64
	Reused uint64
	Failed uint64
}

// Pool keeps connections to targets by address. It is safe for concurrent use and has one lock.
type Pool struct {
	dialer net.Dialer

	mu       sync.Mutex
	idle     map[string][]*conn
	counters Counters
	swept    time.Time
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	return &Pool{
		dialer: net.Dialer{
			Timeout: dialTimeout,
			// There are no keep-alive probes and no TCP_USER_TIMEOUT: a connection that the kernel gives up may still
			// deliver what was sent, while a request that is given up resets its connection, which drops the bytes under
			// way.
			KeepAlive: -1,
		},
		idle: map[string][]*conn{},
	}
}

// Counters returns the pool's counters.
func (p *Pool) Counters() Counters {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counters
}

// Do sends a request to an address and returns its complete answer. When ctx ends first, the connection is reset, at
// which the target cancels the request.
func (p *Pool) Do(ctx context.Context, address string, request *Request) (*Response, error) {
	c := p.take(address, request.ConnectionID)
	if c == nil && request.ConnectionID != 0 {
		return nil, ErrNotConnected.New("connection %d to %s is not open", request.ConnectionID, address)
	}
	if c == nil {
		opened, err := p.open(ctx, address)
		if err != nil {
			return nil, err
		}
		c = opened
	}
	response, keep, err := c.exchange(ctx, request)
	if err != nil {
		return nil, err
	}
	if keep && p.put(address, c) {
		response.ConnectionID = c.id
		return response, nil
	}
	_ = c.socket.Close()
	if request.ReplaceClosed {
		response.ConnectionID = p.replace(ctx, address)
	}
	return response, nil
}

// replace opens a connection and keeps it. It returns 0 if that fails; the next request then opens one.
func (p *Pool) replace(ctx context.Context, address string) uint64 {
	c, err := p.open(ctx, address)
	if err != nil {
		return 0
	}
	c.expires = time.Now().Add(defaultIdle)
	if !p.put(address, c) {
		_ = c.socket.Close()
		return 0
	}
	return c.id
}

// CloseIdle closes the idle connections to an address.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	list := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range list {
		_ = c.socket.Close()
	}
}

// Close closes all idle connections.
func (p *Pool) Close() {
	p.mu.Lock()
	all := p.idle
	p.idle = map[string][]*conn{}
	p.mu.Unlock()
	for _, list := range all {
		for _, c := range list {
			_ = c.socket.Close()
		}
	}
}

func (p *Pool) open(ctx context.Context, address string) (*conn, error) {
	socket, err := p.dialer.DialContext(ctx, "tcp4", address)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.counters.Failed++
		if errors.Is(err, syscall.ECONNREFUSED) {
			return nil, ErrRefused.Wrap(err, "connection to %s", address)
		}
		return nil, ErrNotSent.Wrap(err, "connection to %s", address)
	}
	p.counters.Opened++
	c := newConn(socket)
	c.id = p.counters.Opened
	return c, nil
}

// take returns the connection used last that is still good, or nil. With an id other than 0 it returns no other one.
func (p *Pool) take(address string, id uint64) *conn {
	now := time.Now()
	for {
		c := p.pop(address, id)
		if c == nil {
			return nil
		}
		if now.Before(c.expires) && c.isQuiet() {
			p.mu.Lock()
			p.counters.Reused++
			p.mu.Unlock()
			return c
		}
		_ = c.socket.Close()
	}
}

func (p *Pool) pop(address string, id uint64) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	for i := len(list) - 1; i >= 0; i-- {
		if c := list[i]; id == 0 || c.id == id {
			p.idle[address] = append(list[:i], list[i+1:]...)
			return c
		}
	}
	return nil
}

// put keeps a connection. It returns false if the connection cannot be kept.
func (p *Pool) put(address string, c *conn) bool {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sweep(now)
	if len(p.idle[address]) >= maxIdlePerTarget || !now.Before(c.expires) {
		return false
	}
	p.idle[address] = append(p.idle[address], c)
	return true
}

// sweep closes expired connections, so that targets that get no more requests hold none.
func (p *Pool) sweep(now time.Time) {
	if now.Sub(p.swept) < sweepEvery {
		return
	}
	p.swept = now
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.expires) {
				kept = append(kept, c)
			} else {
				_ = c.socket.Close()
			}
		}
		if len(kept) == 0 {
			delete(p.idle, address)
		} else {
			p.idle[address] = kept
		}
	}
}
