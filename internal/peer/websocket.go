package peer

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/coder/websocket"

	"github.com/tarragonpoint/tarragonpoint/internal/kernel"
	"github.com/tarragonpoint/tarragonpoint/internal/message"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

// WebSocketID is the ID of the plug-in.
const WebSocketID kernel.ID = "peer.websocket"

func init() {
	kernel.Register(WebSocketID, func() any { return &WebSocket{} })
}

// WebSocket is a Transport that sends CBOR messages over WebSocket connections.
//
// There is one connection for each ordered pair of VMs: each side sends on the connections that it dials and receives
// on those that it accepts. The two directions therefore fail and recover independently, no rule is needed to choose
// between two simultaneous dials, and each session key is used in one direction only.
//
// Each connection has its own queues. When it ends, messages that are queued or in flight are lost, and Send returns
// ErrUnavailable until the next connection is authenticated. Messages of equal priority on one connection arrive in the
// order in which they were sent.
type WebSocket struct {
	// Filter simulates a one-way network partition in tests. A message for which it returns false is dropped as if it
	// were lost in the network, and Send still returns nil. It must be set before Start and be safe for concurrent use;
	// nil drops nothing.
	Filter func(from, to model.VMID, outgoing message.Message) bool

	settings  Settings
	handler   Handler
	client    *http.Client
	dialSlots chan struct{}
	listener  net.Listener
	server    *http.Server
	cancel    context.CancelFunc
	running   sync.WaitGroup

	mu       sync.Mutex
	ctx      context.Context
	links    map[model.VMID]*link
	peers    map[model.VMID]string
	stopping bool
}

var _ Transport = (*WebSocket)(nil)

// New returns a transport for use without a kernel host. It returns ErrSettings if the settings are invalid.
func New(settings Settings) (*WebSocket, error) {
	w := &WebSocket{}
	w.configure(settings)
	return w, w.Validate()
}

// Provision takes the settings from the host, which must implement Host.
func (w *WebSocket) Provision(host any) error {
	provider, ok := host.(Host)
	if !ok {
		return ErrSettings.New("the host provides no settings for peer connections")
	}
	w.configure(provider.PeerSettings())
	return nil
}

func (w *WebSocket) configure(settings Settings) {
	settings.setDefaults()
	w.settings = settings
	w.links = map[model.VMID]*link{}
}

// Validate returns ErrSettings if settings are missing or invalid.
func (w *WebSocket) Validate() error { return w.settings.validate() }

// SetHandler sets the handler of received messages. It must be called before Start.
func (w *WebSocket) SetHandler(handler Handler) { w.handler = handler }

// Start begins to listen and to connect to peers, until ctx ends. It returns ErrSettings if there is no handler, and
// ErrUnavailable if it cannot listen on the address.
func (w *WebSocket) Start(ctx context.Context) error {
	if w.handler == nil {
		return ErrSettings.New("SetHandler was not called before Start")
	}
	listener, err := net.Listen("tcp", w.settings.Listen)
	if err != nil {
		return ErrUnavailable.Wrap(err, "cannot listen on %s", w.settings.Listen)
	}
	ctx, w.cancel = context.WithCancel(ctx)
	w.listener = listener
	w.client = newDialClient()
	w.dialSlots = make(chan struct{}, w.settings.MaxDials)
	w.serve(ctx)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ctx = ctx
	w.applyPeers()
	return nil
}

// Address returns the address on which the transport listens, as host:port. It must be called after Start.
func (w *WebSocket) Address() string { return w.listener.Addr().String() }

func (w *WebSocket) serve(ctx context.Context) {
	incoming := newAcceptor(&w.settings, w.handler, w.wake)
	mux := http.NewServeMux()
	mux.HandleFunc(peerPath, func(rw http.ResponseWriter, r *http.Request) {
		if !w.beginConnection(ctx) {
			return
		}
		defer w.running.Done()
		incoming.ServeHTTP(rw, r)
	})
	w.server = &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: w.settings.HandshakeTimeout,
		IdleTimeout:       w.settings.HandshakeTimeout,
		MaxHeaderBytes:    maxUpgradeHeaderBytes,
		BaseContext:       func(net.Listener) context.Context { return ctx },
		ErrorLog:          discardHTTPLog(),
	}
	w.running.Add(2)
	go func() {
		defer w.running.Done()
		w.server.Serve(w.listener)
	}()
	go func() {
		defer w.running.Done()
		<-ctx.Done()
		w.server.Close()
	}()
}

