package callerconn

import (
	"context"
	"errors"
	"io"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// DiscardTimeout bounds the time to read the rest of a rejected request's body. Callers stop sending once they have the
	// response.
	DiscardTimeout = 3 * time.Second
	// discardBytes bounds the bytes of that rest.
	discardBytes = 64 << 20
	// keepBytes is the largest announced body after which a rejected caller keeps its connection.
	keepBytes = 256 << 10
)

// PrepareEarly prepares the response to a request whose body has not been read to its end. It must be called before the
// response is written, and DiscardBody afterwards.
func PrepareEarly(w http.ResponseWriter, request *http.Request) {
	// Without it the server reads a part of the body before it sends the response.
	_ = http.NewResponseController(w).EnableFullDuplex()
	if request.ContentLength > keepBytes || request.Header.Get("Expect") != "" {
		w.Header().Set("Connection", "close")
	}
}

// DiscardBody sends a response that was prepared with PrepareEarly, and reads and drops the rest of the request's body. If the
// connection were closed instead while the caller sends, it would be reset and the caller might lose the response.
// DiscardBody returns false if it has not reached the end of the body within the timeout, which is at most DiscardTimeout; the
// handler must then abort the connection, because the server would take what follows for another request.
func DiscardBody(w http.ResponseWriter, request *http.Request, timeout time.Duration) bool {
	control := http.NewResponseController(w)
	if control.Flush() != nil {
		return false
	}
	if request.Close || w.Header().Get("Connection") == "close" {
		// A caller may wait for the end of the connection before it stops sending.
		closeWrite(request.Context())
	}
	if control.SetReadDeadline(time.Now().Add(min(timeout, DiscardTimeout))) != nil {
		return false
	}
	_, err := io.CopyN(io.Discard, request.Body, discardBytes+1)
	return errors.Is(err, io.EOF)
}

// closeWrite ends the sending direction of the connection of the request that ctx belongs to.
func closeWrite(ctx context.Context) {
	if raw, ok := ctx.Value(contextKey{}).(syscall.RawConn); ok {
		// An error means that the connection has ended.
		_ = raw.Control(func(fd uintptr) { _ = unix.Shutdown(int(fd), unix.SHUT_WR) })
	}
}
