package requests

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/control"
	"github.com/tarragonpoint/tarragonpoint/internal/dispatch"
	"github.com/tarragonpoint/tarragonpoint/internal/lease"
	"github.com/tarragonpoint/tarragonpoint/internal/message"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/record"
	"github.com/tarragonpoint/tarragonpoint/internal/route"
	"github.com/tarragonpoint/tarragonpoint/internal/target"
)

const (
	pollEvery     = 50 * time.Millisecond
	callTimeout   = time.Second
	appendTimeout = 2 * time.Second
	stopTimeout   = 6 * time.Second
	leaveTimeout  = 3 * time.Second
)

// process is one incarnation of the entry process on a VM.
type process struct {
	w          *world
	vm         *vm
	startedAt  time.Time
	node       *control.Node
	dispatcher *dispatch.Dispatcher
	client     *target.HTTPClient
	policies   *policies
	events     chan control.Event
	ctx        context.Context
	cancel     context.CancelFunc
	// left is closed when the node has left its cells in a planned stop.
	left     chan struct{}
	leftOnce sync.Once

	mu       sync.Mutex
	resumed  chan struct{} // closed unless the process is paused
	inbox    []func()      // messages that arrived during a pause
	conns    []net.Conn
	table    *route.Table
	offsets  map[record.Stream]model.Offset // next offset to read of each stream
	draining bool
}

// Now and Wall implement dispatch.Clock.
func (p *process) Now() model.Instant { return model.Instant(time.Since(p.startedAt)) }
func (p *process) Wall() time.Time    { return time.Now().Add(p.vm.clockSkew) }

func newProcess(w *world, v *vm) *process {
	p := &process{w: w, vm: v, startedAt: time.Now(), events: make(chan control.Event, 4096), left: make(chan struct{})}
	p.resumed = make(chan struct{})
	close(p.resumed)
	p.ctx, p.cancel = context.WithCancel(context.Background())
	p.offsets = map[record.Stream]model.Offset{record.ConfigStream: 1, record.AssignStream: 1}
	p.client = &target.HTTPClient{Dial: p.dial}
	p.policies = newPolicies(p)
	p.node = control.NewNode(control.Settings{
		VM: v.id, Zone: v.zone, Region: v.region, Incarnation: model.Incarnation(time.Now().UnixMilli()),
		Address: string(v.id) + ":1", Seeds: w.seeds(v.id), Retention: time.Hour, NewID: record.NewID,
	})
	p.dispatcher = dispatch.New(dispatch.Options{
		Client: p.client, Sender: p, Clock: p, Chooser: p.policies, Retry: retryAdapter{p.policies},
		Hedger:     p.policies.hedges(),
		Quarantine: quarantineAdapter{p.policies}, Observer: observer{p.policies}, Successors: p, Workers: 32,
	})
	go p.loop()
	go p.pollStream(record.ConfigStream)
	go p.pollStream(record.AssignStream)
	go p.pollVMList()
	return p
}

// Successor implements dispatch.Successors.
func (p *process) Successor(id model.TargetID) model.VMID {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Leases[id].Successor
}

// awaitResumed blocks while the process is paused. It returns false once the process has been killed.
func (p *process) awaitResumed() bool {
	p.mu.Lock()
	resumed := p.resumed
	p.mu.Unlock()
	select {
	case <-resumed:
	case <-p.ctx.Done():
	}
	return p.ctx.Err() == nil
}

func (p *process) pause() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if isClosed(p.resumed) {
		p.resumed = make(chan struct{})
	}
}

// resume ends a pause: it releases the goroutines blocked in awaitResumed and then handles the messages that were
// queued in the socket buffers.
func (p *process) resume() {
	p.mu.Lock()
	if isClosed(p.resumed) {
		p.mu.Unlock()
		return
	}
	close(p.resumed)
	waiting := p.inbox
	p.inbox = nil
	p.mu.Unlock()
	for _, deliver := range waiting {
		deliver()
	}
}

// kill ends the process. Data that it has not yet written is never written.
func (p *process) kill() {
	p.cancel()
	p.mu.Lock()
	conns := p.conns
	p.conns = nil
	p.mu.Unlock()
	for _, conn := range conns {
		_ = conn.Close()
	}
	go func() {
		_ = p.dispatcher.Stop(p.ctx)
		_ = p.client.Stop(p.ctx)
	}()
}

func (p *process) loop() {
	ticker := time.NewTicker(control.TickInterval)
	defer ticker.Stop()
	for p.awaitResumed() {
		select {
		case <-p.ctx.Done():
		case event := <-p.events:
			p.step(event)
		case <-ticker.C:
			p.step(control.Tick{})
		}
	}
}

