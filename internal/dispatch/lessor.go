package dispatch

import (
	"context"
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/dedup"
	"github.com/tarragonpoint/tarragonpoint/internal/message"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/result"
	"github.com/tarragonpoint/tarragonpoint/internal/route"
)

// holding is the lease under which the lessor accepted a request.
type holding struct {
	lease  route.Lease
	slot   route.SlotLease
	target *route.Target
	class  model.Class
}

// serve runs a request as the lessor of its target. It never forwards. ctx ends at the deadline or when an idempotent
// request was canceled.
func (d *Dispatcher) serve(ctx context.Context, f *message.Forward) message.ForwardReply {
	h, code := d.holdingOf(f)
	if code != result.OK {
		return refusal(f.Attempt, code)
	}
	if f.Idempotent {
		return d.gateAndSend(ctx, f, h)
	}
	return d.serveOnce(ctx, f, h)
}

// holdingOf checks with the newest table that this VM may send the request now.
func (d *Dispatcher) holdingOf(f *message.Forward) (holding, result.Code) {
	table := d.current.Load().table
	if !f.Idempotent && (f.RequestID == nil || f.Slot == nil) {
		return holding{}, result.RequestIDRequired
	}
	tenant, t := table.Tenants[f.Tenant], table.Targets[f.Target]
	lease, held := table.Leases[f.Target]
	if tenant == nil || t == nil || !held || d.Clock.Now() >= lease.LocalEnd {
		return holding{}, result.OwnerUnavailable
	}
	h := holding{lease: lease, target: t, class: tenant.Class}
	if f.Slot == nil {
		return h, result.OK
	}
	slot, granted := lease.Slots[*f.Slot]
	if !granted || slot.Fence != f.Fence || f.Slot.Class != tenant.Class || hasOwnSlot(table, *f.Slot, f.KeyHash) {
		return holding{}, result.OwnerUnavailable
	}
	h.slot = slot
	return h, result.OK
}

// hasOwnSlot reports whether a key that was resolved to a hash slot has been split from it. The slot of the key may have
// another lessor, whose at-most-once table then decides. A missing key hash, 0, counts as split: it is malformed.
func hasOwnSlot(table *route.Table, slot model.Slot, keyHash uint64) bool {
	if slot.IsSplit() {
		return false
	}
	_, split := table.Owners[slot.Split(keyHash)]
	return split
}

// serveOnce runs a non-idempotent request at most once.
func (d *Dispatcher) serveOnce(ctx context.Context, f *message.Forward, h holding) message.ForwardReply {
	for {
		admission := d.Dedup.Admit(d.Clock.Wall(), *f.Slot, f.Fence, *f.RequestID, f.ReceivedMillis)
		switch admission.Decision {
		case dedup.Run:
			return d.runAdmitted(ctx, f, h)
		case dedup.Wait:
			select {
			case <-admission.Done:
				continue
			case <-ctx.Done():
				return refusal(f.Attempt, result.DeadlineMissed)
			}
		case dedup.Stored:
			stored := *admission.Reply
			stored.Attempt = f.Attempt
			return stored
		default:
			return refusal(f.Attempt, decisionCode(admission.Decision))
		}
	}
}

// decisionCode returns the code of an attempt that is neither run nor answered from the table.
func decisionCode(decision dedup.Decision) result.Code {
	switch decision {
	case dedup.TooOld:
		return result.RequestIDTooOld
	case dedup.Ahead:
		return result.RequestIDAhead
	case dedup.BeforeHorizon:
		return result.BeforeHorizon
	case dedup.Closed:
		return result.RequestClosed
	case dedup.NotCovered:
		return result.OwnerUnavailable
	case dedup.Full:
		return result.Overloaded
	default:
		return result.OutcomeUnknown
	}
}

// runAdmitted sends an admitted request and records its outcome in the at-most-once table.
func (d *Dispatcher) runAdmitted(ctx context.Context, f *message.Forward, h holding) message.ForwardReply {
	reply := d.gateAndSend(ctx, f, h)
	switch reply.Outcome {
	case result.Ran:
		d.Dedup.Finish(*f.RequestID, reply)
	case result.NotRun:
		d.Dedup.Abort(*f.RequestID)
	default:
		d.Dedup.MarkUnknown(*f.RequestID)
	}
	return reply
}

// gateAndSend waits for a place at the target and sends the request, if the lease is still the one that h describes.
func (d *Dispatcher) gateAndSend(ctx context.Context, f *message.Forward, h holding) message.ForwardReply {
	places := d.gates.of(f.Target)
	switch places.acquire(ctx.Done()) {
	case gateFull:
		return refusal(f.Attempt, result.Overloaded)
	case gateLost:
		return refusal(f.Attempt, result.OwnerUnavailable)
	case gateTimeout:
		return refusal(f.Attempt, result.DeadlinePassed)
	}
	release := places.release
	defer func() { release() }()
	now, code := d.holdingOf(f)
	if code != result.OK {
		return refusal(f.Attempt, code)
	}
	// After an interruption another lessor may have run the same ID, so an admission from before it is void.
	if now.lease.Term != h.lease.Term || now.slot.Since != h.slot.Since || now.class != h.class {
		return refusal(f.Attempt, result.OwnerUnavailable)
	}
	reply := d.send(ctx, f, now.target, now.class, &sendAs{term: now.lease.Term, notAfter: now.lease.ValidUntil})
	if reply.Code == result.DeadlineMissed && d.isCold(now.target) {
		// The target still runs the attempt until the cancellation arrives.
		release = func() { time.AfterFunc(lateRelease, places.release) }
	}
	return reply
}
