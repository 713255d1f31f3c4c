// Package hub connects all VMs to the leader, over WebSocket with CBOR-encoded messages.
//
// Each VM reports the load of its keys to the leader, which answers with leases of shares of the common limits. The leader
// relays the records that it reads from the platform's store, so that a single VM reads the store instead of all of them. In
// large deployments it sends the records to a few VMs in each zone, which pass them on to the other VMs (package fanout). A
// VM that receives nothing reads the store itself, so correctness never depends on the links.
package hub

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/coder/websocket"
	"github.com/joomcode/errorx"

	"github.com/tarragonpoint/tarragonpoint/internal/fanout"
	"github.com/tarragonpoint/tarragonpoint/internal/fleet"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/shares"
)

var (
	errNamespace = errorx.NewNamespace("hub")
	// ErrLink reports a link to the leader that cannot be opened or has failed, or a message that cannot be encoded or
	// decoded.
	ErrLink = errNamespace.NewType("link")
	// ErrNotLeader reports that no link can be opened because the process at the leader's address does not lead, or because no
	// process listens there. It is an ErrLink.
	ErrNotLeader = ErrLink.NewSubtype("not_leader")
)

const (
	// Path is the URL path on which the leader accepts links.
	Path = "/v1/hub"
	// ReportInterval is the time between two reports of a VM. It is short because hot keys change within seconds.
	ReportInterval = 500 * time.Millisecond
	// maxMessage is the largest message, in bytes.
	maxMessage = 4 << 20
	// linkTimeout limits the time to open a connection and the time to send a message.
	linkTimeout = time.Second
	// receiveTimeout is the time without a push after which a VM treats its link as failed. The leader pushes several
	// times a second.
	receiveTimeout = 1500 * time.Millisecond
	// memberTTL is the time after its last report for which a VM counts as a member and its link is kept open.
	memberTTL = 3 * time.Second
	// pushQueueLength is the number of pushes queued for a slow VM before its link is closed.
	pushQueueLength = 64
)

// Bucket is the work done on a group of adjacent keys since the last report.
type Bucket struct {
	_     struct{} `cbor:",toarray"`
	Index uint16
	// Work is the total time for which slots were busy, in milliseconds.
	Work uint32
}

// Report is the message that a VM sends to the leader.
type Report struct {
	_  struct{} `cbor:",toarray"`
	VM string
	// Incarnation identifies this start of the VM.
	Incarnation string
	// LinkMbps is the bandwidth of the VM's link, in Mbit/s.
	LinkMbps float64
	Services map[model.Service][]Bucket
	// Failed lists the targets that the VM could not reach and that have not reported since then.
	Failed []model.TargetID
	// Leaving lists the targets that told the VM in a response that they are about to stop, until the store shows it too.
	Leaving []fleet.Incarnation
	// Strikes lists the strikes that the VM recorded or withdrew, until the store shows it too.
	Strikes []Strike
	// Shares asks for the VM's leases of shares of the common limits.
	Shares shares.Request
	// Node describes the VM's part in the distribution of records; nil if its version is older.
	Node *Node
	// Quotas asks for parts of the tenants' limits; nil if there are none or an answer is expected.
	Quotas *shares.QuotaRequest
}

// Strike is a crash of a target under a request.
type Strike struct {
	_           struct{} `cbor:",toarray"`
	Fingerprint uint64
	Crashed     fleet.Incarnation
	// Age is the time since the crash, in milliseconds.
	Age uint32
	// Withdrawn is true if the strike does not count any more.
	Withdrawn bool
}

// Position is a VM's position among all VMs.
type Position struct {
	_ struct{} `cbor:",toarray"`
	// VMs is the number of VMs that reported recently, including the leader.
	VMs int
	// Candidate is true for the few VMs that stay in the election group while the leader is responsive.
	Candidate bool
}

// Record is a record of a topic that the leader relays.
type Record struct {
	_      struct{} `cbor:",toarray"`
	Key    string
	Value  []byte
	Offset uint64
	// Delta is true if Value encodes the difference from the key's previous record.
	Delta bool
}

