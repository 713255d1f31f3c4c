package callerconn

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/bounds"
)

// readInterval is the time between two checks whether the server has read the requests that have arrived.
const readInterval = 10 * time.Millisecond

// Tracker tracks the connections of an HTTP server that serves its listener and reports connection states to it, and bounds
// their number and the memory of the heads that are received over them. The zero value is ready for use and has no bounds.
// Lock order: mu before openMu.
type Tracker struct {
	// MaxConnections is the largest number of connections at a time; 0 means no bound. When a caller connects beyond it, another
	// connection is closed, or the new one; see chooseVictim.
	MaxConnections int
	// HeadMemory is the memory for heads beyond FreeHeadBytes each, from their first byte until their request is finished; nil
	// means no bound. A connection that needs more is closed without a response.
	HeadMemory *bounds.BodyMemory

	mu   sync.Mutex
	idle map[*trackedConn]struct{}

	openMu  sync.Mutex
	open    map[*trackedConn]struct{}
	refused atomic.Int64
}

// Refused returns how many connections were closed or refused because there were too many, or no memory for their heads.
func (t *Tracker) Refused() int64 { return t.refused.Load() }

// Listener returns a listener whose connections are tracked.
func (t *Tracker) Listener(inner net.Listener) net.Listener {
	return &trackedListener{Listener: inner, tracker: t}
}

// add registers a new connection. If there are too many, it closes another one. It returns false if the new one has to be
// refused.
func (t *Tracker) add(c *trackedConn) bool {
	victim := t.makeRoom(c)
	if victim == nil {
		return true
	}
	t.refused.Add(1)
	_ = victim.Close()
	return victim != c
}

// makeRoom registers a new connection and returns the one that has to be closed for it, or nil.
func (t *Tracker) makeRoom(c *trackedConn) *trackedConn {
	t.openMu.Lock()
	defer t.openMu.Unlock()
	if t.open == nil {
		t.open = map[*trackedConn]struct{}{}
	}
	if t.MaxConnections <= 0 || len(t.open) < t.MaxConnections {
		t.open[c] = struct{}{}
		return nil
	}
	now := time.Now()
	connections := make([]*trackedConn, 0, len(t.open))
	occupants := make([]occupant, 0, len(t.open))
	for other := range t.open {
		connections = append(connections, other)
		occupants = append(occupants, other.occupant(now))
	}
	victim, found := chooseVictim(occupants)
	if !found {
		return c
	}
	delete(t.open, connections[victim])
	t.open[c] = struct{}{}
	return connections[victim]
}

func (t *Tracker) remove(c *trackedConn) {
	t.openMu.Lock()
	defer t.openMu.Unlock()
	delete(t.open, c)
}

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
	switch state {
	case http.StateActive:
		c.setActivity(beingServed)
	case http.StateIdle:
		c.releaseHead()
		c.setActivity(idle)
		// The deadline of a response must not end the next one. An error means that the connection has ended.
		_ = c.Conn.SetWriteDeadline(time.Time{})
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

type trackedListener struct {
	net.Listener
	tracker *Tracker
}

func (l *trackedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &trackedConn{Conn: conn, raw: rawConn(conn), tracker: l.tracker, started: time.Now()}
		if l.tracker.add(c) {
			return c, nil
		}
	}
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

	tracker *Tracker
	started time.Time
	// activity is an activity, and since is when it began or last made progress, in nanoseconds after started.
	activity atomic.Uint32
	since    atomic.Int64
	// writing is when a write began that has not ended, in nanoseconds after started; 0 if there is none.
	writing atomic.Int64

	// headMu guards the head that is being received or whose request is being served.
	headMu    sync.Mutex
	headLines int
	headBytes int
	head      bounds.Reservation
	closed    bool
}

func (c *trackedConn) setActivity(a activity) {
	c.since.Store(int64(time.Since(c.started)))
	c.activity.Store(uint32(a))
}

// occupant returns what the connection is doing.
func (c *trackedConn) occupant(now time.Time) occupant {
	elapsed := now.Sub(c.started)
	if writing := c.writing.Load(); writing != 0 {
		return occupant{activity: notReading, lasting: elapsed - time.Duration(writing)}
	}
	return occupant{activity: activity(c.activity.Load()), lasting: elapsed - time.Duration(c.since.Load())}
}

// errHeadMemory ends a connection without a response: the HTTP server does not respond to a failed read.
var errHeadMemory = &net.OpError{Op: "read", Net: "tcp", Err: errors.New("no memory for the head of the request")}

// receiveHead counts a part of a head and reserves memory for it. It returns false if there is not enough.
func (c *trackedConn) receiveHead(part []byte) bool {
	c.headMu.Lock()
	defer c.headMu.Unlock()
	c.headLines += bytes.Count(part, []byte{'\n'})
	c.headBytes += len(part)
	return c.reserveHead(headMemory(c.headLines, c.headBytes))
}

// reserveHead reserves the memory that a head needs. The caller must hold headMu.
func (c *trackedConn) reserveHead(needed int64) bool {
	if c.tracker.HeadMemory == nil || c.closed {
		return !c.closed
	}
	return c.tracker.HeadMemory.Extend(&c.head, needed-FreeHeadBytes)
}

// releaseHead returns the memory of the head of a finished request.
func (c *trackedConn) releaseHead() {
	c.headMu.Lock()
	defer c.headMu.Unlock()
	c.headLines, c.headBytes = 0, 0
	c.head.Release()
}

// Close closes the connection.
func (c *trackedConn) Close() error {
	c.tracker.remove(c)
	c.headMu.Lock()
	c.closed = true
	c.head.Release()
	c.headMu.Unlock()
	return c.Conn.Close()
}

func (c *trackedConn) Write(data []byte) (int, error) {
	c.writing.Store(max(1, int64(time.Since(c.started))))
	defer c.writing.Store(0)
	return c.Conn.Write(data)
}

func (c *trackedConn) Read(buffer []byte) (int, error) {
	if c.isIdle.Load() && c.raw != nil {
		c.awaitBytes()
	}
	n, err := c.Conn.Read(buffer)
	if n == 0 {
		return n, err
	}
	c.hasRead.Store(true)
	switch activity(c.activity.Load()) {
	case sendingFirstHead, idle:
		if !c.receiveHead(buffer[:n]) {
			c.tracker.refused.Add(1)
			return 0, errHeadMemory
		}
	case sendingBody:
		c.setActivity(sendingBody)
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
