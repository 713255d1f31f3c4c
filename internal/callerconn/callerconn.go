// Package callerconn tells whether a caller has closed its connection or has sent a request that is not read yet. It asks
// the operating system and does not wait for the HTTP server to notice, which can take long on a VM without free processor
// time.
package callerconn

import (
	"context"
	"net"
	"syscall"
)

// contextKey is the key of the caller's connection in the context of its requests.
type contextKey struct{}

// WithConn adds a caller's connection to the context of its requests. It fits http.Server.ConnContext.
func WithConn(ctx context.Context, conn net.Conn) context.Context {
	if raw := rawConn(conn); raw != nil {
		return context.WithValue(ctx, contextKey{}, raw)
	}
	return ctx
}

// rawConn returns the raw connection of conn, or nil if it has none.
func rawConn(conn net.Conn) syscall.RawConn {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return nil
	}
	return raw
}

// IsClosed reports whether the caller of the request that ctx belongs to has closed its connection. It returns false if
// ctx has no connection.
func IsClosed(ctx context.Context) bool {
	raw, ok := ctx.Value(contextKey{}).(syscall.RawConn)
	if !ok {
		return false
	}
	return isClosed(raw)
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