// Batch holds the records of a topic between two offsets. Records without effect are omitted.
type Batch struct {
	_     struct{} `cbor:",toarray"`
	Topic string
	// From and To are the offsets before and after the batch. The receiver takes To for the end of the topic.
	From, To uint64
	// Age is the time since the topic was known to end at To, in milliseconds.
	Age     uint32
	Records []Record
}

// Push is the message that the leader sends to a VM. Fields that it does not carry are nil.
type Push struct {
	_        struct{} `cbor:",toarray"`
	Position *Position
	// Shares answers the report that Position answers.
	Shares *shares.Grant
	Batch  *Batch
	// Strikes are sent to all VMs at once, without waiting for the store.
	Strikes []Strike
	// Upstream is the VM's place in the distribution of records, if it is not the one that the VM reported.
	Upstream *Upstream
	// Quotas answers the report's request for quotas; nil if there was none.
	Quotas *shares.QuotaAnswer
}

// Server is the leader's side of the links. It is safe for concurrent use.
type Server struct {
	now      func() model.Instant
	onReport func(Report)
	// greeting returns the first push on a new link; nil if there is none.
	greeting func() (Push, bool)
	// isLeader reports whether this VM is the leader; otherwise it serves no links.
	isLeader func() bool
	// isConfirmed reports whether the store confirmed less than shares.ConfirmationTTL before an instant that this VM is the
	// leader.
	isConfirmed func(now model.Instant) bool

	// records serves the children of this VM, as a leader and as a relay.
	records *Records

	mu      sync.Mutex
	members map[string]member
	links   map[*serverLink]bool
	shares  *shares.Allocator
	// quotas divides the tenants' limits; nil if the deployment has no quotas.
	quotas *shares.QuotaAllocator
	// quotaNames are the names of the VMs that get parts; see quotanames.go.
	quotaNames quotaNames
	// term counts the terms of this VM's leadership, and termStartedAt is when the last one began.
	term          uint64
	termStartedAt model.Instant
	plan          plan
}

type serverLink struct {
	// queue holds groups of frames.
	queue  chan [][]byte
	cancel context.CancelFunc
	// term is the term in which the VM connected, or an earlier one.
	term uint64
	// isOlder is true if the VM's version is older than the subprotocol.
	isOlder bool
	// hasParent is true while the VM gets batches from another VM. The server's mutex guards it.
	hasParent bool
}

// NewServer returns a server that calls onReport for each report. budgetWindow is the window of the budget that it divides
// among the VMs.
func NewServer(
	now func() model.Instant, isLeader func() bool, isConfirmed func(model.Instant) bool, onReport func(Report),
	budgetWindow time.Duration,
) *Server {
	return &Server{
		now: now, isLeader: isLeader, isConfirmed: isConfirmed, onReport: onReport,
		members: map[string]member{}, links: map[*serverLink]bool{}, shares: shares.NewAllocator(budgetWindow, rand.Uint64),
		records: newRecords(now), plan: newPlan(fanout.DefaultMinMembers),
	}
}

// DivideQuotas makes the server divide the limits of tenants among the VMs. limits returns the limit of a tenant in the newest
// configuration. It must be called before the server is used.
func (s *Server) DivideQuotas(bounds shares.QuotaBounds, limits func(tenant string) (shares.QuotaLimit, bool)) {
	s.quotas, s.quotaNames = shares.NewQuotaAllocator(bounds, rand.Uint64, limits), newQuotaNames()
}

// Records returns the server of subscriptions.
func (s *Server) Records() *Records { return s.records }

// SetMinMembers sets the number of VMs from which there are relays.
func (s *Server) SetMinMembers(count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.plan = newPlan(count)
}

// SetGreeting sets the function that returns the first push on each new link, if there is one. It must be called before the
// server is used.
func (s *Server) SetGreeting(greeting func() (Push, bool)) { s.greeting = greeting }

