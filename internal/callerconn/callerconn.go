// Package callerconn detects that a caller has closed its connection. It asks the operating system and does not wait for
// the HTTP server to notice, which can take long on a VM without free processor time.
package callerconn

import (
	"context"
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// contextKey is the key of the caller's connection in the context of its requests.
type contextKey struct{}

// WithConn adds a caller's connection to the context of its requests. It fits http.Server.ConnContext.
func WithConn(ctx context.Context, conn net.Conn) context.Context {
	if socket, ok := conn.(syscall.Conn); ok {
		if raw, err := socket.SyscallConn(); err == nil {
			return context.WithValue(ctx, contextKey{}, raw)
		}
	}
	return ctx
}

// IsClosed reports whether the caller of the request that ctx belongs to has closed its connection. It returns false if
// ctx has no connection.
func IsClosed(ctx context.Context) bool {
	raw, ok := ctx.Value(contextKey{}).(syscall.RawConn)
	if !ok {
		return false
	}
	var n int
	var peekErr error
	// Control is used instead of Read because Read waits for the server's own read of the connection.
	err := raw.Control(func(fd uintptr) {
		var buffer [1]byte
		n, _, peekErr = unix.Recvfrom(int(fd), buffer[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	switch {
	case err != nil:
		// The server has closed its end of the connection.
		return true
	case errors.Is(peekErr, unix.EAGAIN), errors.Is(peekErr, unix.EINTR):
		return false
	case peekErr != nil:
		return true
	default:
		return n == 0
	}
}

// UntilLeft returns a context that ends with ctx or when the context of the caller's request ends, whichever is first.
func UntilLeft(ctx, caller context.Context) (context.Context, context.CancelFunc) {
	waiting, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(caller, cancel)
	return waiting, func() {
		stop()
		cancel()
	}
}
