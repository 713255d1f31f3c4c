package peer

import (
	"sync"
	"time"
)

// laneLimits are the limits of the queues of one connection. An empty queue accepts a message of any size.
var laneLimits = [priorityCount]laneLimit{
	urgent:   {messages: 1024, bytes: 2 << 20},
	transfer: {messages: 64, bytes: 12 << 20},
	request:  {messages: 256, bytes: 12 << 20},
}

type laneLimit struct {
	messages int
	bytes    int
}

// queued is an encoded message in a queue.
type queued struct {
	data []byte
	// sent is the number of bytes already sent.
	sent int
	// expires is the time after which the message is dropped unsent; zero means never.
	expires time.Time
}

// lane is the FIFO queue of one priority.
type lane struct {
	messages []*queued
	bytes    int
}

// sendQueue contains the messages of one connection that are not sent yet. It is safe for concurrent use.
type sendQueue struct {
	mu     sync.Mutex
	lanes  [priorityCount]lane
	closed bool
	// ready holds a token after a message was added or the queue was closed.
	ready chan struct{}
}

func newSendQueue() *sendQueue {
	return &sendQueue{ready: make(chan struct{}, 1)}
}

func (q *sendQueue) notify() {
	select {
	case q.ready <- struct{}{}:
	default:
	}
}

// push adds a message. It returns ErrUnavailable if the queue is closed, and its subtype errQueueFull if it is full.
func (q *sendQueue) push(p priority, message *queued) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		return ErrUnavailable.New("the connection is closing")
	}
	l, limit := &q.lanes[p], laneLimits[p]
	full := len(l.messages) >= limit.messages || l.bytes+len(message.data) > limit.bytes
	if full && len(l.messages) > 0 {
		return errQueueFull.New("%d messages of %d bytes are queued", len(l.messages), l.bytes)
	}
	l.messages = append(l.messages, message)
	l.bytes += len(message.data)
	q.notify()
	return nil
}

// close makes push reject further messages. Messages in the queue remain.
func (q *sendQueue) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	q.notify()
}

// next returns the plaintext of the next frame, or nil if there is none, and the number of messages that it dropped
// because they expired. drained is true once the queue is closed and empty.
func (q *sendQueue) next(now time.Time) (plain []byte, expired int, drained bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for p := range priorityCount {
		expired += q.lanes[p].dropExpired(now)
		if len(q.lanes[p].messages) > 0 {
			return q.lanes[p].takeChunk(p), expired, false
		}
	}
	return nil, expired, q.closed
}

// dropExpired removes expired messages from the front of the queue and returns their number. It keeps a message that is
// partly sent.
func (l *lane) dropExpired(now time.Time) int {
	dropped := 0
	for len(l.messages) > 0 {
		head := l.messages[0]
		if head.sent > 0 || head.expires.IsZero() || now.Before(head.expires) {
			break
		}
		l.removeHead()
		dropped++
	}
	return dropped
}

// takeChunk returns the next chunk of the first message, with its header.
func (l *lane) takeChunk(p priority) []byte {
	head := l.messages[0]
	size := min(maxChunkBytes, len(head.data)-head.sent)
	last := head.sent+size == len(head.data)
	plain := append(make([]byte, 0, chunkHeaderBytes+size), chunkHeader(p, last))
	plain = append(plain, head.data[head.sent:head.sent+size]...)
	head.sent += size
	if last {
		l.removeHead()
	}
	return plain
}

func (l *lane) removeHead() {
	l.bytes -= len(l.messages[0].data)
	l.messages[0] = nil
	l.messages = l.messages[1:]
}
