package dispatch

import (
	"context"

	"github.com/tarragonpoint/tarragonpoint/internal/message"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/result"
)

// OnMessage processes a message from an authenticated peer. It does not block. Messages for other packages are ignored.
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
		// If the queue is full, the handover is dropped and the horizon stays unchanged.
		d.pool.submit(func() { d.Dedup.Import(d.Clock.Wall(), handover) })
	}
}

// onForward queues a forwarded request unless the message is a duplicate. It registers the request before queuing it,
// so that a cancellation takes effect while it is queued.
func (d *Dispatcher) onForward(from model.VMID, f *message.Forward) {
	switch d.lifecycle.enter() {
	case enterStopping:
		d.reply(from, codeReply(f.Attempt, result.Draining))
		return
	case enterFull:
		d.reply(from, codeReply(f.Attempt, result.Overloaded))
		return
	}
	ctx, cancel := context.WithTimeout(d.base, f.Timeout)
	wanted, abandon := context.WithCancel(ctx)
	key := runningKey{from: from, attempt: f.Attempt}
	cancelable := cancel
	if !f.Idempotent {
		cancelable = abandon
	}
	if !d.running.add(key, cancelable) {
		abandon()
		cancel()
		d.lifecycle.leave()
		return
	}
	end := func() {
		d.running.end(key)
		abandon()
		cancel()
		d.lifecycle.leave()
	}
	queued := d.pool.submit(func() {
		defer end()
		d.reply(from, d.serveForwarded(ctx, wanted, from, f))
	})
	if !queued {
		end()
		d.reply(from, codeReply(f.Attempt, result.Overloaded))
	}
}

// serveForwarded runs a forwarded request. It rejects a request that the tenant's home regions don't allow in the
// sender's region, and one that is quarantined here.
func (d *Dispatcher) serveForwarded(
	ctx, wanted context.Context, from model.VMID, f *message.Forward,
) message.ForwardReply {
	table := d.current.Load().table
	tenant := table.Tenants[f.Tenant]
	if tenant == nil || !mayServe(table, f.Tenant, tenant.Class, table.PeerRegions[from]) {
		return codeReply(f.Attempt, result.OwnerUnavailable)
	}
	fingerprint := d.fingerprint(f.Tenant, f.Service, f.Method, f.Path, f.Body)
	leave, allowed := d.Quarantine.Enter(d.Clock.Now(), fingerprint)
	if !allowed {
		return codeReply(f.Attempt, result.Quarantined)
	}
	defer leave()
	return d.serve(ctx, wanted, f)
}

// onCloseID replies to a query for the outcome of an ID. It needs no worker, because it takes only the locks of the
// at-most-once table. A stopping VM replies until the table is exported.
func (d *Dispatcher) onCloseID(from model.VMID, query *message.CloseID) {
	d.reply(from, d.closeID(query))
}

// reply sends a reply. If it is lost, the VM that waits for it reports an unknown outcome at its deadline.
func (d *Dispatcher) reply(to model.VMID, reply message.ForwardReply) {
	_ = d.Sender.Send(to, message.Message{ForwardReply: &reply})
}
