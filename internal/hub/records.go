package hub

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"

	"github.com/tarragonpoint/tarragonpoint/internal/fanout"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

const (
	// RecordsPath is the URL path on which every VM accepts subscriptions to batches of records.
	RecordsPath = "/v1/records"
	// maxSubscribers is the number of children that a VM serves. Relays have about 20 in deployments of 300 VMs and 60 in those of
	// 3,000; the smallest VMs have 200 file descriptors for files and 2,875 for connections.
	maxSubscribers = 256
)

// TopicOffset is the offset after the last record of a topic that a VM has.
type TopicOffset struct {
	_     struct{} `cbor:",toarray"`
	Topic string
	Next  uint64
}

// Node is what a VM reports about its part in the distribution of records.
type Node struct {
	_    struct{} `cbor:",toarray"`
	Zone string
	// Address is where the VM accepts subscriptions.
	Address string
	// Parent is the VM that sends it batches; "" if the leader has to.
	Parent string
	// Plan is the hash of the VM's present assignment.
	Plan uint32
	// Next is given when the leader has to send batches again: it sends those that the VM lacks first.
	Next []TopicOffset
}

// Upstream is a VM's place in the distribution of records.
type Upstream struct {
	_       struct{} `cbor:",toarray"`
	IsRelay bool
	Parents []fanout.Peer
}

// Assignment returns the assignment that the message encodes.
func (u Upstream) Assignment() fanout.Assignment {
	return fanout.Assignment{IsRelay: u.IsRelay, Parents: u.Parents}
}

// subscription is the first message over a subscription, by which a VM asks for the batches after the given offsets.
type subscription struct {
	_    struct{} `cbor:",toarray"`
	VM   string
	Next []TopicOffset
}

func offsetsOf(next []TopicOffset) map[string]uint64 {
	offsets := make(map[string]uint64, len(next))
	for _, topic := range next {
		offsets[topic.Topic] = topic.Next
	}
	return offsets
}

// Records serves the subscriptions of other VMs. It is safe for concurrent use.
type Records struct {
	now func() model.Instant
	// isActive is true while there are relays; otherwise no batches are kept.
	isActive atomic.Bool

	mu          sync.Mutex
	history     fanout.History
	subscribers map[*serverLink]bool
}

func newRecords(now func() model.Instant) *Records {
	return &Records{now: now, subscribers: map[*serverLink]bool{}}
}

// SetActive tells whether this deployment has relays.
func (r *Records) SetActive(isActive bool) { r.isActive.Store(isActive) }

// Subscribers returns the number of VMs that get batches from this one.
func (r *Records) Subscribers() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.subscribers)
}

// ServeHTTP serves the subscription of one VM until the link ends.
func (r *Records) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	if r.Subscribers() >= maxSubscribers {
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
	socket.SetReadLimit(maxSubscription)
	asked, err := readSubscription(request.Context(), socket)
	if err != nil {
		return
	}
	// The VM sends nothing more; reading notices that it has closed the link.
	ctx, cancel := context.WithCancel(socket.CloseRead(request.Context()))
	defer cancel()
	link := &serverLink{queue: make(chan [][]byte, pushQueueLength), cancel: cancel}
	r.add(link, offsetsOf(asked.Next))
	defer r.remove(link)
	r.write(ctx, socket, link)
}

// maxSubscription is the largest first message over a subscription, in bytes.
const maxSubscription = 4 << 10

func readSubscription(ctx context.Context, socket *websocket.Conn) (subscription, error) {
	ctx, cancel := context.WithTimeout(ctx, linkTimeout)
	defer cancel()
	_, raw, err := socket.Read(ctx)
	if err != nil {
		return subscription{}, err
	}
	var asked subscription
	return asked, unmarshal(raw, &asked)
}

// add adds a subscriber, which gets the batches that it lacks and then all further ones. The heartbeat before them was not
// delayed, which is what the receiver measures their delay against.
func (r *Records) add(link *serverLink, next map[string]uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.subscribers[link] = true
	link.enqueue(append([][]byte{r.heartbeat()}, r.after(next)...)...)
}

func (r *Records) remove(link *serverLink) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.subscribers, link)
}

// missing returns the frames of the batches after the given offsets.
func (r *Records) missing(next map[string]uint64) [][]byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.after(next)
}

func (r *Records) after(next map[string]uint64) [][]byte {
	var frames [][]byte
	for _, entry := range r.history.After(next) {
		frames = append(frames, entry.Frame)
	}
	return frames
}

// heartbeat returns the frame of a push without content.
func (r *Records) heartbeat() []byte {
	return ageHeader{sentAt: milliseconds(r.now())}.encode([]byte{framePlain})
}

func (r *Records) write(ctx context.Context, socket *websocket.Conn, link *serverLink) {
	timer := time.NewTicker(fanout.HeartbeatInterval)
	defer timer.Stop()
	for {
		frames := [][]byte{nil}
		select {
		case frames = <-link.queue:
		case <-timer.C:
			frames[0] = r.heartbeat()
		case <-ctx.Done():
			return
		}
		for _, frame := range frames {
			if write(ctx, socket, frame) != nil {
				return
			}
		}
	}
}

// publish sends an aged frame with a batch, which was read from the store at knownAt, to all subscribers, and keeps it for
// later ones.
func (r *Records) publish(batch *Batch, knownAt model.Instant, aged []byte) {
	if !r.isActive.Load() {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	entry := fanout.Entry{Topic: batch.Topic, From: batch.From, To: batch.To, Frame: aged}
	if !r.history.Add(r.now(), knownAt, entry) {
		return
	}
	for link := range r.subscribers {
		link.enqueue(aged)
	}
}

// PassOn sends a batch that this VM received to its subscribers, in the same encoded form.
func (r *Records) PassOn(received Received) {
	if received.Batch == nil || received.frame == nil {
		return
	}
	header := ageHeader{
		sentAt: milliseconds(received.at), age: uint64(received.age.Milliseconds()), isReadByRelay: received.IsReadByRelay,
	}
	knownAt := received.at.Add(-time.Duration(received.Batch.Age) * time.Millisecond)
	r.publish(received.Batch, knownAt, header.encode(received.frame))
}

// Received is a push with the frame that carried it.
type Received struct {
	Push
	// IsReadByRelay is true for a batch that a relay without a leader read from the store.
	IsReadByRelay bool
	// Delay is the time since the sender had the push, part of which it may have spent in the sender's queue.
	Delay time.Duration
	// at is when the push arrived.
	at model.Instant
	// age is the time that the push was on its way. It is part of the batch's age.
	age time.Duration
	// frame is the encoded push without its age; nil if its sender is of an older version.
	frame []byte
}

// Subscribe opens a subscription at the VM at an address to the batches after the given offsets. It returns ErrLink if that
// is not possible within fanout.ParentDialTimeout.
func Subscribe(ctx context.Context, address, vm string, now func() model.Instant, next []TopicOffset) (*Client, error) {
	ctx, cancel := context.WithTimeout(ctx, fanout.ParentDialTimeout)
	defer cancel()
	client, err := dial(ctx, "ws://"+address+RecordsPath)
	if err != nil {
		return nil, ErrLink.Wrap(err, "cannot subscribe at %s", address)
	}
	client.UseClock(now, func() bool { return true })
	raw, err := marshal(subscription{VM: vm, Next: next}, false, 0)
	if err == nil {
		err = write(ctx, client.socket, raw)
	}
	if err != nil {
		client.Close()
		return nil, ErrLink.Wrap(err, "cannot subscribe at %s", address)
	}
	return client, nil
}
