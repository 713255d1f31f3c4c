package callerconn

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// settleTime bounds the time until a closed connection is detected over loopback.
const settleTime = 10 * time.Second

// connect returns both ends of a caller's connection.
func connect(t *testing.T) (caller, server *net.TCPConn) {
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

// Guards against an open connection that counts as closed, which would drop requests of callers that still wait.
func TestClosedCallerConnectionIsDetected(t *testing.T) {
	t.Parallel()
	for name, end := range map[string]func(*net.TCPConn) error{
		"close": (*net.TCPConn).Close,
		"reset": func(c *net.TCPConn) error {
			if err := c.SetLinger(0); err != nil {
				return err
			}
			return c.Close()
		},
	} {
		caller, server := connect(t)
		ctx := WithConn(context.Background(), server)
		isClosed := func() bool { return IsClosed(ctx) }
		// The HTTP server reads the connection while a request is handled; the check must not wait for that.
		reading := make(chan error, 1)
		go func() {
			_, err := server.Read(make([]byte, 1))
			reading <- err
		}()
		assert.False(t, isClosed(), name)
		_, err := caller.Write([]byte("x"))
		require.NoError(t, err)
		require.NoError(t, <-reading)
		_, err = caller.Write([]byte("next request"))
		require.NoError(t, err)
		assert.False(t, isClosed(), name)
		_, err = server.Read(make([]byte, 100))
		require.NoError(t, err)
		require.NoError(t, end(caller))
		require.Eventually(t, isClosed, settleTime, time.Millisecond, name)
	}
}

// Guards against a request that is sent after the server has closed the connection of its caller.
func TestConnectionClosedByTheServerIsClosed(t *testing.T) {
	t.Parallel()
	_, server := connect(t)
	ctx := WithConn(context.Background(), server)
	require.NoError(t, server.Close())
	assert.True(t, IsClosed(ctx))
	assert.False(t, IsClosed(context.Background()))
}
