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

// eventQueue is the number of events that may wait for the control loop. Peer messages beyond it are dropped, which the
// protocol allows; all other events wait.
const eventQueue = 4096

// loop runs the control node. It is the only user of the node.
type loop struct {
	node    *control.Node
	clock   clock
	events  chan control.Event
	effects *effects
	// publish receives each new routing table and the configuration that it rests on.
	publish func(table *route.Table, state config.State)
	// offsets are the next offsets to read from the log, by stream.
	offsets map[record.Stream]*atomic.Uint64
	table   atomic.Pointer[route.Table]
	left    chan struct{}
	once    sync.Once
}

func newLoop(node *control.Node, clock clock) *loop {
	l := &loop{
		node:   node,
		clock:  clock,
		events: make(chan control.Event, eventQueue),
		left:   make(chan struct{}),
		offsets: map[record.Stream]*atomic.Uint64{
			record.ConfigStream: {},
			record.AssignStream: {},
		},
	}
	l.noteOffsets()
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
			l.once.Do(func() { close(l.left) })
		default:
			l.effects.carryOut(ctx, effect)
		}
	}
	l.noteOffsets()
}

func (l *loop) noteOffsets() {
	for stream, offset := range l.offsets {
		offset.Store(uint64(l.node.NextOffset(stream)))
	}
}

// nextOffset returns the offset from which a stream is to be read.
func (l *loop) nextOffset(stream record.Stream) model.Offset {
	return model.Offset(l.offsets[stream].Load())
}

// post queues an event, or gives up when ctx ends.
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
