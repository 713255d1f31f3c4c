// Package hub links all VMs with the leader, over WebSocket with CBOR.
//
// Each VM reports the load of keys to the leader. The leader passes on what it reads from the platform's store, so that
// one VM instead of all of them reads there. A VM whose link to the leader is silent reads the store itself, so the
// link is never needed for correctness.
package hub

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/joomcode/errorx"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

var (
	errNamespace = errorx.NewNamespace("hub")
	// ErrLink reports a connection to the leader that cannot be opened or broke.
	ErrLink = errNamespace.NewType("link")
)

const (
	// Path is where the leader accepts links.
	Path = "/v1/hub"
	// ReportInterval is the time between two reports of a VM. Hot keys move within seconds.
	ReportInterval = 500 * time.Millisecond
	// maxMessage bounds a message, in bytes.
	maxMessage = 4 << 20
	// linkTimeout bounds the opening of a connection and the sending of a message.
	linkTimeout = time.Second
	// silence ends a link on which nothing arrived. The leader pushes several times a second.
	silence = 1500 * time.Millisecond
	// memory is how long a VM counts after its last report.
	memory = 3 * time.Second
	// queueLength is the number of pushes that wait for a slow VM before its link is closed.
	queueLength = 64
)

// Bucket is the work on neighboring keys since the last report.
type Bucket struct {
	_     struct{} `cbor:",toarray"`
	Index uint16
	// Work is the time for which slots were busy, in milliseconds.
	Work uint32
}

// Report is what one VM tells the leader.
type Report struct {
	_  struct{} `cbor:",toarray"`
	VM string
	// LinkMbps is the bandwidth of the VM's link, in Mbit/s.
	LinkMbps float64
	Services map[model.Service][]Bucket
	// Failed lists the targets that the VM could not reach and that have not reported since.
	Failed []model.TargetID
}

// Position is a VM's place among all VMs.
type Position struct {
	_ struct{} `cbor:",toarray"`
	// VMs is the number of VMs that reported lately, the leader included.
	VMs int
	// Rank is the position of the VM among them, from 0, in order of their names.
	Rank int
	// Candidate is true for the few VMs that are ready to lead.
	Candidate bool
}

// Record is a record of a topic that the leader passes on.
type Record struct {
	_      struct{} `cbor:",toarray"`
	Key    string
	Value  []byte
	Offset uint64
	// Delta is true if the value says how the record follows from the former one of its key.
	Delta bool
}

// Batch says what a topic holds between two offsets. Records without effect are left out.
type Batch struct {
	_     struct{} `cbor:",toarray"`
	Topic string
	// From and To are the offsets before and after the batch; To is where the topic ended.
	From, To uint64
	// Age is how long ago the topic was known to end at To, in milliseconds.
	Age     uint32
	Records []Record
}

// Push is what the leader tells a VM.
type Push struct {
	_     struct{} `cbor:",toarray"`
	Place *Position
	Batch *Batch
}

// Server is the leader's end of the links. It is safe for concurrent use.
type Server struct {
	now  func() model.Instant
	take func(Report)
	// leading reports whether this VM leads; it serves no links otherwise.
	leading func() bool

	mu    sync.Mutex
	seen  map[string]member
	links map[*serverLink]bool
}

type serverLink struct {
	queue  chan []byte
	cancel context.CancelFunc
}

// NewServer returns a server that passes reports on to take.
func NewServer(now func() model.Instant, leading func() bool, take func(Report)) *Server {
	return &Server{
		now: now, leading: leading, take: take, seen: map[string]member{}, links: map[*serverLink]bool{},
	}
}

// ServeHTTP serves the link of one VM until it ends.
func (s *Server) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	if !s.leading() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	socket, err := websocket.Accept(w, request, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
	if err != nil {
		// Accept has answered the request.
		return
	}
	defer func() { _ = socket.CloseNow() }()
	socket.SetReadLimit(maxMessage)
	ctx, cancel := context.WithCancel(request.Context())
	defer cancel()
	link := &serverLink{queue: make(chan []byte, queueLength), cancel: cancel}
	s.add(link)
	defer s.remove(link)
	go link.write(ctx, socket)
	for s.leading() && s.serveOne(ctx, socket, link) == nil {
	}
}

func (s *Server) add(link *serverLink) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.links[link] = true
}

