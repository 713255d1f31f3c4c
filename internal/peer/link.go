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
	// sendBufferBytes bounds what the kernel holds for a slow connection, so that urgent messages and pings are not queued
	// behind more than 35 ms of data at 30 Mbit/s.
	sendBufferBytes = 128 << 10
)

// link keeps one connection to a peer and dials again when it ends.
type link struct {
	peer     model.VMID
	address  string
	settings *Settings
	// dials limits the dials of the process at a time.
	dials  chan struct{}
	client *http.Client
	cancel context.CancelFunc
	// woken holds a token when the peer has connected to this VM.
	woken chan struct{}
	// ended is closed when run has returned.
	ended chan struct{}

	mu       sync.Mutex
	session  *session
	stopping bool
}

// newDialClient returns a client that ignores proxy settings of the environment and keeps no idle connections.
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

// run dials and sends until ctx ends or the link stops.
func (l *link) run(ctx context.Context) {
	wait := backoff{shortest: l.settings.BackoffMin, longest: l.settings.BackoffMax}
	for ctx.Err() == nil && !l.isStopping() {
		l.forgetWake()
		s, err := l.connect(ctx)
		if err != nil {
			l.reportDial(ctx, err)
			l.pause(ctx, wait.next(), l.woken)
			continue
		}
		connected := time.Now()
		l.report(ctx, l.runSession(ctx, s))
		// A connection that the peer closes at once, such as for malformed messages, must not be dialled again without delay.
		if time.Since(connected) >= l.settings.BackoffMax {
			wait.reset()
		}
		// Two VMs that close each other's connections at once would dial without a pause if an accepted connection ended it.
		l.pause(ctx, wait.next(), nil)
	}
}

// wake makes a dial that waits after a failure due at once, because the peer is known to run.
func (l *link) wake() {
	select {
	case l.woken <- struct{}{}:
	default:
	}
}

func (l *link) forgetWake() {
	select {
	case <-l.woken:
	default:
	}
}

// pause returns after length, or when ctx ends or woken receives.
func (l *link) pause(ctx context.Context, length time.Duration, woken <-chan struct{}) {
	if l.isStopping() {
		return
	}
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-woken:
	}
}

// connect dials and authenticates. It returns ErrUnavailable, ErrUnauthenticated or ErrMalformed.
func (l *link) connect(ctx context.Context) (*session, error) {
	select {
	case l.dials <- struct{}{}:
	case <-ctx.Done():
		return nil, ErrUnavailable.Wrap(ctx.Err(), "stopped")
	}
	defer func() { <-l.dials }()
	ctx, stop := context.WithTimeout(ctx, l.settings.HandshakeTimeout)
	defer stop()
	conn, _, err := websocket.Dial(ctx, "ws://"+l.address+peerPath, &websocket.DialOptions{
		HTTPClient:      l.client,
		CompressionMode: websocket.CompressionDisabled,
	})
	if err != nil {
		return nil, ErrUnavailable.Wrap(err, "cannot dial")
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

// current returns the session, or nil while there is none.
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

// stop ends the link after its queue has been sent.
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
