// Package callerconn tells whether a caller has closed its connection or has sent a request that is not read yet. It asks
// the operating system and does not wait for the HTTP server to notice, which can take long on a VM without free processor
// time.
package callerconn

import (
	"context"
	"net"
	"net/http"
	"syscall"
)

// contextKey is the key of the caller's connection in the context of its requests, and trackedKey that of the connection as the
// Tracker has it.
type (
	contextKey struct{}
	trackedKey struct{}
)

// WithConn adds a caller's connection to the context of its requests. It fits http.Server.ConnContext.
func WithConn(ctx context.Context, conn net.Conn) context.Context {
	if tracked, ok := conn.(*trackedConn); ok {
		ctx = context.WithValue(ctx, trackedKey{}, tracked)
	}
	if raw := rawConn(conn); raw != nil {
		return context.WithValue(ctx, contextKey{}, raw)
	}
	return ctx
}

// AdmitHead reserves memory for the decoded head of the request that ctx belongs to. A part of it may have been received together
// with the request before it, and not have been counted. It returns false if there is not enough memory.
func AdmitHead(ctx context.Context, header http.Header) bool {
	c, ok := ctx.Value(trackedKey{}).(*trackedConn)
	if !ok {
		return true
	}
	lines, size := 0, 0
	for name, values := range header {
		lines += len(values)
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	c.headMu.Lock()
	defer c.headMu.Unlock()
	return c.reserveHead(headMemory(lines, size))
}

// ReceivingBody records that the server reads the body of the request that ctx belongs to, until the returned function is called.
func ReceivingBody(ctx context.Context) (end func()) {
	c, ok := ctx.Value(trackedKey{}).(*trackedConn)
	if !ok {
		return func() {}
	}
	c.setActivity(sendingBody)
	return func() { c.setActivity(beingServed) }
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
