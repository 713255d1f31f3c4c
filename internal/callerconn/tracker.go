package callerconn

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// readInterval is the time between two checks whether the server has read the requests that have arrived.
const readInterval = 10 * time.Millisecond

// Tracker tracks the idle connections of an HTTP server that serves its listener and reports connection states to it. The
// zero value is ready for use.
type Tracker struct {
	mu   sync.Mutex
	idle map[*trackedConn]struct{}
}

// Listener returns a listener whose connections are tracked.
func (t *Tracker) Listener(inner net.Listener) net.Listener { return &trackedListener{Listener: inner} }

// Summary tells what a shutdown did with the idle connections.
type Summary struct {
	// Closed is the number of idle connections that were closed without a request.
	Closed int
	// Awaited is the number of idle connections on which a request had arrived when the shutdown began.
	Awaited int
	// Waited is how long the shutdown waited for those requests to be read.
	Waited time.Duration
}

// Track records the state of a connection. It fits http.Server.ConnState.
func (t *Tracker) Track(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*trackedConn)
	if !ok {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	c.isIdle.Store(state == http.StateIdle)
	if state != http.StateIdle {
		delete(t.idle, c)
		return
	}
	if t.idle == nil {
		t.idle = map[*trackedConn]struct{}{}
	}
	c.hasRead.Store(false)
	t.idle[c] = struct{}{}
}

// Shutdown shuts down the server like http.Server.Shutdown, but does not close an idle connection on which a request has
// arrived: it waits until the server has read the request's header or ctx ends.
func (t *Tracker) Shutdown(ctx context.Context, server *http.Server) (Summary, error) {
	started := time.Now()
	ticker := time.NewTicker(readInterval)
	defer ticker.Stop()
	closed, left := t.closeUnused()
	summary := Summary{Closed: closed, Awaited: left}
	for left > 0 && ctx.Err() == nil {
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
		closed, left = t.closeUnused()
		summary.Closed += closed
	}
	summary.Waited = time.Since(started)
	return summary, server.Shutdown(ctx)
}

// closeUnused closes the idle connections on which no request has arrived. It returns how many it closed and how many are
// left.
func (t *Tracker) closeUnused() (closed, left int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.idle {
		// hasRead is set before the bytes of a request are read, so a request is always seen by one of the two.
		if (c.raw == nil || !hasUnread(c.raw)) && !c.hasRead.Load() {
			_ = c.Close()
			delete(t.idle, c)
			closed++
		}
	}
	return closed, len(t.idle)
}

type trackedListener struct{ net.Listener }

func (l *trackedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &trackedConn{Conn: conn, raw: rawConn(conn)}, nil
}

// trackedConn records whether bytes have been read since the connection became idle. http.StateActive comes only after
// the header of a request has been read.
type trackedConn struct {
	net.Conn
	// raw is nil if the connection has none.
	raw    syscall.RawConn
	isIdle atomic.Bool
	// hasRead is set before the first bytes are read from an idle connection.
	hasRead atomic.Bool
}

func (c *trackedConn) Read(buffer []byte) (int, error) {
	if c.isIdle.Load() && c.raw != nil {
		c.awaitBytes()
	}
	n, err := c.Conn.Read(buffer)
	if n > 0 {
		c.hasRead.Store(true)
	}
	return n, err
}

// awaitBytes waits until bytes have arrived, the connection has ended or its read deadline has passed. It sets hasRead while
// the bytes are still unread: once they are, nothing else shows them until the read returns, which takes long on a VM
// without processor time.
func (c *trackedConn) awaitBytes() {
	// An error is returned again by the read that follows.
	_ = c.raw.Read(func(fd uintptr) bool {
		unread, open := peekSocket(fd)
		if unread {
			c.hasRead.Store(true)
		}
		return unread || !open
	})
}

// SyscallConn returns the raw connection.
func (c *trackedConn) SyscallConn() (syscall.RawConn, error) {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return socket.SyscallConn()
}
