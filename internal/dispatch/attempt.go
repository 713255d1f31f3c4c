package dispatch

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/joomcode/errorx"

	"github.com/tarragonpoint/tarragonpoint/internal/message"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/result"
	"github.com/tarragonpoint/tarragonpoint/internal/route"
	"github.com/tarragonpoint/tarragonpoint/internal/target"
)

// attempt runs one attempt on the path that the plan selects. It ends with wanted until it is sent to its target, and with
// ctx or at the deadline after that.
func (d *Dispatcher) attempt(
	ctx, wanted context.Context, request *Request, p plan, deadline model.Instant,
) message.ForwardReply {
	started := d.Clock.Now()
	ctx, cancel := context.WithTimeout(ctx, deadline.Sub(started))
	defer cancel()
	f := d.newForward(request, p, deadline)
	var reply message.ForwardReply
	var path Path
	switch p.lessor {
	case "":
		reply, path = d.sendDirect(ctx, wanted, f, p), PathDirect
	case d.current.Load().table.VM:
		reply, path = d.serve(ctx, wanted, f), PathLessor
	default:
		reply, path = d.forward(ctx, wanted, f, p), PathForward
	}
	d.Observer.Attempt(request.Service, path, reply.Code, d.Clock.Now().Sub(started))
	return reply
}

// newForward returns the message that describes one attempt of a request.
func (d *Dispatcher) newForward(request *Request, p plan, deadline model.Instant) *message.Forward {
	return &message.Forward{
		Attempt:        d.nextAttempt(),
		Tenant:         request.Tenant,
		Service:        request.Service,
		Target:         p.target.ID,
		Slot:           p.slot,
		KeyHash:        p.keyHash,
		Fence:          p.fence,
		RequestID:      request.RequestID,
		Idempotent:     request.Idempotent,
		ReceivedMillis: request.Received.UnixMilli(),
		Method:         request.Method,
		Path:           request.Path,
		Header:         request.Header,
		Body:           request.Body,
		Timeout:        deadline.Sub(d.Clock.Now()),
	}
}

// sendDirect sends an idempotent request to a warm target that checks fences.
func (d *Dispatcher) sendDirect(ctx, wanted context.Context, f *message.Forward, p plan) message.ForwardReply {
	return d.send(ctx, wanted, f, p.target, p.class, nil)
}

// lessorFields are the fields of a target's request that only the lessor sets.
type lessorFields struct {
	term     model.Term
	notAfter model.Instant
}

// send sends one attempt to a target and classifies the result. It checks the home regions against the newest table
// right before the send. lessor is nil for a direct send.
func (d *Dispatcher) send(
	ctx, wanted context.Context, f *message.Forward, t *route.Target, class model.Class, lessor *lessorFields,
) message.ForwardReply {
	table := d.current.Load().table
	if !mayServe(table, f.Tenant, class, table.Region) || !mayServe(table, f.Tenant, class, t.Region) {
		return codeReply(f.Attempt, result.OwnerUnavailable)
	}
	started := d.Clock.Now()
	timeout := f.Timeout
	if end, bounded := ctx.Deadline(); bounded {
		timeout = min(timeout, time.Until(end))
	}
	if timeout <= 0 || ctx.Err() != nil || wanted.Err() != nil {
		return codeReply(f.Attempt, result.DeadlinePassed)
	}
	request := target.Request{
		Attempt: f.Attempt, Method: f.Method, Path: f.Path, Header: http.Header(f.Header), Body: f.Body,
		Slot: f.Slot, KeyHash: f.KeyHash, Fence: f.Fence, Timeout: timeout, Wanted: wanted,
		NoCancel: !f.Idempotent,
	}
	if lessor != nil {
		request.Term = &lessor.term
		request.NotAfter = lessor.notAfter
	}
	d.Chooser.Begin(t.ID)
	response, err := d.Client.Do(ctx, t.Address, request)
	if err == nil && response.Cold {
		d.coldReports.record(t.ID, d.Clock.Now())
	}
	reply := classify(f.Attempt, f.Slot != nil, response, err)
	if errorx.IsOfType(err, target.ErrBroken) && d.crashed(t) {
		d.recordStrike(f, t.ID)
		reply = codeReply(f.Attempt, result.TargetFailed)
	}
	reply.Target = t.ID
	reply.Fence = f.Fence
	latency := d.Clock.Now().Sub(started)
	d.Chooser.End(t.ID, latency, d.targetOutcome(ctx, t.ID, latency, reply))
	return reply
}

// targetOutcome returns the outcome to report to the Chooser. It is result.NotRun, which carries no information about
// the target, for a canceled attempt, and for a missed deadline on an unresponsive connection while the target's lease
// is renewed.
func (d *Dispatcher) targetOutcome(ctx context.Context, id model.TargetID, latency time.Duration, reply message.ForwardReply) result.Outcome {
	if reply.Code != result.DeadlineMissed {
		return reply.Outcome
	}
	current := d.current.Load().table.Targets[id]
	renewed := current != nil && current.Status != nil && current.Status.Serving
	if errors.Is(ctx.Err(), context.Canceled) || (renewed && latency >= d.unresponsiveTimeout(current.Service)) {
		return result.NotRun
	}
	return reply.Outcome
}

// forward sends a request to the lessor of its target and waits for the reply.
func (d *Dispatcher) forward(ctx, wanted context.Context, f *message.Forward, p plan) message.ForwardReply {
	table := d.current.Load().table
	peerRegion := table.PeerRegions[p.lessor]
	allowed := mayServe(table, f.Tenant, p.class, peerRegion) && mayServe(table, f.Tenant, p.class, p.target.Region)
	if !allowed {
		return codeReply(f.Attempt, result.OwnerUnavailable)
	}
	replies, ok := d.pending.add(f.Attempt, p.lessor)
	if !ok {
		return codeReply(f.Attempt, result.Overloaded)
	}
	defer d.pending.remove(f.Attempt)
	if err := d.Sender.Send(p.lessor, message.Message{Forward: f}); err != nil {
		return codeReply(f.Attempt, result.PeerUnavailable)
	}
	for left := wanted.Done(); ; {
		select {
		case reply := <-replies:
			return reply
		case <-left:
			d.cancelForward(f, p.lessor)
			left = nil
		case <-ctx.Done():
			if left != nil {
				d.cancelForward(f, p.lessor)
			}
			return codeReply(f.Attempt, result.DeadlineMissed)
		}
	}
}

// cancelForward notifies the lessor that no caller waits for a request any more. If the message is lost, the target only
// does unneeded work. A non-idempotent request that has been sent to its target is not canceled by it.
func (d *Dispatcher) cancelForward(f *message.Forward, lessor model.VMID) {
	_ = d.Sender.Send(lessor, message.Message{CancelForward: &message.CancelForward{Attempt: f.Attempt}})
}
