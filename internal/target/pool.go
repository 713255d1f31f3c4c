package target

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/bounds"
)

// connPurpose is what a connection to a target is used for. Each purpose has its own connections, so that requests to a
// slow target do not delay renewals.
type connPurpose int

const (
	purposeRequest connPurpose = iota
	purposeRenew
	purposeRevoke
	purposeCancel
	purposeCount
)

// connectionLimits are the maximum numbers of open connections to one target, by purpose. A target accepts about 120 to
// 130 connections for 11 entry VMs, so one entry VM may hold 11. Renewals have two, so that a fresh connection can be
// opened while the previous one is still closing.
var connectionLimits = [purposeCount]int{purposeRequest: 7, purposeRenew: 2, purposeRevoke: 1, purposeCancel: 1}

// connection is one connection to a target, used by one exchange at a time.
type connection struct {
	net.Conn
	// received bounds the headers that reader reads from Conn.
	received  *bounds.HeadReader
	reader    *bufio.Reader
	idleSince time.Time
}

func newConnection(dialed net.Conn) *connection {
	received := bounds.NewHeadReader(dialed)
	return &connection{Conn: dialed, received: received, reader: bufio.NewReader(received)}
}

// dialFunc opens a connection.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// pool holds the connections to one target for one purpose.
type pool struct {
	// permits is a semaphore with one element for each connection in use.
	permits chan struct{}
	mutex   sync.Mutex
	idle    []*connection
	closed  bool
}

func newPool(limit int) *pool { return &pool{permits: make(chan struct{}, limit)} }

// get waits for a permit and returns an idle or new connection. If fresh is true, it closes the idle connections first.
func (p *pool) get(ctx context.Context, dial dialFunc, address Address, idleTimeout time.Duration, fresh bool) (*connection, error) {
	// The select below picks at random if both cases are ready, but nothing must be sent once ctx has ended.
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	select {
	case p.permits <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if fresh {
		p.closeIdle()
	}
	if reused := p.takeIdle(idleTimeout); reused != nil {
		return reused, nil
	}
	dialed, err := dial(ctx, "tcp", string(address))
	if err != nil {
		<-p.permits
		return nil, err
	}
	return newConnection(dialed), nil
}

// takeIdle removes and returns the most recently used idle connection, or nil. It closes connections that exceeded
// idleTimeout or are not usable.
func (p *pool) takeIdle(idleTimeout time.Duration) *connection {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for len(p.idle) > 0 {
		last := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		if time.Since(last.idleSince) < idleTimeout && isUsable(last.Conn) {
			return last
		}
		_ = last.Close()
	}
	return nil
}

// put returns a connection to the pool and releases its permit. It closes the connection if it is not reusable, has
// buffered bytes, or the pool is closed.
func (p *pool) put(used *connection, reusable bool) {
	p.mutex.Lock()
	keep := reusable && !p.closed && used.reader.Buffered() == 0
	if keep {
		used.idleSince = time.Now()
		p.idle = append(p.idle, used)
	}
	p.mutex.Unlock()
	if !keep {
		_ = used.Close()
	}
	<-p.permits
}

func (p *pool) closeIdle() { p.closeOlder(0) }

// closeOlder closes the connections that have been idle for at least limit. p.idle is ordered by idle time, longest
// first.
func (p *pool) closeOlder(limit time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	closed := 0
	for closed < len(p.idle) && time.Since(p.idle[closed].idleSince) >= limit {
		_ = p.idle[closed].Close()
		closed++
	}
	p.idle = p.idle[closed:]
}

func (p *pool) close() {
	p.mutex.Lock()
	p.closed = true
	p.mutex.Unlock()
	p.closeIdle()
}
