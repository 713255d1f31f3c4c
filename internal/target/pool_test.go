package target

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/stretchr/testify/require"

	"github.com/tarragonpoint/tarragonpoint/internal/bounds"
)

// Guards against a non-idempotent request that fails with ErrBroken because it was sent on an idle connection that the
// target had closed.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	raw := startRawTarget(t, func(_ int64, request *http.Request) []byte { return echo(request, "ok") })
	client := &HTTPClient{}
	_, err := do(client, raw.address, http.MethodPost, "first")
	require.NoError(t, err)
	idle := client.pools[poolKey{raw.address, purposeRequest}].idle[0]
	require.True(t, isUsable(idle.Conn))
	raw.closeConnections()
	require.Eventually(t, func() bool { return !isUsable(idle.Conn) }, 10*time.Second, time.Millisecond)
	_, err = do(client, raw.address, http.MethodPost, "second")
	require.NoError(t, err)
	require.Equal(t, int64(2), raw.connections.Load())
}

// Guards against an error other than ErrNotSent if the kernel accepted no byte, and against a request that is sent
// after its context ended.
func TestUnwrittenRequestIsNotSent(t *testing.T) {
	raw := startRawTarget(t, func(_ int64, request *http.Request) []byte { return echo(request, "ok") })
	conn, err := newPool(1).get(context.Background(), newDialer(time.Second).DialContext, raw.address, time.Second, false)
	require.NoError(t, err)
	require.NoError(t, conn.Close())
	request, err := newHTTPRequest(context.Background(), http.MethodPost, "http://"+string(raw.address), nil)
	require.NoError(t, err)
	_, err = exchange(context.Background(), conn, request, []byte("POST / HTTP/1.1\r\n\r\n"), 1, bounds.NewBodyMemory(0))
	require.True(t, errorx.IsOfType(err, ErrNotSent), "%v", err)

	client := &HTTPClient{}
	_, err = do(client, raw.address, http.MethodPost, "leaves an idle connection")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for range 50 {
		_, err = client.Do(ctx, raw.address, Request{Attempt: "a", Method: http.MethodPost, Path: "/x", Timeout: time.Minute})
		require.True(t, errorx.IsOfType(err, ErrNotSent), "%v", err)
	}
	require.Equal(t, int64(1), raw.requests.Load())
}
