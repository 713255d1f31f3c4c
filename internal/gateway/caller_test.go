package gateway

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tarragonpoint/tarragonpoint/internal/callerconn"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/picker"
	"github.com/tarragonpoint/tarragonpoint/internal/standin/platformstub"
	"github.com/tarragonpoint/tarragonpoint/internal/upstream"
	"github.com/tarragonpoint/tarragonpoint/platform"
)

// callerConnection returns both ends of a connection of a caller.
func callerConnection(t *testing.T) (caller, server *net.TCPConn) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	dialed, err := net.Dial("tcp4", listener.Addr().String())
	require.NoError(t, err)
	accepted, err := listener.Accept()
	require.NoError(t, err)
	t.Cleanup(func() {
		_ = dialed.Close()
		_ = accepted.Close()
	})
	return dialed.(*net.TCPConn), accepted.(*net.TCPConn)
}

// Guards against a departure whose record does not tell how far the request was, or what detected it.
func TestDepartureRecordsPhase(t *testing.T) {
	t.Parallel()
	now := model.Instant(time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	watch, stop := watchCaller(ctx, func() model.Instant { return now })
	defer stop()
	watch.connecting()
	_, left := watch.departure()
	require.False(t, left)
	cancel()
	require.Eventually(t, func() bool {
		_, left = watch.departure()
		return left
	}, settleTime, time.Millisecond)
	now = now.Add(time.Second)
	require.NoError(t, watch.beforeSend())
	recorded, _ := watch.departure()
	assert.Equal(t, departure{at: model.Instant(time.Second), phase: phaseConnecting}, recorded)
}

// Guards against an attempt that is sent while the HTTP server has not noticed the departure yet.
func TestDepartureIsDetectedBeforeTheServerNotices(t *testing.T) {
	t.Parallel()
	caller, server := callerConnection(t)
	watch, stop := watchCaller(callerconn.WithConn(context.Background(), server), newClock().Now)
	defer stop()
	require.NoError(t, watch.beforeSend())
	require.NoError(t, caller.Close())
	require.Eventually(t, func() bool { return watch.beforeSend() != nil }, settleTime, time.Millisecond)
	recorded, left := watch.departure()
	assert.True(t, left)
	assert.Equal(t, phaseSent, recorded.phase)
	assert.True(t, recorded.beforeServer)
}

// sendRaw sends a request without a body and returns its connection.
func sendRaw(t *testing.T, address, method, path, id string) net.Conn {
	socket, err := net.Dial("tcp4", address)
	require.NoError(t, err)
	_, err = fmt.Fprintf(socket, "%s %s HTTP/1.1\r\nHost: a.example\r\nX-Tarragonpoint-Attempt-Id: %s\r\n"+
		"X-Tarragonpoint-Deadline-Ms: 5000\r\nContent-Length: 0\r\n\r\n", method, path, id)
	require.NoError(t, err)
	return socket
}

// serveCounted serves a listener with a gateway. It passes on the context of each request before it is handled, and a
// value after it was.
func serveCounted(t *testing.T, g *gateway, listener net.Listener) (started <-chan context.Context, handled <-chan struct{}) {
	startedNow, handledNow := make(chan context.Context, 100), make(chan struct{}, 100)
	server := g.newServer()
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		startedNow <- request.Context()
		g.ServeHTTP(w, request)
		handledNow <- struct{}{}
	})
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return startedNow, handledNow
}

func receive[T any](t *testing.T, from <-chan T) T {
	select {
	case value := <-from:
		return value
	case <-time.After(settleTime):
		require.Fail(t, "timeout")
		panic("unreachable")
	}
}

// Guards against a VM without free processor time that reads requests whose callers have given up, and sends them.
func TestUnreadRequestIsNotSentAfterItsCallerLeft(t *testing.T) {
	t.Parallel()
	f := startFixture(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	var ids []string
	for i := 0; i < 20; i++ {
		method, path := http.MethodPost, "/notices/1"
		if i%2 == 0 {
			method, path = http.MethodGet, "/reads/1"
		}
		ids = append(ids, fmt.Sprint("left-", i))
		require.NoError(t, sendRaw(t, listener.Addr().String(), method, path, ids[i]).Close())
	}
	_, handled := serveCounted(t, f.gateway, listener)
	for range ids {
		receive(t, handled)
	}
	for _, id := range ids {
		assert.Zero(t, f.runs(id), id)
	}
}

// Guards against a non-idempotent request that is sent after its caller left, because its attempt waited for a connection
// to its target in the meantime.
func TestAttemptWithoutConnectionEndsWithItsCaller(t *testing.T) {
	t.Parallel()
	f := startFixture(t)
	dialing, connect := make(chan struct{}), make(chan struct{})
	g := f.newVM("vm-2")
	g.targets = platform.NewTargetClient(upstream.NewPool(upstream.Options{Dialer: &net.Dialer{
		Timeout: settleTime,
		Control: func(string, string, syscall.RawConn) error {
			dialing <- struct{}{}
			<-connect
			return nil
		},
	}}))
	f.runVM(g)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	started, handled := serveCounted(t, g, listener)
	caller := sendRaw(t, listener.Addr().String(), http.MethodPost, "/notices/1", "left")
	request := receive(t, started)
	receive(t, dialing)
	require.NoError(t, caller.Close())
	receive(t, request.Done())
	close(connect)
	receive(t, handled)
	assert.Zero(t, f.runs("left"))
}

// slowDown makes the gateway expect that a service takes over a second, so that no response is overdue, and no attempt
// hedged, before the route's timeout of 3 s. It stays below the 1.6 s from which requests of the route are rejected.
func slowDown(g *gateway, service model.Service, route string) {
	request := picker.Request{Route: route, Zone: "a", Region: "north"}
	for _, entry := range g.state.service(g.clock.Now(), service) {
		for now := g.clock.Now(); g.picker.Estimate(now, request, &entry.Target).Total < 1250*time.Millisecond; {
			ticket := g.picker.Begin(now, request, &entry.Target)
			g.picker.End(now.Add(1400*time.Millisecond), ticket, picker.Result{Responded: true})
		}
	}
}

// Guards against targets that count as failing or unreachable because callers leave.
func TestDepartureIsNoFailureOfTheTarget(t *testing.T) {
	t.Parallel()
	f := startFixture(t)
	f.setModes(platformstub.Hang, "d-1", "d-2")
	slowDown(f.gateway, "desk", "reads")
	for i := 0; i < 10; i++ {
		caller := sendRaw(t, f.gateway.settings.ListenCallers, http.MethodGet, "/reads/1", fmt.Sprint("left-", i))
		require.Eventually(t, func() bool { return f.gateway.metrics.inFlight() > 0 }, settleTime, time.Millisecond)
		require.NoError(t, caller.Close())
		require.Eventually(t, func() bool { return f.gateway.metrics.inFlight() == 0 }, settleTime, time.Millisecond)
	}
	now := f.gateway.clock.Now()
	for _, entry := range f.gateway.state.service(now, "desk") {
		estimate := f.gateway.picker.Estimate(now, picker.Request{Route: "reads", Zone: "a", Region: "north"}, &entry.Target)
		assert.Equal(t, 1.0, estimate.FailureFactor, entry.Target.ID)
	}
	assert.Empty(t, f.gateway.state.failedTargets())
}
