package upstream

import (
	"context"
	"errors"
	"math"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/bounds"
	"github.com/tarragonpoint/tarragonpoint/internal/callerconn"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

const (
	// dialTimeout limits the time to open a connection, which takes a round trip of 25 ms between regions and 1 ms at
	// the target.
	dialTimeout = 400 * time.Millisecond
	// maxIdlePerTarget is the largest number of idle connections to one target. A target has few slots, and all VMs share
	// the connections that it accepts.
	maxIdlePerTarget = 8
	// sweepInterval is the minimum time between two sweeps for expired connections.
	sweepInterval = time.Second
)

// Counters holds the numbers of connections that a pool opened, reused and failed to open.
type Counters struct {
	Opened uint64
	Reused uint64
	Failed uint64
}

// Pool keeps idle connections to targets, by address. It is safe for concurrent use and has one lock.
type Pool struct {
	dialer *net.Dialer
	bodies *bounds.BodyMemory
	now    func() model.Instant

	mu        sync.Mutex
	idle      map[string][]*conn
	counters  Counters
	lastSweep time.Time
}

// Options are the options of a pool.
type Options struct {
	// BodyMemory is the number of bytes that the bodies of responses may hold together until they are released; 0 means
	// 32 MiB. A response for which there is no memory is malformed. The first 64 KiB of each body do not count.
	BodyMemory int64
	// Dialer opens connections; nil means one with the timeouts of this package.
	Dialer *net.Dialer
	// Now returns the instant by the clock of Request.ConnectedBefore and Request.BeforeSend; without it no connection counts as
	// opened before any instant.
	Now func() model.Instant
}

// NewPool returns an empty pool.
func NewPool(options Options) *Pool {
	if options.Dialer == nil {
		options.Dialer = defaultDialer()
	}
	if options.Now == nil {
		options.Now = func() model.Instant { return math.MaxInt64 }
	}
	return &Pool{
		dialer: options.Dialer, bodies: bounds.NewBodyMemory(options.BodyMemory), now: options.Now, idle: map[string][]*conn{},
	}
}

func defaultDialer() *net.Dialer {
	return &net.Dialer{
		Timeout: dialTimeout,
		// Keep-alive probes and TCP_USER_TIMEOUT are not used: data sent on a connection that the kernel abandons may
		// still be delivered. Abandoning a request instead resets its connection, which discards undelivered data.
		KeepAlive: -1,
	}
}

// Counters returns the pool's counters.
func (p *Pool) Counters() Counters {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counters
}

// Do sends a request to an address and returns its complete response. If ctx ends first, the connection is reset, which
// makes the target cancel the request.
func (p *Pool) Do(ctx context.Context, address string, request *Request) (*Response, error) {
	c, err := p.connect(ctx, address, request)
	if err != nil {
		return nil, err
	}
	if err := request.confirm(c); err != nil {
		p.returnUnused(address, c)
		return nil, err
	}
	response, keep, err := c.exchange(ctx, request)
	if err != nil {
		return nil, err
	}
	if keep && p.putIdle(address, c) {
		response.ConnectionID = c.id
		return response, nil
	}
	_ = c.socket.Close()
	if request.ReplaceClosed {
		// The next request opens a connection if this fails.
		_ = p.Probe(ctx, address)
	}
	return response, nil
}

// connect returns an idle connection for a request, or opens one until the request is not wanted any more.
func (p *Pool) connect(ctx context.Context, address string, request *Request) (*conn, error) {
	if !request.OwnConnection {
		if c := p.takeIdle(address, request); c != nil {
			return c, nil
		}
	}
	if request.ConnectionID != 0 {
		return nil, ErrNotConnected.New("connection %d to %s is closed or in use", request.ConnectionID, address)
	}
	if request.Wanted != nil {
		waiting, stop := callerconn.UntilLeft(ctx, request.Wanted)
		defer stop()
		ctx = waiting
	}
	c, err := p.open(ctx, address)
	if err != nil && errors.Is(ctx.Err(), context.Canceled) {
		return nil, ErrAbandoned.Wrap(err, "request is not wanted any more")
	}
	return c, err
}

// allows reports whether the request may use a connection.
func (r *Request) allows(id uint64) bool {
	if r.ConnectionID != 0 {
		return id == r.ConnectionID
	}
	return !slices.Contains(r.Avoid, id)
}

// Probe opens a connection to an address and keeps it for a later request. It returns ErrRefused if the host refuses the
// connection, because no process listens at the address, and ErrNotSent if the connection cannot be opened otherwise.
func (p *Pool) Probe(ctx context.Context, address string) error {
	c, err := p.open(ctx, address)
	if err != nil {
		return err
	}
	p.returnUnused(address, c)
	return nil
}

// returnUnused makes a connection available to other requests.
func (p *Pool) returnUnused(address string, c *conn) {
	if !p.putIdle(address, c) {
		_ = c.socket.Close()
	}
}

// HasIdle reports whether there is an idle connection to an address. It may have been closed by the target since.
func (p *Pool) HasIdle(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle[address]) > 0
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
			return nil, ErrRefused.Wrap(err, "connection to %s was refused", address)
		}
		return nil, ErrNotSent.Wrap(err, "connection to %s cannot be opened", address)
	}
	p.counters.Opened++
	c := newConn(socket, p.bodies)
	c.id, c.openedAt = p.counters.Opened, p.now()
	c.expires = time.Now().Add(defaultIdleTimeout)
	return c, nil
}

// takeIdle removes and returns the most recently used idle connection that is still usable for a request, or nil.
func (p *Pool) takeIdle(address string, request *Request) *conn {
	now := time.Now()
	for {
		c := p.popIdle(address, request)
		if c == nil {
			return nil
		}
		if now.Before(c.expires) && c.isReusable() {
			p.mu.Lock()
			p.counters.Reused++
			p.mu.Unlock()
			return c
		}
		_ = c.socket.Close()
	}
}

func (p *Pool) popIdle(address string, request *Request) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	for i := len(list) - 1; i >= 0; i-- {
		if c := list[i]; request.allows(c.id) {
			p.idle[address] = append(list[:i], list[i+1:]...)
			return c
		}
	}
	return nil
}

// putIdle adds a connection to the idle connections. It returns false if the connection has expired or there are too
// many.
func (p *Pool) putIdle(address string, c *conn) bool {
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

// sweep closes expired connections, so that none stay open to targets that receive no more requests. The caller holds
// p.mu.
func (p *Pool) sweep(now time.Time) {
	if now.Sub(p.lastSweep) < sweepInterval {
		return
	}
	p.lastSweep = now
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
