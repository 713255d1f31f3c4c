package peer

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

const (
	maxUpgradeHeaderBytes = 8 << 10
	refusalReason         = "refused"
)

// acceptor serves the connections that peers dial. They only receive.
type acceptor struct {
	settings *Settings
	handler  Handler
	// accepted is called for each authenticated connection. It must not block.
	accepted   func(from model.VMID)
	connected  chan struct{}
	handshakes chan struct{}

	mu      sync.Mutex
	inbound map[model.VMID]*inbound
}

// inbound is an authenticated connection that a peer dialled.
type inbound struct {
	from   model.VMID
	conn   *websocket.Conn
	opener opener
	parts  assembler
	// authenticated is true once the handshake has succeeded.
	authenticated atomic.Bool
	// done is closed after the last message has been delivered.
	done chan struct{}
}

func newAcceptor(settings *Settings, handler Handler, accepted func(from model.VMID)) *acceptor {
	return &acceptor{
		settings:   settings,
		handler:    handler,
		accepted:   accepted,
		connected:  make(chan struct{}, settings.MaxInbound),
		handshakes: make(chan struct{}, settings.MaxHandshakes),
		inbound:    map[model.VMID]*inbound{},
	}
}

func acquire(limit chan struct{}) bool {
	select {
	case limit <- struct{}{}:
		return true
	default:
		return false
	}
}

// ServeHTTP upgrades, authenticates and reads a connection to its end.
func (a *acceptor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !acquire(a.connected) {
		http.Error(w, "too many connections", http.StatusServiceUnavailable)
		return
	}
	defer func() { <-a.connected }()
	if !acquire(a.handshakes) {
		http.Error(w, "too many handshakes", http.StatusServiceUnavailable)
		return
	}
	ctx, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)
	silence := time.AfterFunc(a.settings.HandshakeTimeout, func() {
		cancel(ErrUnresponsive.New("nothing arrived"))
	})
	defer silence.Stop()
	in, err := a.accept(ctx, w, r, silence)
	<-a.handshakes
	if err == nil {
		a.settings.Count(Accepted)
		a.accepted(in.from)
		err = a.read(ctx, in, silence)
	}
	a.finish(ctx, in, err)
}

// accept upgrades and authenticates a connection. The timer ends it while nothing arrives.
func (a *acceptor) accept(ctx context.Context, w http.ResponseWriter, r *http.Request, silence *time.Timer) (*inbound, error) {
	in := &inbound{done: make(chan struct{})}
	var err error
	in.conn, err = websocket.Accept(w, r, &websocket.AcceptOptions{
		CompressionMode: websocket.CompressionDisabled,
		OnPingReceived: func(context.Context, []byte) bool {
			// Pings must not extend the time for the handshake.
			if in.authenticated.Load() {
				silence.Reset(a.settings.IdleTimeout)
			}
			return true
		},
	})
	if err != nil {
		return in, ErrMalformed.Wrap(err, "not a WebSocket request")
	}
	from, key, err := acceptHandshake(ctx, in.conn, a.settings.Keys, a.settings.Self)
	if err != nil {
		return in, err
	}
	in.from = from
	in.opener.aead, err = newAEAD(key)
	in.authenticated.Store(err == nil)
	return in, err
}

// read delivers messages until the connection ends. A second connection of the same peer replaces the first, and its messages
// are delivered only after the first one's.
func (a *acceptor) read(ctx context.Context, in *inbound, silence *time.Timer) error {
	defer a.remove(in)
	if replaced := a.replace(in); replaced != nil {
		replaced.conn.CloseNow()
		<-replaced.done
	}
	defer close(in.done)
	in.conn.SetReadLimit(maxFrameBytes)
	for {
		silence.Reset(a.settings.IdleTimeout)
		kind, frame, err := in.conn.Read(ctx)
		if err != nil {
			return readError(err)
		}
		if kind != websocket.MessageBinary {
			return ErrMalformed.New("a text frame")
		}
		if err = a.deliver(in, frame); err != nil {
			return err
		}
	}
}

// deliver opens a frame and hands over the message that it completes.
func (a *acceptor) deliver(in *inbound, frame []byte) error {
	plain, err := in.opener.open(frame)
	if err != nil {
		return err
	}
	data, err := in.parts.add(plain)
	if err != nil || data == nil {
		return err
	}
	received, err := decodeMessage(data)
	if err != nil {
		return err
	}
	a.handler(in.from, received)
	return nil
}

// readError returns nil for a regular end of the connection.
func readError(err error) error {
	switch websocket.CloseStatus(err) {
	case websocket.StatusNormalClosure, websocket.StatusGoingAway:
		return nil
	default:
	}
	if errorsIsTooBig(err) {
		return ErrMalformed.Wrap(err, "a frame exceeds %d bytes", maxFrameBytes)
	}
	return ErrUnavailable.Wrap(err, "the connection ended")
}

func (a *acceptor) replace(in *inbound) (replaced *inbound) {
	a.mu.Lock()
	defer a.mu.Unlock()
	replaced = a.inbound[in.from]
	a.inbound[in.from] = in
	return replaced
}

func (a *acceptor) remove(in *inbound) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.inbound[in.from] == in {
		delete(a.inbound, in.from)
	}
}

// finish closes the connection. A refused peer gets a close status without details.
func (a *acceptor) finish(ctx context.Context, in *inbound, err error) {
	if cause := context.Cause(ctx); err != nil && isType(cause, ErrUnresponsive) {
		err = cause
	}
	if err != nil && ctx.Err() == nil || isType(err, ErrUnresponsive) {
		reportFault(a.settings, in.from, err)
	}
	if in.conn == nil {
		return
	}
	if isType(err, ErrUnauthenticated) || isType(err, ErrMalformed) {
		in.conn.Close(websocket.StatusPolicyViolation, refusalReason)
	}
	in.conn.CloseNow()
}
