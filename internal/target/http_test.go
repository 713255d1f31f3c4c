package target

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/stretchr/testify/require"
)

// rawTarget hands each request to answer, which returns the bytes to send; nil closes the connection.
type rawTarget struct {
	address     Address
	requests    atomic.Int64
	connections atomic.Int64
	seen        chan string
	mutex       sync.Mutex
	open        []net.Conn
}

func (r *rawTarget) closeConnections() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, conn := range r.open {
		_ = conn.Close()
	}
}

func startRaw(t *testing.T, answer func(number int64, request *http.Request) []byte) *rawTarget {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	raw := &rawTarget{address: Address(listener.Addr().String()), seen: make(chan string, 100)}
	var running sync.WaitGroup
	running.Add(1)
	go func() {
		defer running.Done()
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			raw.connections.Add(1)
			raw.mutex.Lock()
			raw.open = append(raw.open, conn)
			raw.mutex.Unlock()
			go raw.serve(conn, answer)
		}
	}()
	t.Cleanup(func() {
		_ = listener.Close()
		running.Wait()
	})
	return raw
}

func (r *rawTarget) serve(conn net.Conn, answer func(int64, *http.Request) []byte) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		number := r.requests.Add(1)
		r.seen <- request.URL.Path
		bytes := answer(number, request)
		if bytes == nil {
			return
		}
		_, _ = conn.Write(bytes)
	}
}

func echo(request *http.Request, body string) []byte {
	return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s",
		HeaderAttempt, request.Header.Get(HeaderAttempt), len(body), body)
}

func do(client *HTTPClient, address Address, method, attempt string) (Response, error) {
	request := Request{Attempt: attempt, Method: method, Path: "/x", Timeout: 5 * time.Second}
	return client.Do(context.Background(), address, request)
}

// Guards against a request that is sent again on a new connection when a reused connection breaks. http.Transport does
// that for GET and for every method with an Idempotency-Key.
func TestRequestIsSentOnceWhenAReusedConnectionCloses(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodPut, http.MethodDelete} {
		raw := startRaw(t, func(number int64, request *http.Request) []byte {
			if number == 2 {
				return nil
			}
			return echo(request, "ok")
		})
		client := &HTTPClient{}
		_, err := do(client, raw.address, method, "first")
		require.NoError(t, err)
		request := Request{Attempt: "second", Method: method, Path: "/x", Timeout: 5 * time.Second}
		request.Header = http.Header{"Idempotency-Key": {"k"}}
		_, err = client.Do(context.Background(), raw.address, request)
		require.True(t, errorx.IsOfType(err, ErrBroken), "%s: %v", method, err)
		require.Equal(t, int64(2), raw.requests.Load(), method)
		require.Equal(t, int64(1), raw.connections.Load(), "%s must have reused the connection", method)
	}
}

// Guards against an answer that reaches the wrong caller, and against a connection that is used after a crossed answer.
func TestCrossedAnswerClosesTheConnection(t *testing.T) {
	raw := startRaw(t, func(number int64, request *http.Request) []byte {
		if number == 1 {
			request.Header.Set(HeaderAttempt, "other")
		}
		return echo(request, "ok")
	})
	client := &HTTPClient{}
	_, err := do(client, raw.address, http.MethodGet, "mine")
	require.True(t, errorx.IsOfType(err, ErrAttemptMismatch), "%v", err)
	_, err = do(client, raw.address, http.MethodGet, "next")
	require.NoError(t, err)
	require.Equal(t, int64(2), raw.connections.Load())
}

// Guards against incomplete, unbounded or unmeasurable bodies that pass for whole ones, and against bytes after an
// answer that the next request would read as its own.
func TestAnswersThatAreNotWholeAreBroken(t *testing.T) {
	header := "HTTP/1.1 200 OK\r\n" + HeaderAttempt + ": a\r\n"
	for _, bytes := range []string{
		header + "Content-Length: 10\r\n\r\nshort",
		header + "\r\nno length",
		header + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
		header + "Content-Length: 200\r\n\r\n" + strings.Repeat("x", 200),
		header + "X: " + strings.Repeat("x", 2*maxHeaderBytes) + "\r\n\r\n",
	} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		go func() {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = http.ReadRequest(bufio.NewReader(conn))
			_, _ = conn.Write([]byte(bytes))
			_ = conn.(*net.TCPConn).CloseWrite()
		}()
		_, err = do(&HTTPClient{MaxBody: 100}, Address(listener.Addr().String()), http.MethodGet, "a")
		require.True(t, errorx.IsOfType(err, ErrBroken), "%.80q: %v", bytes, err)
		_ = listener.Close()
	}
	raw := startRaw(t, func(_ int64, request *http.Request) []byte {
		return append(echo(request, "ok"), echo(request, "stray")...)
	})
	client := &HTTPClient{}
	for range 3 {
		response, err := do(client, raw.address, http.MethodGet, "a")
		require.NoError(t, err)
		require.Equal(t, "ok", string(response.Body))
	}
	require.Equal(t, int64(3), raw.connections.Load())
}

