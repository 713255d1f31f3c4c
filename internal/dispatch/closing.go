package dispatch

import (
	"context"
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/dedup"
	"github.com/tarragonpoint/tarragonpoint/internal/message"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/result"
)

// conclude returns the answer that the caller may get. A "not run" for a request with an ID needs the lessor's word;
// without it the outcome is unknown, and if the request ran after all its stored answer is returned.
func (d *Dispatcher) conclude(ctx context.Context, request *Request, answer Answer) Answer {
	if answer.Code == result.WrongRegion {
		answer.HomeRegions = d.homeRegions(request.Tenant)
	}
	if answer.Outcome != result.NotRun || request.Idempotent || request.RequestID == nil {
		return answer
	}
	word := d.askLessor(ctx, request)
	switch word.Outcome {
	case result.NotRun:
		return answer
	case result.Ran:
		return answerOf(word)
	default:
		answer.Outcome = result.Unknown
		return answer
	}
}

// askLessor closes the request's ID at the lessor of its slot and returns the lessor's word, or an unknown outcome.
func (d *Dispatcher) askLessor(ctx context.Context, request *Request) message.ForwardReply {
	unknown := refusal("", result.OutcomeUnknown)
	table := d.current.Load().table
	service, tenant := table.Services[request.Service], table.Tenants[request.Tenant]
	if service == nil || tenant == nil || !tenant.Class.Allows(table.Region) {
		return unknown
	}
	key := keyOf(service, request.Key, request.RequestID, false)
	if key == "" {
		return unknown
	}
	keyHash := model.KeyHash(service.Name, tenant.Class, key)
	owner, found := table.Resolve(service, tenant.Class, keyHash)
	if !found || owner.Target == nil {
		return unknown
	}
	ctx, cancel := context.WithTimeout(ctx, min(closeTimeout, d.remaining(request)))
	defer cancel()
	ask := &message.CloseID{
		Attempt: d.nextAttempt(), Slot: owner.Slot, RequestID: *request.RequestID,
		ReceivedMillis: request.Received.UnixMilli(), KeyHash: keyHash,
	}
	lessor := lessorOf(table, owner.Target)
	if lessor == table.VM {
		return d.closeID(ctx, ask)
	}
	if lessor == "" || !tenant.Class.Allows(table.PeerRegions[lessor]) {
		return unknown
	}
	return d.askPeer(ctx, lessor, ask)
}

func (d *Dispatcher) askPeer(ctx context.Context, lessor model.VMID, ask *message.CloseID) message.ForwardReply {
	unknown := refusal(ask.Attempt, result.OutcomeUnknown)
	replies, ok := d.pending.add(ask.Attempt, lessor)
	if !ok {
		return unknown
	}
	defer d.pending.remove(ask.Attempt)
	if err := d.Sender.Send(lessor, message.Message{CloseID: ask}); err != nil {
		return unknown
	}
	select {
	case reply := <-replies:
		return reply
	case <-ctx.Done():
		return unknown
	}
}

// closeID answers as the lessor. It waits for a renewal if the lease was confirmed too long ago for this ID.
func (d *Dispatcher) closeID(ctx context.Context, ask *message.CloseID) message.ForwardReply {
	for {
		reply, final := d.tryClose(ask)
		if final {
			return reply
		}
		timer := time.NewTimer(holdInterval)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return refusal(ask.Attempt, result.OutcomeUnknown)
		}
	}
}

// tryClose closes an ID once. final is false if the lease has to be confirmed first.
func (d *Dispatcher) tryClose(ask *message.CloseID) (reply message.ForwardReply, final bool) {
	table := d.current.Load().table
	owner := table.Owners[ask.Slot]
	if owner.Target == nil {
		return refusal(ask.Attempt, result.OutcomeUnknown), true
	}
	lease, held := table.Leases[owner.Target.ID]
	_, granted := lease.Slots[ask.Slot]
	if !held || !granted || hasOwnSlot(table, ask.Slot, ask.KeyHash) {
		return refusal(ask.Attempt, result.OutcomeUnknown), true
	}
	confirmed := d.wallAt(lease.LocalEnd.Add(-leaseLength))
	got, stored := d.Dedup.Close(d.Clock.Wall(), ask.Slot, ask.RequestID, ask.ReceivedMillis, confirmed)
	switch got {
	case dedup.CloseNotRun:
		return refusal(ask.Attempt, result.RequestClosed), true
	case dedup.CloseRan:
		answer := *stored
		answer.Attempt = ask.Attempt
		return answer, true
	case dedup.CloseUnconfirmed:
		return message.ForwardReply{}, false
	default:
		return refusal(ask.Attempt, result.OutcomeUnknown), true
	}
}
