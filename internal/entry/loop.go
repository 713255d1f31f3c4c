package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/config"
	"github.com/tarragonpoint/tarragonpoint/internal/control"
	"github.com/tarragonpoint/tarragonpoint/internal/message"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/record"
	"github.com/tarragonpoint/tarragonpoint/internal/route"
)

// eventQueueSize is the number of events that may wait for the control loop. When the queue is full, peer messages are
// dropped, which the protocol tolerates; senders of all other events block.
const eventQueueSize = 4096

// loop runs the control node. Only its goroutine accesses the node.
type loop struct {
	node    *control.Node
	clock   clock
	events  chan control.Event
	effects *effects
	// publish receives each new routing table and the configuration from which it was built.
	publish func(table *route.Table, state config.State)
	// offsets are the next offsets to read from the log, by stream.
	offsets map[record.Stream]*atomic.Uint64
	table   atomic.Pointer[route.Table]
	// left is closed, by way of closeLeft, once this VM has left its cell.
	left      chan struct{}
	closeLeft sync.Once
}

func newLoop(node *control.Node, clock clock) *loop {
	l := &loop{
		node:   node,
		clock:  clock,
		events: make(chan control.Event, eventQueueSize),
		left:   make(chan struct{}),
		offsets: map[record.Stream]*atomic.Uint64{
			record.ConfigStream: {},
			record.AssignStream: {},
		},
	}
	l.updateOffsets()
	return l
}

// run handles events until ctx ends.
func (l *loop) run(ctx context.Context) {
	ticker := time.NewTicker(control.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case event := <-l.events:
			l.step(ctx, event)
		case <-ticker.C:
			l.step(ctx, control.Tick{})
		}
	}
}

func (l *loop) step(ctx context.Context, event control.Event) {
	for _, effect := range l.node.Step(l.clock.Now(), event) {
		switch e := effect.(type) {
		case control.Publish:
			l.table.Store(e.Table)
			l.publish(e.Table, l.node.Config())
		case control.Left:
			l.closeLeft.Do(func() { close(l.left) })
		default:
			l.effects.execute(ctx, effect)
		}
	}
	l.updateOffsets()
}

func (l *loop) updateOffsets() {
	for stream, offset := range l.offsets {
		offset.Store(uint64(l.node.NextOffset(stream)))
	}
}

// nextOffset returns the offset from which a stream must be read next. It may be called from any goroutine.
func (l *loop) nextOffset(stream record.Stream) model.Offset {
	return model.Offset(l.offsets[stream].Load())
}

// post queues an event. It blocks while the queue is full, and drops the event if ctx ends first.
func (l *loop) post(ctx context.Context, event control.Event) {
	select {
	case l.events <- event:
	case <-ctx.Done():
	}
}

// offer queues a peer message, or drops it if the queue is full.
func (l *loop) offer(from model.VMID, m message.Message) {
	select {
	case l.events <- control.PeerMessage{From: from, Message: m}:
	default:
	}
}
