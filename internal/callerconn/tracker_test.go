package callerconn

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// stallingListener accepts connections whose reads stall while stalled is set, as on a VM without processor time: received
// bytes stay in the operating system's buffer.
type stallingListener struct {
	*net.TCPListener
	stalled atomic.Bool
	// takes stalls reads after they have taken the bytes from the operating system.
	takes atomic.Bool
	last  atomic.Pointer[stallingConn]
}

func (l *stallingListener) Accept() (net.Conn, error) {
	conn, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return nil, err
	}
	c := &stallingConn{TCPConn: conn, raw: raw, stalled: &l.stalled, takes: &l.takes}
	l.last.Store(c)
	return c, nil
}

type stallingConn struct {
	*net.TCPConn
	raw     syscall.RawConn
	stalled *atomic.Bool
	takes   *atomic.Bool
	taken   atomic.Bool
}

func (c *stallingConn) Read(buffer []byte) (int, error) {
	if err := c.raw.Read(func(uintptr) bool { return hasUnread(c.raw) || isClosed(c.raw) }); err != nil {
		return 0, err
	}
	for c.stalled.Load() {
		time.Sleep(time.Millisecond)
	}
	n, err := c.TCPConn.Read(buffer)
	for n > 0 && c.takes.Load() {
		c.taken.Store(true)
		time.Sleep(time.Millisecond)
	}
	return n, err
}

// startServer starts a server that responds with the path of a request, and returns a connection to it on which one request
// has been served.
func startServer(t *testing.T) (*http.Server, *Tracker, *stallingListener, net.Conn, *bufio.Reader) {
	inner, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	listener := &stallingListener{TCPListener: inner}
	tracker := &Tracker{}
	server := &http.Server{
		Handler:   http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, r.URL.Path) }),
		ConnState: tracker.Track, ReadHeaderTimeout: settleTime,
	}
	go func() { _ = server.Serve(tracker.Listener(listener)) }()
	t.Cleanup(func() { _ = server.Close() })
	caller, err := net.Dial("tcp4", inner.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = caller.Close() })
	require.NoError(t, caller.SetDeadline(time.Now().Add(settleTime)))
	reader := bufio.NewReader(caller)
	exchange(t, caller, reader, "/first")
	require.Eventually(t, func() bool {
		tracker.mu.Lock()
		defer tracker.mu.Unlock()
		return len(tracker.idle) == 1
	}, settleTime, time.Millisecond)
	return server, tracker, listener, caller, reader
}

func exchange(t *testing.T, caller net.Conn, reader *bufio.Reader, path string) {
	_, err := io.WriteString(caller, "GET "+path+" HTTP/1.1\r\nHost: a.example\r\n\r\n")
	require.NoError(t, err)
	readBody(t, reader, path)
}

func readBody(t *testing.T, reader *bufio.Reader, want string) {
	response, err := http.ReadResponse(reader, nil)
	require.NoError(t, err)
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	assert.Equal(t, want, string(body))
}

// Guards against a request without an answer, because it arrived on an idle connection that a shutdown closed before the
// server had read it.
func TestUnreadRequestIsServedDuringShutdown(t *testing.T) {
	t.Parallel()
	server, tracker, listener, caller, reader := startServer(t)
	listener.stalled.Store(true)
	_, err := io.WriteString(caller, "GET /second HTTP/1.1\r\nHost: a.example\r\n\r\n")
	require.NoError(t, err)
	require.Eventually(t, func() bool { return hasUnread(listener.last.Load().raw) }, settleTime, time.Millisecond)
	stopped := make(chan error, 1)
	var summary Summary
	go func() {
		var err error
		summary, err = tracker.Shutdown(context.Background(), server)
		stopped <- err
	}()
	time.AfterFunc(200*time.Millisecond, func() { listener.stalled.Store(false) })
	readBody(t, reader, "/second")
	require.NoError(t, <-stopped)
	assert.Equal(t, 1, summary.Awaited)
	assert.Positive(t, summary.Waited)
}

// Guards against a shutdown that waits for idle connections, or beyond its context for requests that are not read.
func TestShutdownEndsIdleConnections(t *testing.T) {
	t.Parallel()
	server, tracker, _, _, reader := startServer(t)
	summary, err := tracker.Shutdown(context.Background(), server)
	require.NoError(t, err)
	assert.Equal(t, 1, summary.Closed)
	assert.Equal(t, 0, summary.Awaited)
	_, err = reader.ReadByte()
	assert.Equal(t, io.EOF, err)
	server, tracker, listener, caller, _ := startServer(t)
	listener.stalled.Store(true)
	_, err = io.WriteString(caller, "GET /second HTTP/1.1\r\nHost: a.example\r\n\r\n")
	require.NoError(t, err)
	require.Eventually(t, func() bool { return hasUnread(listener.last.Load().raw) }, settleTime, time.Millisecond)
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	started := time.Now()
	_, _ = tracker.Shutdown(ctx, server)
	assert.Less(t, time.Since(started), settleTime/2)
	listener.stalled.Store(false)
}

// Guards against a request without an answer, because a shutdown closed its connection when the server had taken its bytes
// from the operating system and had no processor time to go on.
func TestRequestThatIsBeingReadIsServedDuringShutdown(t *testing.T) {
	t.Parallel()
	server, tracker, listener, caller, reader := startServer(t)
	listener.takes.Store(true)
	_, err := io.WriteString(caller, "GET /second HTTP/1.1\r\nHost: a.example\r\n\r\n")
	require.NoError(t, err)
	require.Eventually(t, func() bool { return listener.last.Load().taken.Load() }, settleTime, time.Millisecond)
	stopped := make(chan error, 1)
	go func() {
		_, err := tracker.Shutdown(context.Background(), server)
		stopped <- err
	}()
	time.AfterFunc(200*time.Millisecond, func() { listener.takes.Store(false) })
	readBody(t, reader, "/second")
	require.NoError(t, <-stopped)
}