// beginConnection adds an accepted connection to running, unless ctx has ended. Both steps happen under mu, so that no
// connection is added while Stop waits for running.
func (w *WebSocket) beginConnection(ctx context.Context) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if ctx.Err() != nil {
		return false
	}
	w.running.Add(1)
	return true
}

// SetPeers replaces the addresses of the known peers. Connections to removed peers are closed.
func (w *WebSocket) SetPeers(peers map[model.VMID]string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.peers = make(map[model.VMID]string, len(peers))
	for id, address := range peers {
		if id != w.settings.Self {
			w.peers[id] = address
		}
	}
	if w.ctx != nil && !w.stopping {
		w.applyPeers()
	}
}

// applyPeers ends the links to removed peers and changed addresses, and starts the missing ones. The caller holds mu.
func (w *WebSocket) applyPeers() {
	for id, l := range w.links {
		if w.peers[id] != l.address {
			l.cancel()
			delete(w.links, id)
		}
	}
	for id, address := range w.peers {
		if w.links[id] == nil {
			w.links[id] = w.startLink(id, address)
		}
	}
}

func (w *WebSocket) startLink(id model.VMID, address string) *link {
	ctx, cancel := context.WithCancel(w.ctx)
	l := &link{peer: id, address: address, settings: &w.settings, dialSlots: w.dialSlots, client: w.client, cancel: cancel,
		wakeSignal: make(chan struct{}, 1), done: make(chan struct{})}
	w.running.Add(1)
	go func() {
		defer w.running.Done()
		defer close(l.done)
		defer cancel()
		l.run(ctx)
	}()
	return l
}

// Send queues one message. It does not block. ErrUnavailable means that the message will not be delivered; ErrTooLarge
// and ErrMalformed report a message that can never be sent.
func (w *WebSocket) Send(to model.VMID, outgoing message.Message) error {
	s := w.session(to)
	if s == nil {
		return ErrUnavailable.New("no connection to %s", to)
	}
	data, err := encodeMessage(outgoing)
	if err != nil {
		return err
	}
	if w.Filter != nil && !w.Filter(w.settings.Self, to, outgoing) {
		return nil
	}
	item := &queued{data: data}
	if outgoing.Forward != nil && outgoing.Forward.Timeout > 0 {
		item.expires = time.Now().Add(outgoing.Forward.Timeout)
	}
	err = s.queue.push(priorityOf(outgoing), item)
	if isType(err, errQueueFull) {
		w.settings.Count(QueueFull)
		w.settings.Log.Warn("The queue of a peer is full. A message was not sent.", faultFields(to, err)...)
	}
	return err
}

// wake dials a peer that has connected to this VM without waiting for the end of the backoff.
func (w *WebSocket) wake(id model.VMID) {
	w.mu.Lock()
	l := w.links[id]
	w.mu.Unlock()
	if l != nil {
		l.wake()
	}
}

func (w *WebSocket) session(to model.VMID) *session {
	w.mu.Lock()
	l := w.links[to]
	w.mu.Unlock()
	if l == nil {
		return nil
	}
	return l.current()
}

// Stop rejects further messages, sends those in the queues and closes all connections. If ctx ends first, it closes the
// connections at once and returns ErrUnavailable.
func (w *WebSocket) Stop(ctx context.Context) error {
	if w.cancel == nil {
		return nil
	}
	drained := make(chan struct{})
	go func() {
		defer close(drained)
		w.drainLinks()
	}()
	var err error
	select {
	case <-drained:
	case <-ctx.Done():
		err = ErrUnavailable.Wrap(ctx.Err(), "connections were closed before their queues were empty")
	}
	w.mu.Lock()
	w.cancel()
	w.mu.Unlock()
	w.running.Wait()
	<-drained
	return err
}

// drainLinks stops all links and returns when all have ended.
func (w *WebSocket) drainLinks() {
	w.mu.Lock()
	w.stopping = true
	links := w.links
	w.links = map[model.VMID]*link{}
	w.mu.Unlock()
	for _, l := range links {
		l.stop()
	}
	for _, l := range links {
		<-l.done
	}
}

func isTooBig(err error) bool { return errors.Is(err, websocket.ErrMessageTooBig) }