// Guards against a request that is called broken although the target cannot have run it.
func TestRefusedConnectionIsNotSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := Address(listener.Addr().String())
	require.NoError(t, listener.Close())
	_, err = do(&HTTPClient{}, address, http.MethodPost, "a")
	require.True(t, errorx.IsOfType(err, ErrNotSent), "%v", err)
}

// Guards against callers that reach the lease protocol or present protocol headers.
func TestCallersCannotSpeakTheLeaseProtocol(t *testing.T) {
	for _, path := range []string{"/tarragon/v1/renew", "//tarragon/v1/renew", "/a/../Tarragon/v1/revoke", "/%74arragon/v1/cancel", "x", "http://h/"} {
		request := Request{Attempt: "a", Method: http.MethodPost, Path: path, Timeout: time.Second}
		_, err := newRequest(context.Background(), "127.0.0.1:1", request)
		require.True(t, errorx.IsOfType(err, ErrNotSent), "%s: %v", path, err)
	}
	request := Request{Attempt: "a", Method: http.MethodPost, Path: "/x", Timeout: time.Second}
	request.Header = http.Header{HeaderTerm: {"9.9"}, HeaderFence: {"9"}, "Connection": {"X-Hop"}, "X-Hop": {"1"}, "X-Kept": {"1"}}
	built, err := newRequest(context.Background(), "127.0.0.1:1", request)
	require.NoError(t, err)
	require.Equal(t, http.Header{HeaderAttempt: {"a"}, HeaderDeadline: {"1000"}, "X-Kept": {"1"}}, built.Header)
}

// Guards against a cancelled attempt that goes on at the target, against a pool that keeps the connection of an
// unanswered request, and against an ended attempt that is called not sent.
func TestCancelledAttemptIsTimeoutAndCancelledAtTheTarget(t *testing.T) {
	release := make(chan struct{})
	raw := startRaw(t, func(_ int64, request *http.Request) []byte {
		if request.URL.Path == "/x" {
			<-release
		}
		return echo(request, "{}")
	})
	client := &HTTPClient{}
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-raw.seen
		cancel()
	}()
	_, err := client.Do(ctx, raw.address, Request{Attempt: "a", Method: http.MethodPost, Path: "/x", Timeout: time.Minute})
	require.True(t, errorx.IsOfType(err, ErrTimeout), "%v", err)
	require.Equal(t, pathCancel, <-raw.seen)
	close(release)
	require.NoError(t, client.Stop(context.Background()))
}

// Guards against a cancellation that ends a non-idempotent request half way.
func TestNoCancelForNonIdempotent(t *testing.T) {
	release := make(chan struct{})
	raw := startRaw(t, func(_ int64, request *http.Request) []byte {
		if request.URL.Path == "/x" {
			<-release
		}
		return echo(request, "{}")
	})
	client := &HTTPClient{}
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-raw.seen
		cancel()
	}()
	_, err := client.Do(ctx, raw.address, Request{Attempt: "a", Method: http.MethodPost, Path: "/x", Timeout: time.Minute, NoCancel: true})
	require.True(t, errorx.IsOfType(err, ErrTimeout), "%v", err)
	close(release)
	// Stop would end a cancellation that has not been sent yet.
	client.cancels.Wait()
	require.Empty(t, raw.seen)
	require.NoError(t, client.Stop(context.Background()))
}

// Guards against renewals that wait behind requests to a slow target, and against a fresh renewal on an old connection.
func TestRenewalsHaveConnectionsOfTheirOwn(t *testing.T) {
	release := make(chan struct{})
	raw := startRaw(t, func(_ int64, request *http.Request) []byte {
		if request.URL.Path == "/x" {
			<-release
		}
		return echo(request, "{}")
	})
	client := &HTTPClient{}
	var requests sync.WaitGroup
	for range 2 * laneLimits[laneRequest] {
		requests.Go(func() { _, _ = do(client, raw.address, http.MethodGet, "a") })
	}
	for range laneLimits[laneRequest] {
		<-raw.seen
	}
	for range 2 {
		_, err := client.Renew(context.Background(), raw.address, RenewRequest{}, false)
		require.NoError(t, err)
	}
	require.Equal(t, int64(laneLimits[laneRequest]+1), raw.connections.Load())
	_, err := client.Renew(context.Background(), raw.address, RenewRequest{}, true)
	require.NoError(t, err)
	require.Equal(t, int64(laneLimits[laneRequest]+2), raw.connections.Load())
	close(release)
	requests.Wait()
}
