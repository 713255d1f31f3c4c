package platform

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/record"
)

// Metadata keys of messages.
const (
	// MetadataRecordID is the key for the ID of a published record.
	MetadataRecordID = "record_id"
	// MetadataOffset is the key for the offset of a received or published record, in decimal.
	MetadataOffset = "offset"
)

// Publisher appends messages to the log. The topic of a message is the name of the stream.
type Publisher struct{ Log Log }

var _ message.Publisher = (*Publisher)(nil)

// Publish appends the payloads in order, sets MetadataOffset and stops at the first error. It returns ErrUnavailable if
// the outcome of an append is unknown, and never appends a message twice.
func (p *Publisher) Publish(topic string, messages ...*message.Message) error {
	for _, outgoing := range messages {
		offset, err := p.Log.Append(outgoing.Context(), record.Stream(topic), outgoing.Payload)
		if err != nil {
			return err
		}
		outgoing.Metadata.Set(MetadataOffset, strconv.FormatUint(uint64(offset), 10))
	}
	return nil
}

// Close does nothing, since Publish is synchronous.
func (p *Publisher) Close() error { return nil }

// Subscriber delivers the records of a stream as messages, ordered by offset. The topic is the name of the stream.
type Subscriber struct {
	Log Log
	// From returns the first offset to read of a stream; nil means 1.
	From func(stream record.Stream) model.Offset
	// Expired loads a snapshot; see ExpiredFunc.
	Expired ExpiredFunc
	// Wait is the maximum duration of a long poll; 0 means 10 s.
	Wait time.Duration
	// Observe is called after each read; see Follower.
	Observe func(stream record.Stream, reply ReadReply, err error)

	mutex   sync.Mutex
	closing bool
	cancels []context.CancelFunc
	running sync.WaitGroup
}

var _ message.Subscriber = (*Subscriber)(nil)

// Subscribe starts a subscription. Each message is delivered after the previous one was acknowledged; a negative
// acknowledgment redelivers the same record. It returns ErrUnavailable after Close.
func (s *Subscriber) Subscribe(ctx context.Context, topic string) (<-chan *message.Message, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.closing {
		return nil, ErrUnavailable.New("subscriber is closed")
	}
	ctx, cancel := context.WithCancel(ctx)
	s.cancels = append(s.cancels, cancel)
	follower := Follower{Log: s.Log, Stream: record.Stream(topic), Expired: s.Expired, Wait: s.Wait, Observe: s.Observe}
	if s.From != nil {
		follower.From = s.From(follower.Stream)
	}
	output := make(chan *message.Message)
	s.running.Add(1)
	go func() {
		defer s.running.Done()
		defer cancel()
		defer close(output)
		follower.Run(ctx, func(stored StoredRecord) bool { return deliver(ctx, output, stored) })
	}()
	return output, nil
}

// deliver sends a record, again after each negative acknowledgment, until it is acknowledged. It returns false if ctx
// ended first.
func deliver(ctx context.Context, output chan<- *message.Message, stored StoredRecord) bool {
	for {
		text := strconv.FormatUint(uint64(stored.Offset), 10)
		messageCtx, cancel := context.WithCancel(ctx)
		incoming := message.NewMessageWithContext(messageCtx, text, stored.Data)
		incoming.Metadata.Set(MetadataOffset, text)
		acknowledged, ended := sendAndAwaitAck(ctx, output, incoming)
		cancel()
		if acknowledged || ended {
			return acknowledged
		}
	}
}

func sendAndAwaitAck(ctx context.Context, output chan<- *message.Message, incoming *message.Message) (acknowledged, ended bool) {
	select {
	case output <- incoming:
	case <-ctx.Done():
		return false, true
	}
	select {
	case <-incoming.Acked():
		return true, false
	case <-incoming.Nacked():
		return false, false
	case <-ctx.Done():
		return false, true
	}
}

// Close ends all subscriptions and waits until they have ended.
func (s *Subscriber) Close() error {
	s.mutex.Lock()
	s.closing = true
	cancels := s.cancels
	s.mutex.Unlock()
	for _, cancel := range cancels {
		cancel()
	}
	s.running.Wait()
	return nil
}
