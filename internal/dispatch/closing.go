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
func (d *Dispatcher) conclude(ctx context.Context, request *Request, answer Response) Response {
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

// askLessor closes the request's ID at the lessor of its slot and returns the lessor's word, or an unknown outcome. It asks
// again when a reply is lost or late, when the lessor has no recent renewal, and when the lessor changes.
func (d *Dispatcher) askLessor(ctx context.Context, request *Request) message.ForwardReply {
	ctx, cancel := context.WithTimeout(ctx, min(closeTimeout, d.remaining(request)))
	defer cancel()
	for ctx.Err() == nil {
		if word, final := d.askOnce(ctx, request); final {
			return word
		}
		timer := time.NewTimer(holdInterval)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
		}
	}
	return refusal("", result.OutcomeUnknown)
}

// askOnce asks the current lessor once. final is false if the same question may get a word later.
func (d *Dispatcher) askOnce(ctx context.Context, request *Request) (word message.ForwardReply, final bool) {
	unknown := refusal("", result.OutcomeUnknown)
	table := d.current.Load().table
	service, tenant := table.Services[request.Service], table.Tenants[request.Tenant]
	if service == nil || tenant == nil || !tenant.Class.Allows(table.Region) {
		return unknown, true
	}
	key := keyOf(service, request.Key, request.RequestID, false)
	if key == "" {
		return unknown, true
	}
	keyHash := model.KeyHash(service.Name, tenant.Class, key)
	owner, found := table.Resolve(service, tenant.Class, keyHash)
	if !found || owner.Target == nil {
		return unknown, true
	}
	ask := &message.CloseID{
		Attempt: d.nextAttempt(), Slot: owner.Slot, RequestID: *request.RequestID,
		ReceivedMillis: request.Received.UnixMilli(), KeyHash: keyHash,
	}
	lessor := lessorOf(table, owner.Target)
	if lessor == table.VM {
		word = d.closeID(ask)
		return word, word.Code != result.NotReady
	}
	if lessor == "" || !tenant.Class.Allows(table.PeerRegions[lessor]) {
		return unknown, true
	}
	return d.askPeer(ctx, lessor, ask)
}

// askPeer sends one question. A word that comes after its validity is dropped, because an attempt received meanwhile may
// have run.
func (d *Dispatcher) askPeer(ctx context.Context, lessor model.VMID, ask *message.CloseID) (word message.ForwardReply, final bool) {
	replies, ok := d.pending.add(ask.Attempt, lessor)
	if !ok {
		return word, false
	}
	defer d.pending.remove(ask.Attempt)
	asked := d.Clock.Now()
	if err := d.Sender.Send(lessor, message.Message{CloseID: ask}); err != nil {
		return word, false
	}
	timer := time.NewTimer(dedup.NotRunValidity)
	defer timer.Stop()
	select {
	case word = <-replies:
		inTime := d.Clock.Now().Sub(asked) < dedup.NotRunValidity
		return word, inTime && word.Code != result.NotReady
	case <-timer.C:
	case <-ctx.Done():
	}
	return word, false
}

// closeID answers as the lessor. result.NotReady means that the lease was confirmed too long ago for this ID.
func (d *Dispatcher) closeID(ask *message.CloseID) message.ForwardReply {
	table := d.current.Load().table
	owner, owned := table.OwnerOf(ask.Slot)
	if !owned {
		return refusal(ask.Attempt, result.OutcomeUnknown)
	}
	lease, held := table.Leases[owner.Target.ID]
	_, granted := lease.Slots[ask.Slot]
	if !held || !granted || hasOwnSlot(table, ask.Slot, ask.KeyHash) {
		return refusal(ask.Attempt, result.OutcomeUnknown)
	}
	confirmed := d.wallAt(lease.LocalEnd.Add(-leaseLength))
	got, stored := d.Dedup.Close(d.Clock.Wall(), ask.Slot, ask.RequestID, ask.ReceivedMillis, confirmed)
	switch got {
	case dedup.CloseNotRun:
		return refusal(ask.Attempt, result.RequestClosed)
	case dedup.CloseRan:
		answer := *stored
		answer.Attempt = ask.Attempt
		return answer
	case dedup.CloseUnconfirmed:
		reply := refusal(ask.Attempt, result.NotReady)
		reply.Outcome = result.Unknown
		return reply
	default:
		return refusal(ask.Attempt, result.OutcomeUnknown)
	}
}
