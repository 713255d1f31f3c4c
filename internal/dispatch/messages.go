package dispatch

import (
	"context"

	"github.com/tarragonpoint/tarragonpoint/internal/message"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/result"
)

// OnMessage takes a message from an authenticated peer. It does not block; messages of other packages are ignored.
func (d *Dispatcher) OnMessage(from model.VMID, received message.Message) {
	switch {
	case received.Forward != nil:
		d.onForward(from, received.Forward)
	case received.ForwardReply != nil:
		d.pending.deliver(from, *received.ForwardReply)
	case received.CancelForward != nil:
		d.running.cancel(runningKey{from: from, attempt: received.CancelForward.Attempt})
	case received.CloseID != nil:
		d.onCloseID(from, received.CloseID)
	case received.Strike != nil:
		d.onStrike(from, received.Strike)
	case received.Handover != nil:
		handover := *received.Handover
		// A handover that finds no room in the queue is dropped: the horizon then stays where it is.
		d.pool.submit(func() { d.Dedup.Import(d.Clock.Wall(), handover) })
	}
}

// onForward queues a forwarded request unless the message is a copy. It is registered first so that a cancellation finds
// it in the queue.
func (d *Dispatcher) onForward(from model.VMID, f *message.Forward) {
	switch d.life.enter() {
	case entryStopping:
		d.reply(from, refusal(f.Attempt, result.Draining))
		return
	case entryFull:
		d.reply(from, refusal(f.Attempt, result.Overloaded))
		return
	}
	ctx, cancel := context.WithTimeout(d.base, f.Timeout)
	key := runningKey{from: from, attempt: f.Attempt}
	cancelable := cancel
	if !f.Idempotent {
		cancelable = nil
	}
	if !d.running.add(key, cancelable) {
		cancel()
		d.life.leave()
		return
	}
	end := func() {
		d.running.end(key)
		cancel()
		d.life.leave()
	}
	queued := d.pool.submit(func() {
		defer end()
		d.reply(from, d.serveForwarded(ctx, from, f))
	})
	if !queued {
		end()
		d.reply(from, refusal(f.Attempt, result.Overloaded))
	}
}

// serveForwarded runs a forwarded request unless its sender may not have it or it is quarantined here.
func (d *Dispatcher) serveForwarded(ctx context.Context, from model.VMID, f *message.Forward) message.ForwardReply {
	table := d.current.Load().table
	tenant := table.Tenants[f.Tenant]
	if tenant == nil || !mayServe(table, f.Tenant, tenant.Class, table.PeerRegions[from]) {
		return refusal(f.Attempt, result.OwnerUnavailable)
	}
	fingerprint := d.fingerprint(f.Tenant, f.Service, f.Method, f.Path, f.Body)
	leave, allowed := d.Quarantine.Enter(d.Clock.Now(), fingerprint)
	if !allowed {
		return refusal(f.Attempt, result.Quarantined)
	}
	defer leave()
	return d.serve(ctx, f)
}

// onCloseID answers a question for the outcome of an ID. It takes only the locks of the at-most-once table. While the VM
// stops it is answered until the table is exported.
func (d *Dispatcher) onCloseID(from model.VMID, ask *message.CloseID) {
	d.reply(from, d.closeID(ask))
}

// reply sends a reply. If it is lost, the asker ends with an unknown outcome at its deadline.
func (d *Dispatcher) reply(to model.VMID, reply message.ForwardReply) {
	_ = d.Sender.Send(to, message.Message{ForwardReply: &reply})
}
