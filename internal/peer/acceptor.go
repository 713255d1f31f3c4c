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
	rejectionReason       = "refused"
)

// acceptor serves the connections that peers dial. Messages are only received on them, never sent.
type acceptor struct {
	settings *Settings
	handler  Handler
	// onAccepted is called for each authenticated connection. It must not block.
	onAccepted func(from model.VMID)
	// connectionSlots limits all connections, handshakeSlots those that are not yet authenticated.
	connectionSlots chan struct{}
	handshakeSlots  chan struct{}

	mu      sync.Mutex
	inbound map[model.VMID]*inbound
}

// inbound is an authenticated connection that a peer dialed.
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

func newAcceptor(settings *Settings, handler Handler, onAccepted func(from model.VMID)) *acceptor {
	return &acceptor{
		settings:        settings,
		handler:         handler,
		onAccepted:      onAccepted,
		connectionSlots: make(chan struct{}, settings.MaxInbound),
		handshakeSlots:  make(chan struct{}, settings.MaxHandshakes),
		inbound:         map[model.VMID]*inbound{},
	}
}

func tryAcquire(slots chan struct{}) bool {
	select {
	case slots <- struct{}{}:
		return true
	default:
		return false
	}
}

// ServeHTTP upgrades and authenticates a connection, and reads from it until it ends.
func (a *acceptor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !tryAcquire(a.connectionSlots) {
		http.Error(w, "too many connections", http.StatusServiceUnavailable)
		return
	}
	defer func() { <-a.connectionSlots }()
	if !tryAcquire(a.handshakeSlots) {
		http.Error(w, "too many handshakes", http.StatusServiceUnavailable)
		return
	}
	ctx, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)
	idleTimer := time.AfterFunc(a.settings.HandshakeTimeout, func() {
		cancel(ErrUnresponsive.New("no frame or ping arrived in time"))
	})
	defer idleTimer.Stop()
	in, err := a.accept(ctx, w, r, idleTimer)
	<-a.handshakeSlots
	if err == nil {
		a.settings.Count(Accepted)
		a.onAccepted(in.from)
		err = a.read(ctx, in, idleTimer)
	}
	a.finish(ctx, in, err)
}

// accept upgrades and authenticates a connection. It returns ErrMalformed, ErrUnauthenticated or ErrUnavailable. Once
// the connection is authenticated, pings reset idleTimer.
func (a *acceptor) accept(ctx context.Context, w http.ResponseWriter, r *http.Request, idleTimer *time.Timer) (*inbound, error) {
	in := &inbound{done: make(chan struct{})}
	var err error
	in.conn, err = websocket.Accept(w, r, &websocket.AcceptOptions{
		CompressionMode: websocket.CompressionDisabled,
		OnPingReceived: func(context.Context, []byte) bool {
			// Pings must not extend the time limit of the handshake.
			if in.authenticated.Load() {
				idleTimer.Reset(a.settings.IdleTimeout)
			}
			return true
		},
	})
	if err != nil {
		return in, ErrMalformed.Wrap(err, "the request is not a WebSocket upgrade")
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

// read delivers messages until the connection ends. A new connection of a peer replaces its earlier one, and its
// messages are delivered only after those of the earlier one.
func (a *acceptor) read(ctx context.Context, in *inbound, idleTimer *time.Timer) error {
	defer a.remove(in)
	if replaced := a.replace(in); replaced != nil {
		replaced.conn.CloseNow()
		<-replaced.done
	}
	defer close(in.done)
	in.conn.SetReadLimit(maxFrameBytes)
	for {
		idleTimer.Reset(a.settings.IdleTimeout)
		kind, frame, err := in.conn.Read(ctx)
		if err != nil {
			return readError(err)
		}
		if kind != websocket.MessageBinary {
			return ErrMalformed.New("received a text frame, want a binary one")
		}
		if err = a.deliver(in, frame); err != nil {
			return err
		}
	}
}

// deliver decrypts a frame and passes the message that it completes, if any, to the handler.
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

// readError returns nil if the peer closed the connection regularly, otherwise ErrMalformed for an oversized frame and
// ErrUnavailable for other errors.
func readError(err error) error {
	switch websocket.CloseStatus(err) {
	case websocket.StatusNormalClosure, websocket.StatusGoingAway:
		return nil
	default:
	}
	if isTooBig(err) {
		return ErrMalformed.Wrap(err, "a frame exceeds %d bytes", maxFrameBytes)
	}
	return ErrUnavailable.Wrap(err, "the connection failed")
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

// finish closes the connection. It reports the error, if any, unless ctx ended because this VM is stopping. A rejected
// peer gets a close status without details.
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
		in.conn.Close(websocket.StatusPolicyViolation, rejectionReason)
	}
	in.conn.CloseNow()
}