// BeginTerm starts a term of this VM's leadership. It must be called after the store made this VM the leader and before
// isLeader reports it. hasPredecessor is false only if there has never been another leader.
func (s *Server) BeginTerm(hasPredecessor bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.term++
	s.termStartedAt = s.now()
	s.plan = newPlan(s.plan.minMembers)
	s.shares.Begin(s.termStartedAt, hasPredecessor)
	if s.quotas != nil {
		s.quotas.Begin(s.termStartedAt, hasPredecessor)
		s.quotaNames = newQuotaNames()
	}
}

func (s *Server) currentTerm() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.term
}

// ServeHTTP serves the link of one VM until the link or this VM's leadership ends.
func (s *Server) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	// What the VM sends over the link is later than this term's start, as it is read before the link is accepted.
	term := s.currentTerm()
	if !s.isLeader() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	socket, err := websocket.Accept(w, request, &websocket.AcceptOptions{
		CompressionMode: websocket.CompressionDisabled, Subprotocols: []string{subprotocol},
	})
	if err != nil {
		// Accept has already written the HTTP response.
		return
	}
	defer func() { _ = socket.CloseNow() }()
	socket.SetReadLimit(maxMessage)
	ctx, cancel := context.WithCancel(request.Context())
	defer cancel()
	link := &serverLink{
		queue: make(chan [][]byte, pushQueueLength), cancel: cancel, term: term, isOlder: socket.Subprotocol() == "",
	}
	s.add(link)
	defer s.remove(link)
	if s.greeting != nil {
		if push, ok := s.greeting(); ok && s.push(link, push) != nil {
			return
		}
	}
	go link.write(ctx, socket)
	for s.isLeader() && s.serveReport(ctx, socket, link) == nil {
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

func (s *Server) serveReport(ctx context.Context, socket *websocket.Conn, link *serverLink) error {
	ctx, cancel := context.WithTimeout(ctx, memberTTL)
	defer cancel()
	_, raw, err := socket.Read(ctx)
	if err != nil {
		return err
	}
	var report Report
	if err := unmarshal(raw, &report); err != nil {
		return err
	}
	position, grant := s.handleReport(report, link.term)
	answer := Push{
		Position: &position, Shares: &grant, Upstream: s.upstreamOf(report), Quotas: s.answerQuotas(report, link.term),
	}
	if err := s.push(link, answer); err != nil {
		return err
	}
	s.setParent(link, report.Node)
	return nil
}

// setParent records from whom a VM gets batches. The batches that it lacks are sent before all others.
func (s *Server) setParent(link *serverLink, node *Node) {
	if node == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	// The VM knows whether its parent serves it. A new leader may not know the parent yet.
	link.hasParent = node.Parent != ""
	if missing := s.records.missing(offsetsOf(node.Next)); !link.hasParent && len(missing) > 0 {
		link.enqueue(missing...)
	}
}

// HandleOwnReport handles a report of this VM itself, which arrives over no link.
func (s *Server) HandleOwnReport(report Report) (Position, shares.Grant) {
	s.mu.Lock()
	s.plan.self = report.VM
	s.mu.Unlock()
	return s.handleReport(report, s.currentTerm())
}

// HandleOwnQuotas answers the request for quotas in a report of this VM itself; nil if there is none.
func (s *Server) HandleOwnQuotas(report Report) *shares.QuotaAnswer {
	return s.answerQuotas(report, s.currentTerm())
}

// handleReport forwards a report of a VM that connected in the given term, and returns the VM's position and leases.
func (s *Server) handleReport(report Report, term uint64) (Position, shares.Grant) {
	s.onReport(report)
	// The clock is read before the confirmation is checked, so that no lease that is granted counts as later than that.
	now := s.now()
	// The store may confirm the leadership before the term begins, which isLeader reports.
	isConfirmed := s.isConfirmed(now) && s.isLeader()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addMember(now, report)
	grant := shares.Grant{}
	if isConfirmed {
		grant = s.shares.Renew(now, report.VM, report.Incarnation, report.Shares, term == s.term)
	} else {
		s.shares.Keep(now, report.Incarnation)
	}
	return s.position(report.VM), grant
}

// answerQuotas returns the answer to the request for quotas in a report of a VM that connected in the given term; nil if there is none.
// A leader that is not confirmed renews nothing.
func (s *Server) answerQuotas(report Report, term uint64) *shares.QuotaAnswer {
	if report.Quotas == nil {
		return nil
	}
	// As in handleReport, the clock is read first.
	now := s.now()
	isConfirmed := s.isConfirmed(now) && s.isLeader()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.quotas == nil || !isConfirmed {
		return &shares.QuotaAnswer{Number: report.Quotas.Number}
	}
	onDemand := s.quotas.OnDemand(now, report.Quotas)
	if !s.quotaNames.admits(report.VM) {
		return &shares.QuotaAnswer{Number: report.Quotas.Number, Parts: onDemand}
	}
	answer := s.quotas.Renew(now, report.VM, report.Incarnation, report.Quotas, term == s.term)
	if answer != nil {
		answer.Parts = append(answer.Parts, onDemand...)
	}
	return answer
}

// Broadcast sends a push to all VMs, but for a batch to those that get it from a parent. The link of a VM that reads too
// slowly is closed; that VM then reads the store itself. Broadcast returns ErrLink for a push that cannot be encoded. The
// batches of a VM that is not the leader go to its subscribers only.
func (s *Server) Broadcast(push Push) error {
	frames, err := s.encode(push)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if push.Batch != nil {
		s.records.publish(push.Batch, s.now().Add(-time.Duration(push.Batch.Age)*time.Millisecond), frames.aged)
	}
	for link := range s.links {
		if frame := frames.of(link); frame != nil && (push.Batch == nil || !link.hasParent) {
			link.enqueue(frame)
		}
	}
	return nil
}

// pushFrames holds the encoded forms of a push, which are the same for all VMs of a version. older is nil if no such VM had a
// link when the push was encoded; one that has opened its link since finds a gap and reads the store.
type pushFrames struct{ aged, older []byte }

func (f pushFrames) of(link *serverLink) []byte {
	if link.isOlder {
		return f.older
	}
	return f.aged
}

// encode encodes a push once for all VMs. The form for older versions is encoded only while one has a link.
func (s *Server) encode(push Push) (pushFrames, error) {
	frame, err := encodePush(push, false)
	if err != nil {
		return pushFrames{}, err
	}
	header := ageHeader{sentAt: milliseconds(s.now()), isReadByRelay: push.Batch != nil && !s.isLeader()}
	frames := pushFrames{aged: header.encode(frame)}
	if s.hasOlderLink() {
		frames.older, err = encodePush(push, true)
	}
	return frames, err
}

// hasOlderLink reports whether a VM of an older version has a link.
func (s *Server) hasOlderLink() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for link := range s.links {
		if link.isOlder {
			return true
		}
	}
	return false
}

