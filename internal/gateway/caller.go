package gateway

import (
	"context"
	"errors"
	"sync"

	"github.com/tarragonpoint/tarragonpoint/internal/callerconn"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

// requestPhase is how far a request has got.
type requestPhase uint8

const (
	// phaseWaiting means that no target has been chosen for the request yet.
	phaseWaiting requestPhase = iota
	// phaseConnecting means that an attempt waits or has waited for a connection to its target, and none has been sent.
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
	// request is the context of the request, which ends when the HTTP server notices the departure.
	request context.Context
	now     func() model.Instant

	mu       sync.Mutex
	phase    requestPhase
	left     bool
	departed departure
}

// watchCaller starts to watch the caller whose disconnection ends ctx. The returned function ends the watch.
func watchCaller(ctx context.Context, now func() model.Instant) (*callerWatch, func()) {
	w := &callerWatch{request: ctx, now: now, phase: phaseWaiting}
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
	if callerconn.IsClosed(w.request) {
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
