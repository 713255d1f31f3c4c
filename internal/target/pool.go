package target

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync"
	"time"
)

// lane separates uses of a target's connections, so that requests to a slow target do not delay renewals.
type lane int

const (
	laneRequest lane = iota
	laneRenew
	laneRevoke
	laneCancel
	laneCount
)

// laneLimits bounds the open connections of each lane to one target. A target has about 120 to 130 connections for
// 11 entry VMs, so one entry VM may hold 11. Two for renewals allow a fresh one while the last one is still closing.
var laneLimits = [laneCount]int{laneRequest: 7, laneRenew: 2, laneRevoke: 1, laneCancel: 1}

// connection is one connection to a target, used by one exchange at a time.
type connection struct {
	net.Conn
	reader *bufio.Reader
	// readable is the number of bytes that the current exchange may still read.
	readable int64
	idleFrom time.Time
}

// Read bounds what one exchange reads, header included.
func (c *connection) Read(p []byte) (int, error) {
	if c.readable <= 0 {
		return 0, io.ErrUnexpectedEOF
	}
	n, err := c.Conn.Read(p[:min(int64(len(p)), c.readable)])
	c.readable -= int64(n)
	return n, err
}

// dialFunc opens a connection.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// pool holds the connections of one lane to one target.
type pool struct {
	// permits holds one element for each connection in use.
	permits chan struct{}
	mutex   sync.Mutex
	idle    []*connection
	closed  bool
}

func newPool(limit int) *pool { return &pool{permits: make(chan struct{}, limit)} }

// get returns a permitted connection, idle or new. fresh closes the idle ones first.
func (p *pool) get(ctx context.Context, dial dialFunc, address Address, idleTimeout time.Duration, fresh bool) (*connection, error) {
	// select picks at random if both are ready, and an ended ctx must not send anything.
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
	opened := &connection{Conn: dialed}
	opened.reader = bufio.NewReader(opened)
	return opened, nil
}

// takeIdle returns the connection used last, or nil. It closes those that the target closed or that are too old.
func (p *pool) takeIdle(idleTimeout time.Duration) *connection {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for len(p.idle) > 0 {
		last := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		if time.Since(last.idleFrom) < idleTimeout && isQuiet(last.Conn) {
			return last
		}
		_ = last.Close()
	}
	return nil
}

// put ends the use of a connection and keeps it if it is reusable.
func (p *pool) put(used *connection, reusable bool) {
	p.mutex.Lock()
	keep := reusable && !p.closed && used.reader.Buffered() == 0
	if keep {
		used.idleFrom = time.Now()
		p.idle = append(p.idle, used)
	}
	p.mutex.Unlock()
	if !keep {
		_ = used.Close()
	}
	<-p.permits
}

func (p *pool) closeIdle() { p.closeOlder(0) }

// closeOlder closes the connections that have been idle for at least limit. The oldest come first in idle.
func (p *pool) closeOlder(limit time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	kept := 0
	for kept < len(p.idle) && time.Since(p.idle[kept].idleFrom) >= limit {
		_ = p.idle[kept].Close()
		kept++
	}
	p.idle = p.idle[kept:]
}

func (p *pool) close() {
	p.mutex.Lock()
	p.closed = true
	p.mutex.Unlock()
	p.closeIdle()
}
