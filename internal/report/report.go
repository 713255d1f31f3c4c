// Package report carries the load of keys from each VM to the leader, over WebSocket with CBOR.
//
// Reports only improve the balance: when none arrive, keys stay where they are and shares of common budgets stay as
// last known. The leader answers each report with the number of VMs that report, by which VMs divide these budgets.
package report

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/joomcode/errorx"

	"github.com/tarragonpoint/tarragonpoint/internal/keyspace"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

var (
	errNamespace = errorx.NewNamespace("report")
	// ErrLink reports a connection to the leader that cannot be opened or broke.
	ErrLink = errNamespace.NewType("link")
)

const (
	// Path is where the leader accepts reports.
	Path = "/v1/report"
	// Every is the time between two reports of a VM. Hot keys move within seconds.
	Every = 500 * time.Millisecond
	// maxMessage bounds a report, in bytes.
	maxMessage = 256 << 10
	// linkTimeout bounds the opening of a connection, one report or its answer.
	linkTimeout = time.Second
	// memory is how long a VM counts after its last report.
	memory = 3 * time.Second
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
	_        struct{} `cbor:",toarray"`
	VM       string
	Services map[model.Service][]Bucket
}

// Answer is the leader's answer to a report.
type Answer struct {
	_ struct{} `cbor:",toarray"`
	// VMs is the number of VMs that reported lately, the leader's own included.
	VMs int
	// Rank is the position of the VM among them, from 0, in order of their names.
	Rank int
}

// Server takes reports. It is safe for concurrent use.
type Server struct {
	now  func() model.Instant
	take func(Report)

	mu   sync.Mutex
	seen map[string]model.Instant
}

// NewServer returns a server that passes reports on to take.
func NewServer(now func() model.Instant, take func(Report)) *Server {
	return &Server{now: now, take: take, seen: map[string]model.Instant{}}
}

// ServeHTTP serves the connection of one VM until it ends.
func (s *Server) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	socket, err := websocket.Accept(w, request, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
	if err != nil {
		// Accept has answered the request.
		return
	}
	defer func() { _ = socket.CloseNow() }()
	socket.SetReadLimit(maxMessage)
	for {
		if err := s.serveOne(request.Context(), socket); err != nil {
			return
		}
	}
}

func (s *Server) serveOne(ctx context.Context, socket *websocket.Conn) error {
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
	return write(ctx, socket, s.Record(report))
}

// Record passes a report on and returns the answer to its VM. The leader's own reports come without a connection.
func (s *Server) Record(report Report) Answer {
	s.take(report)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.seen[report.VM] = now
	answer := Answer{}
	for vm, at := range s.seen {
		switch {
		case now.Sub(at) > memory:
			delete(s.seen, vm)
		case vm < report.VM:
			answer.Rank++
			answer.VMs++
		default:
			answer.VMs++
		}
	}
	return answer
}

// Client sends reports to one leader.
type Client struct {
	socket *websocket.Conn
}

// Dial connects to the leader at an address. It returns ErrLink if that fails.
func Dial(ctx context.Context, address string) (*Client, error) {
	ctx, cancel := context.WithTimeout(ctx, linkTimeout)
	defer cancel()
	socket, response, err := websocket.Dial(ctx, "ws://"+address+Path, &websocket.DialOptions{
		HTTPClient:      &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
		CompressionMode: websocket.CompressionDisabled,
	})
	if response != nil && response.Body != nil {
		_ = response.Body.Close()
	}
	if err != nil {
		return nil, ErrLink.Wrap(err, "leader at %s", address)
	}
	return &Client{socket: socket}, nil
}

// Send sends a report and returns the leader's answer, or ErrLink if the connection broke.
func (c *Client) Send(ctx context.Context, report Report) (Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, linkTimeout)
	defer cancel()
	if err := write(ctx, c.socket, report); err != nil {
		return Answer{}, ErrLink.Wrap(err, "report")
	}
	_, raw, err := c.socket.Read(ctx)
	if err != nil {
		return Answer{}, ErrLink.Wrap(err, "answer")
	}
	var answer Answer
	if err := cbor.Unmarshal(raw, &answer); err != nil {
		return Answer{}, ErrLink.Wrap(err, "answer")
	}
	return answer, nil
}

// Close ends the connection.
func (c *Client) Close() { _ = c.socket.CloseNow() }

func write(ctx context.Context, socket *websocket.Conn, message any) error {
	raw, err := cbor.Marshal(message)
	if err != nil {
		return err
	}
	return socket.Write(ctx, websocket.MessageBinary, raw)
}

// BucketOf returns the load counter of a key.
func BucketOf(key int) uint16 { return uint16(keyspace.Bucket(key)) }
