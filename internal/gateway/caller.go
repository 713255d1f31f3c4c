package gateway

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

// requestPhase is how far a request has got.
type requestPhase uint8

const (
	// phaseWaiting means that no target has been chosen for the request, or its attempt was not sent.
	phaseWaiting requestPhase = iota
	// phaseConnecting means that an attempt waits for a connection to its target.
	phaseConnecting
	// phaseSent means that at least one attempt has been sent.
	phaseSent
)

func (p requestPhase) String() string {
	return [...]string{"waiting", "connecting", "sent"}[p]
}

// errCallerLeft reports that a caller closed its connection before an attempt of its request was sent.
var errCallerLeft = errors.New("caller closed its connection")

// departure describes the disconnection of a request's caller.
type departure struct {
	// at is when this VM detected it, and phase how far the request was then.
	at    model.Instant
	phase requestPhase
	// beforeServer is true if the check before an attempt detected it before the HTTP server did.
	beforeServer bool
}

// detectedBy returns what detected the departure, for logs and metrics.
func (d departure) detectedBy() string {
	if d.beforeServer {
		return "check"
	}
	return "server"
}

// callerWatch detects the departure of a request's caller and records how far the request was. It is safe for concurrent
// use.
type callerWatch struct {
	now func() model.Instant
	// socket is the caller's connection; nil if it cannot be inspected.
	socket syscall.RawConn

	mu       sync.Mutex
	phase    requestPhase
	left     bool
	departed departure
}

// callerSocketKey is the key of a caller's connection in the context of its requests.
type callerSocketKey struct{}

// withCallerSocket adds a caller's connection to the context of its requests.
func withCallerSocket(ctx context.Context, socket net.Conn) context.Context {
	if tcp, ok := socket.(syscall.Conn); ok {
		if raw, err := tcp.SyscallConn(); err == nil {
			return context.WithValue(ctx, callerSocketKey{}, raw)
		}
	}
	return ctx
}

// watchCaller starts to watch the caller whose disconnection ends ctx. The returned function ends the watch.
func watchCaller(ctx context.Context, now func() model.Instant) (*callerWatch, func()) {
	w := &callerWatch{now: now, phase: phaseWaiting}
	w.socket, _ = ctx.Value(callerSocketKey{}).(syscall.RawConn)
	stop := context.AfterFunc(ctx, func() { w.recordLeft(false) })
	return w, func() { stop() }
}

func (w *callerWatch) recordLeft(beforeServer bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.left {
		w.left, w.departed = true, departure{at: w.now(), phase: w.phase, beforeServer: beforeServer}
	}
}

// departure returns the caller's departure, and false if none was detected.
func (w *callerWatch) departure() (departure, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.departed, w.left
}

// connecting records that an attempt waits for a connection.
func (w *callerWatch) connecting() { w.advance(phaseConnecting) }

// beforeSend returns errCallerLeft if the caller has left, and otherwise records that an attempt is sent.
func (w *callerWatch) beforeSend() error {
	if w.isClosed() {
		w.recordLeft(true)
		return errCallerLeft
	}
	w.advance(phaseSent)
	return nil
}

func (w *callerWatch) advance(phase requestPhase) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.phase = max(w.phase, phase)
}

// isClosed reports whether the caller has closed its connection. It does not wait for the HTTP server to notice that,
// which can take long on a VM without free processor time.
func (w *callerWatch) isClosed() bool {
	if w.socket == nil {
		return false
	}
	var n int
	var peekErr error
	// Control is used instead of Read because Read waits for the server's own read of the connection.
	err := w.socket.Control(func(fd uintptr) {
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