func (p *process) step(event control.Event) {
	if !p.awaitResumed() {
		return
	}
	for _, effect := range p.node.Step(p.Now(), event) {
		p.execute(effect)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for stream := range p.offsets {
		p.offsets[stream] = p.node.NextOffset(stream)
	}
}

func (p *process) execute(effect control.Effect) {
	switch e := effect.(type) {
	case control.Append:
		go p.append(e)
	case control.Renew:
		go p.renew(e)
	case control.Revoke:
		go p.revoke(e)
	case control.Send:
		_ = p.Send(e.To, e.Message)
	case control.Publish:
		p.mu.Lock()
		p.table = e.Table
		p.mu.Unlock()
		p.policies.report(e.Table)
		p.dispatcher.SetTable(e.Table)
	case control.Left:
		p.leftOnce.Do(func() { close(p.left) })
	}
}

func (p *process) post(event control.Event) {
	select {
	case p.events <- event:
	case <-p.ctx.Done():
	}
}

func (p *process) append(e control.Append) {
	limited, cancel := context.WithTimeout(p.ctx, appendTimeout)
	defer cancel()
	ok := p.awaitResumed() && p.w.log.append(limited, p, e.Stream, e.Record)
	p.post(control.AppendDone{Stream: e.Stream, ID: e.Record.ID, OK: ok})
}

func (p *process) renew(e control.Renew) {
	limited, cancel := context.WithTimeout(p.ctx, lease.RenewTimeout)
	defer cancel()
	done := control.RenewDone{Target: e.Target, Sequence: e.Sequence}
	if response, err := p.client.Renew(limited, e.Address, e.Request, e.Fresh); err == nil {
		done.Response = &response
	}
	p.post(done)
}

func (p *process) revoke(e control.Revoke) {
	limited, cancel := context.WithTimeout(p.ctx, lease.RenewTimeout)
	defer cancel()
	done := control.RevokeDone{Target: e.Target, Sequence: e.Sequence}
	if response, err := p.client.Revoke(limited, e.Address, e.Request); err == nil {
		done.Response = &response
	}
	p.post(done)
}

func (p *process) pollStream(stream record.Stream) {
	for p.awaitResumed() {
		p.mu.Lock()
		from := p.offsets[stream]
		p.mu.Unlock()
		entries, end, ok := p.w.log.read(p, stream, from)
		if !ok {
			p.sleep(callTimeout)
			p.post(control.LogDown{Stream: stream})
			continue
		}
		p.post(control.LogRead{Stream: stream, Entries: entries, End: end})
		p.sleep(pollEvery)
	}
}

func (p *process) pollVMList() {
	for p.awaitResumed() {
		p.post(control.VMListRead{List: p.w.vmList()})
		p.sleep(time.Second)
	}
}

func (p *process) sleep(span time.Duration) {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-p.ctx.Done():
	}
}

// Send implements dispatch.Sender.
func (p *process) Send(to model.VMID, m message.Message) error {
	if p.awaitResumed() {
		p.w.transmit(p, to, m)
	}
	return nil
}

// receive handles a message from the network, or queues it in the socket buffer while the process is paused.
func (p *process) receive(from model.VMID, m message.Message) {
	handle := func() { p.handle(from, m) }
	p.mu.Lock()
	if p.ctx.Err() != nil {
		p.mu.Unlock()
		return
	}
	if !isClosed(p.resumed) {
		p.inbox = append(p.inbox, handle)
		p.mu.Unlock()
		return
	}
	p.mu.Unlock()
	handle()
}

func (p *process) handle(from model.VMID, m message.Message) {
	p.w.oracle.recordDelivered(m)
	switch {
	case m.Forward != nil, m.ForwardReply != nil, m.CancelForward != nil, m.CloseID != nil, m.Strike != nil, m.Handover != nil:
		p.dispatcher.OnMessage(from, m)
	default:
		p.post(control.PeerMessage{From: from, Message: m})
	}
}

// stop performs a planned stop. It reports whether every request ended within stopTimeout.
func (p *process) stop() bool {
	p.mu.Lock()
	p.draining = true
	p.mu.Unlock()
	p.sleep(time.Second)
	limited, cancel := context.WithTimeout(p.ctx, stopTimeout)
	defer cancel()
	err := p.dispatcher.Stop(limited)
	p.post(control.Leave{})
	select {
	case <-p.left:
	case <-time.After(leaveTimeout):
	case <-p.ctx.Done():
	}
	return err == nil
}

func (p *process) acceptsRequests() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ctx.Err() == nil && !p.draining
}

func isClosed(channel <-chan struct{}) bool {
	select {
	case <-channel:
		return true
	default:
		return false
	}
}
