package dispatch

import (
	"context"
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/callerconn"
	"github.com/tarragonpoint/tarragonpoint/internal/dedup"
	"github.com/tarragonpoint/tarragonpoint/internal/message"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/result"
	"github.com/tarragonpoint/tarragonpoint/internal/route"
)

// heldLease is the lease, with its target and slot, under which the lessor accepted a request.
type heldLease struct {
	lease  route.Lease
	slot   route.SlotLease
	target *route.Target
	class  model.Class
}

// serve runs a request as the lessor of its target. It never forwards. ctx ends at the deadline or when an idempotent
// request is canceled; wanted ends also when the caller of a non-idempotent request leaves.
func (d *Dispatcher) serve(ctx, wanted context.Context, f *message.Forward) message.ForwardReply {
	h, code := d.checkLease(f)
	if code != result.OK {
		return codeReply(f.Attempt, code)
	}
	if f.Idempotent {
		return d.gateAndSend(ctx, wanted, f, h)
	}
	return d.serveOnce(ctx, wanted, f, h)
}

// checkLease checks against the newest table that this VM may send the request now, and returns the lease that allows
// it.
func (d *Dispatcher) checkLease(f *message.Forward) (heldLease, result.Code) {
	table := d.current.Load().table
	if !f.Idempotent && (f.RequestID == nil || f.Slot == nil) {
		return heldLease{}, result.RequestIDRequired
	}
	tenant, t := table.Tenants[f.Tenant], table.Targets[f.Target]
	lease, held := table.Leases[f.Target]
	if tenant == nil || t == nil || !held || d.Clock.Now() >= lease.LocalEnd {
		return heldLease{}, result.OwnerUnavailable
	}
	h := heldLease{lease: lease, target: t, class: tenant.Class}
	if f.Slot == nil {
		return h, result.OK
	}
	slot, granted := lease.Slots[*f.Slot]
	if !granted || slot.Fence != f.Fence || f.Slot.Class != tenant.Class || keyHasSplitSlot(table, *f.Slot, f.KeyHash) {
		return heldLease{}, result.OwnerUnavailable
	}
	h.slot = slot
	return h, result.OK
}

// keyHasSplitSlot reports whether a key that was resolved to a hash slot has been split from it. The split slot may
// have another lessor, whose at-most-once table is then authoritative. A key hash of 0 means that the hash is missing:
// the message is malformed, and the key counts as split, because slot.Split(0) is the owned hash slot itself.
func keyHasSplitSlot(table *route.Table, slot model.Slot, keyHash uint64) bool {
	if slot.IsSplit() {
		return false
	}
	_, split := table.Owners[slot.Split(keyHash)]
	return split
}

// serveOnce runs a non-idempotent request at most once.
func (d *Dispatcher) serveOnce(ctx, wanted context.Context, f *message.Forward, h heldLease) message.ForwardReply {
	for {
		admission := d.Dedup.Admit(d.Clock.Wall(), *f.Slot, f.Fence, *f.RequestID, f.ReceivedMillis)
		switch admission.Decision {
		case dedup.Run:
			return d.runAdmitted(ctx, wanted, f, h)
		case dedup.Wait:
			select {
			case <-admission.Done:
				continue
			case <-ctx.Done():
				return codeReply(f.Attempt, result.DeadlineMissed)
			}
		case dedup.Stored:
			stored := *admission.Reply
			stored.Attempt = f.Attempt
			return stored
		default:
			return codeReply(f.Attempt, decisionCode(admission.Decision))
		}
	}
}

// decisionCode returns the code of an attempt that is neither run nor given a stored reply.
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
func (d *Dispatcher) runAdmitted(ctx, wanted context.Context, f *message.Forward, h heldLease) message.ForwardReply {
	reply := d.gateAndSend(ctx, wanted, f, h)
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

// gateAndSend waits at the target's gate and sends the request if the lease is still the one that h describes.
func (d *Dispatcher) gateAndSend(ctx, wanted context.Context, f *message.Forward, h heldLease) message.ForwardReply {
	targetGate := d.gates.of(f.Target)
	waiting, stop := callerconn.UntilLeft(ctx, wanted)
	defer stop()
	began := d.Clock.Now()
	switch targetGate.acquire(waiting.Done()) {
	case gateFull:
		return codeReply(f.Attempt, result.Overloaded)
	case gateLeaseLost:
		return codeReply(f.Attempt, result.OwnerUnavailable)
	case gateTimeout:
		return codeReply(f.Attempt, result.DeadlinePassed)
	}
	release := targetGate.release
	defer func() { release() }()
	if d.Clock.Now().Sub(began) >= quarantineRecheck && d.isQuarantined(f) {
		return codeReply(f.Attempt, result.Quarantined)
	}
	current, code := d.checkLease(f)
	if code != result.OK {
		return codeReply(f.Attempt, code)
	}
	// While the lease was interrupted, another lessor may have run the same ID, so an earlier admission is invalid.
	if current.lease.Term != h.lease.Term || current.slot.Since != h.slot.Since || current.class != h.class {
		return codeReply(f.Attempt, result.OwnerUnavailable)
	}
	reply := d.send(ctx, wanted, f, current.target, current.class, &lessorFields{term: current.lease.Term, notAfter: current.lease.ValidUntil})
	if reply.Code == result.DeadlineMissed && d.isCold(current.target) {
		// The target continues to run the attempt until the cancellation arrives.
		release = func() { time.AfterFunc(lateReleaseDelay, targetGate.release) }
	}
	return reply
}