func (s *Server) remove(link *serverLink) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.links, link)
}

func (s *Server) serveOne(ctx context.Context, socket *websocket.Conn, link *serverLink) error {
	ctx, cancel := context.WithTimeout(ctx, memory)
	defer cancel()
	_, raw, err := socket.Read(ctx)
	if err != nil {
		return err
	}
	var report Report
	if err := cbor.Unmarshal(raw, &report); err != nil {
		return err
	}
	place := s.HandleReport(report)
	return link.push(Push{Place: &place})
}

// HandleReport passes a report on and returns the place of its VM. The leader's own reports come without a link.
func (s *Server) HandleReport(report Report) Position {
	s.take(report)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.seen[report.VM] = member{at: now, linkMbps: report.LinkMbps}
	for vm, m := range s.seen {
		if now.Sub(m.at) > memory {
			delete(s.seen, vm)
		}
	}
	return placeOf(report.VM, s.seen)
}

// Broadcast passes a batch on to all VMs. A VM that is too slow loses its link and reads the store itself. It returns
// ErrLink for a batch that cannot be encoded.
func (s *Server) Broadcast(batch Batch) error {
	raw, err := encodePush(Push{Batch: &batch})
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for link := range s.links {
		link.enqueue(raw)
	}
	return nil
}

func encodePush(push Push) ([]byte, error) {
	raw, err := cbor.Marshal(push)
	if err != nil {
		return nil, ErrLink.Wrap(err, "push cannot be encoded")
	}
	return encodeFrame(raw)
}

func (l *serverLink) push(push Push) error {
	raw, err := encodePush(push)
	if err != nil {
		return err
	}
	l.enqueue(raw)
	return nil
}

func (l *serverLink) enqueue(raw []byte) {
	select {
	case l.queue <- raw:
	default:
		l.cancel()
	}
}

func (l *serverLink) write(ctx context.Context, socket *websocket.Conn) {
	defer l.cancel()
	for {
		select {
		case raw := <-l.queue:
			if write(ctx, socket, raw) != nil {
				return
			}
		case <-ctx.Done():
			return
		}
	}
}

func write(ctx context.Context, socket *websocket.Conn, raw []byte) error {
	ctx, cancel := context.WithTimeout(ctx, linkTimeout)
	defer cancel()
	return socket.Write(ctx, websocket.MessageBinary, raw)
}

// Client is a VM's end of the link.
type Client struct {
	socket *websocket.Conn
}

// Dial connects to the leader at an address. It returns ErrLink if that fails.
func Dial(ctx context.Context, address string) (*Client, error) {
	ctx, cancel := context.WithTimeout(ctx, linkTimeout)
	defer cancel()
	socket, response, err := websocket.Dial(ctx, "ws://"+address+Path, &websocket.DialOptions{
		HTTPClient:      &http.Client{Transport: &http.Transport{}},
		CompressionMode: websocket.CompressionDisabled,
	})
	if response != nil && response.Body != nil {
		_ = response.Body.Close()
	}
	if err != nil {
		return nil, ErrLink.Wrap(err, "leader at %s", address)
	}
	socket.SetReadLimit(maxMessage)
	return &Client{socket: socket}, nil
}

// Send sends a report. It returns ErrLink if the link broke.
func (c *Client) Send(ctx context.Context, report Report) error {
	raw, err := cbor.Marshal(report)
	if err != nil {
		return ErrLink.Wrap(err, "report cannot be encoded")
	}
	if err := write(ctx, c.socket, raw); err != nil {
		return ErrLink.Wrap(err, "report")
	}
	return nil
}

// Receive returns the leader's next push, or ErrLink if none came in time.
func (c *Client) Receive(ctx context.Context) (Push, error) {
	ctx, cancel := context.WithTimeout(ctx, silence)
	defer cancel()
	_, frame, err := c.socket.Read(ctx)
	if err != nil {
		return Push{}, ErrLink.Wrap(err, "push")
	}
	raw, err := decodeFrame(frame)
	if err != nil {
		return Push{}, err
	}
	var push Push
	if err := cbor.Unmarshal(raw, &push); err != nil {
		return Push{}, ErrLink.Wrap(err, "push")
	}
	return push, nil
}

// Close ends the link.
func (c *Client) Close() { _ = c.socket.CloseNow() }