func encodePush(push Push, isOlder bool) ([]byte, error) {
	raw, err := marshal(push, isOlder, olderPushFields)
	if err != nil {
		return nil, ErrLink.Wrap(err, "push cannot be encoded")
	}
	return encodeFrame(raw)
}

// push sends a push to one VM.
func (s *Server) push(link *serverLink, push Push) error {
	frame, err := encodePush(push, link.isOlder)
	if err != nil {
		return err
	}
	if !link.isOlder {
		frame = ageHeader{sentAt: milliseconds(s.now())}.encode(frame)
	}
	link.enqueue(frame)
	return nil
}

// enqueue queues frames that belong together. The link is closed if its queue is full.
func (l *serverLink) enqueue(frames ...[]byte) {
	select {
	case l.queue <- frames:
	default:
		l.cancel()
	}
}

func (l *serverLink) write(ctx context.Context, socket *websocket.Conn) {
	defer l.cancel()
	for {
		select {
		case frames := <-l.queue:
			for _, frame := range frames {
				if write(ctx, socket, frame) != nil {
					return
				}
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

// Client is a VM's side of the link to the leader, or of a subscription.
type Client struct {
	socket *websocket.Conn
	now    func() model.Instant
	delays delayEstimator
	// countsDelays reports whether the time that a batch was on its way is part of its age.
	countsDelays func() bool
}

// Dial connects to the leader at an address. It returns ErrLink if the connection cannot be opened.
func Dial(ctx context.Context, address string) (*Client, error) {
	ctx, cancel := context.WithTimeout(ctx, linkTimeout)
	defer cancel()
	client, err := dial(ctx, "ws://"+address+Path)
	if errorx.IsOfType(err, ErrNotLeader) {
		return nil, err
	}
	if err != nil {
		return nil, ErrLink.Wrap(err, "cannot connect to the leader at %s", address)
	}
	return client, nil
}

func dial(ctx context.Context, url string) (*Client, error) {
	socket, response, err := websocket.Dial(ctx, url, &websocket.DialOptions{
		// Without keep-alives the connection of a rejected attempt is closed.
		HTTPClient:      &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
		CompressionMode: websocket.CompressionDisabled,
		Subprotocols:    []string{subprotocol},
	})
	if response != nil && response.Body != nil {
		_ = response.Body.Close()
	}
	if err != nil && (response != nil && response.StatusCode == http.StatusServiceUnavailable || errors.Is(err, syscall.ECONNREFUSED)) {
		return nil, ErrNotLeader.Wrap(err, "no process leads at %s", url)
	}
	if err != nil {
		return nil, err
	}
	socket.SetReadLimit(maxMessage)
	started := time.Now()
	return &Client{
		socket: socket, now: func() model.Instant { return model.Instant(time.Since(started)) },
		countsDelays: func() bool { return false },
	}, nil
}

// UseClock sets the clock by which the delay of messages is measured, and when a batch's age includes its delay. It must be
// called before the first message is received. Without it no delay counts.
func (c *Client) UseClock(now func() model.Instant, countsDelays func() bool) {
	c.now, c.countsDelays = now, countsDelays
}

// Send sends a report. It returns ErrLink if the report cannot be encoded or the link has failed.
func (c *Client) Send(ctx context.Context, report Report) error {
	raw, err := marshal(report, c.socket.Subprotocol() == "", olderReportFields)
	if err != nil {
		return ErrLink.Wrap(err, "report cannot be encoded")
	}
	if err := write(ctx, c.socket, raw); err != nil {
		return ErrLink.Wrap(err, "report")
	}
	return nil
}

// Receive returns the next push. It returns ErrLink if none arrives within receiveTimeout or if the push cannot be decoded.
func (c *Client) Receive(ctx context.Context) (Push, error) {
	received, err := c.ReceiveFrame(ctx)
	return received.Push, err
}

// ReceiveFrame returns the next push with its frame, like Receive. A heartbeat is a push without content. The age of a batch
// includes the time that it spent in relays.
func (c *Client) ReceiveFrame(ctx context.Context) (Received, error) {
	ctx, cancel := context.WithTimeout(ctx, receiveTimeout)
	defer cancel()
	_, raw, err := c.socket.Read(ctx)
	if err != nil {
		return Received{}, ErrLink.Wrap(err, "push")
	}
	received := Received{at: c.now()}
	header, frame, isAged, err := decodeAged(raw)
	if err != nil {
		return Received{}, err
	}
	if isAged {
		delay := c.delays.delay(received.at, header.sentAt)
		if c.countsDelays() {
			received.Delay = delay
		}
		received.age = time.Duration(header.age)*time.Millisecond + received.Delay
		received.frame, received.IsReadByRelay = frame, header.isReadByRelay
	}
	message, err := decodeFrame(frame)
	if err != nil || isAged && len(message) == 0 {
		return received, err
	}
	if err := unmarshal(message, &received.Push); err != nil {
		return Received{}, ErrLink.Wrap(err, "push")
	}
	if received.Batch != nil {
		age := uint64(received.Batch.Age) + uint64(received.age.Milliseconds())
		received.Batch.Age = uint32(min(age, maxAge))
	}
	return received, nil
}

// Close closes the link without a closing handshake.
func (c *Client) Close() { _ = c.socket.CloseNow() }
