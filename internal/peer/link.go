package peer

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/coder/websocket"

	"github.com/tarragonpoint/tarragonpoint/internal/logging"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

const (
	// peerPath is the path of the WebSocket endpoint.
	peerPath = "/peer/v1"
	// sendBufferBytes is the size of the kernel's send buffer. It is limited so that on a slow connection, urgent
	// messages and pings wait behind no more than 35 ms of data at 30 Mbit/s.
	sendBufferBytes = 128 << 10
)

// link maintains one outgoing connection to a peer and redials when it ends.
type link struct {
	peer     model.VMID
	address  string
	settings *Settings
	// dialSlots limits the number of concurrent dials of the process.
	dialSlots chan struct{}
	client    *http.Client
	cancel    context.CancelFunc
	// wakeSignal holds a token if the peer connected to this VM since the last dial.
	wakeSignal chan struct{}
	// done is closed after run has returned.
	done chan struct{}

	mu       sync.Mutex
	session  *session
	stopping bool
}

// newDialClient returns an HTTP client that ignores the proxy settings of the environment and keeps no idle
// connections.
func newDialClient() *http.Client {
	dialer := net.Dialer{}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		if tcp, ok := conn.(*net.TCPConn); ok {
			err = tcp.SetWriteBuffer(sendBufferBytes)
		}
		return conn, err
	}
	return &http.Client{Transport: &http.Transport{DialContext: dial, DisableKeepAlives: true, DisableCompression: true}}
}

// run keeps the link connected and sends its messages until ctx ends or the link is stopped.
func (l *link) run(ctx context.Context) {
	delays := backoff{shortest: l.settings.BackoffMin, longest: l.settings.BackoffMax}
	for ctx.Err() == nil && !l.isStopping() {
		l.clearWake()
		s, err := l.connect(ctx)
		if err != nil {
			l.reportDial(ctx, err)
			l.pause(ctx, delays.next(), l.wakeSignal)
			continue
		}
		connectedAt := time.Now()
		l.report(ctx, l.runSession(ctx, s))
		// Only a connection that lasted resets the backoff. A peer that closes each connection at once, for example
		// because of malformed messages, must not be redialed at the shortest delay every time.
		if time.Since(connectedAt) >= l.settings.BackoffMax {
			delays.reset()
		}
		// The wake signal does not shorten this delay. Otherwise two VMs that close each other's connections at once
		// would redial without any delay.
		l.pause(ctx, delays.next(), nil)
	}
}

// wake ends the delay after a failed dial, because the peer is known to be running.
func (l *link) wake() {
	select {
	case l.wakeSignal <- struct{}{}:
	default:
	}
}

func (l *link) clearWake() {
	select {
	case <-l.wakeSignal:
	default:
	}
}

// pause waits until length has passed, ctx ends or wakeSignal holds a token. It returns at once if the link is
// stopping.
func (l *link) pause(ctx context.Context, length time.Duration, wakeSignal <-chan struct{}) {
	if l.isStopping() {
		return
	}
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-wakeSignal:
	}
}

// connect dials and authenticates a connection. It returns ErrUnavailable, ErrUnauthenticated or ErrMalformed.
func (l *link) connect(ctx context.Context) (*session, error) {
	select {
	case l.dialSlots <- struct{}{}:
	case <-ctx.Done():
		return nil, ErrUnavailable.Wrap(ctx.Err(), "stopped")
	}
	defer func() { <-l.dialSlots }()
	ctx, stop := context.WithTimeout(ctx, l.settings.HandshakeTimeout)
	defer stop()
	conn, _, err := websocket.Dial(ctx, "ws://"+l.address+peerPath, &websocket.DialOptions{
		HTTPClient:      l.client,
		CompressionMode: websocket.CompressionDisabled,
	})
	if err != nil {
		return nil, ErrUnavailable.Wrap(err, "cannot dial the peer")
	}
	key, err := dialHandshake(ctx, conn, l.settings.Keys, l.settings.Self, l.peer)
	if err != nil {
		conn.CloseNow()
		return nil, err
	}
	return newSession(conn, key, l.settings)
}

func (l *link) runSession(ctx context.Context, s *session) error {
	l.mu.Lock()
	l.session = s
	if l.stopping {
		s.queue.close()
	}
	l.mu.Unlock()
	l.settings.Count(Connected)
	l.settings.Log.Info("Connected to a peer.", logging.VM(l.peer))
	err := s.run(ctx)
	l.mu.Lock()
	l.session = nil
	l.mu.Unlock()
	l.settings.Count(Disconnected)
	return err
}

// current returns the session, or nil if the link is not connected.
func (l *link) current() *session {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.session
}

func (l *link) isStopping() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stopping
}

// stop makes the link end once its queue has been sent, or at once if it is not connected.
func (l *link) stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopping = true
	if l.session != nil {
		l.session.queue.close()
		return
	}
	l.cancel()
}

func (l *link) reportDial(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	l.settings.Count(DialFailed)
	reportFault(l.settings, l.peer, err)
}

func (l *link) report(ctx context.Context, err error) {
	if err == nil || ctx.Err() != nil {
		return
	}
	reportFault(l.settings, l.peer, err)
}
