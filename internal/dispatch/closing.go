package dispatch

import (
	"context"
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/dedup"
	"github.com/tarragonpoint/tarragonpoint/internal/message"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/result"
)

// finalResponse returns the response to send to the caller. For a non-idempotent request with an ID, the outcome "not
// run" needs the lessor's confirmation: without it the outcome is unknown, and if the lessor has a stored reply, the
// response in that reply is returned.
func (d *Dispatcher) finalResponse(ctx context.Context, request *Request, response Response) Response {
	if response.Code == result.WrongRegion {
		response.HomeRegions = d.homeRegions(request.Tenant)
	}
	if response.Outcome != result.NotRun || request.Idempotent || request.RequestID == nil {
		return response
	}
	reply := d.queryLessor(ctx, request)
	switch reply.Outcome {
	case result.NotRun:
		return response
	case result.Ran:
		return responseOf(reply)
	default:
		response.Outcome = result.Unknown
		return response
	}
}

// queryLessor closes the request's ID at the lessor of its slot and returns the lessor's reply, or an unknown outcome.
// It repeats the query when a reply is lost or late and when the lessor has no recent renewal. If the lessor has
// changed in the meantime, the next query goes to the new one.
func (d *Dispatcher) queryLessor(ctx context.Context, request *Request) message.ForwardReply {
	ctx, cancel := context.WithTimeout(ctx, min(closeTimeout, d.timeToDeadline(request)))
	defer cancel()
	for ctx.Err() == nil {
		if reply, final := d.queryLessorOnce(ctx, request); final {
			return reply
		}
		timer := time.NewTimer(holdInterval)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
		}
	}
	return codeReply("", result.OutcomeUnknown)
}

// queryLessorOnce sends one query to the current lessor. final is false if a later query may get a definite reply.
func (d *Dispatcher) queryLessorOnce(ctx context.Context, request *Request) (reply message.ForwardReply, final bool) {
	unknown := codeReply("", result.OutcomeUnknown)
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
	query := &message.CloseID{
		Attempt: d.nextAttempt(), Slot: owner.Slot, RequestID: *request.RequestID,
		ReceivedMillis: request.Received.UnixMilli(), KeyHash: keyHash,
	}
	lessor := lessorOf(table, owner.Target)
	if lessor == table.VM {
		reply = d.closeID(query)
		return reply, reply.Code != result.NotReady
	}
	if lessor == "" || !tenant.Class.Allows(table.PeerRegions[lessor]) {
		return unknown, true
	}
	return d.queryPeer(ctx, lessor, query)
}

// queryPeer sends one query to a peer. A reply that arrives after dedup.NotRunValidity is dropped, because an attempt
// received in the meantime may have run.
func (d *Dispatcher) queryPeer(ctx context.Context, lessor model.VMID, query *message.CloseID) (reply message.ForwardReply, final bool) {
	replies, ok := d.pending.add(query.Attempt, lessor)
	if !ok {
		return reply, false
	}
	defer d.pending.remove(query.Attempt)
	sentAt := d.Clock.Now()
	if err := d.Sender.Send(lessor, message.Message{CloseID: query}); err != nil {
		return reply, false
	}
	timer := time.NewTimer(dedup.NotRunValidity)
	defer timer.Stop()
	select {
	case reply = <-replies:
		inTime := d.Clock.Now().Sub(sentAt) < dedup.NotRunValidity
		return reply, inTime && reply.Code != result.NotReady
	case <-timer.C:
	case <-ctx.Done():
	}
	return reply, false
}

// closeID closes an ID as the lessor of its slot. result.NotReady means that the lease was confirmed too long ago for
// this ID.
func (d *Dispatcher) closeID(query *message.CloseID) message.ForwardReply {
	table := d.current.Load().table
	owner, owned := table.OwnerOf(query.Slot)
	if !owned {
		return codeReply(query.Attempt, result.OutcomeUnknown)
	}
	lease, held := table.Leases[owner.Target.ID]
	_, granted := lease.Slots[query.Slot]
	if !held || !granted || keyHasSplitSlot(table, query.Slot, query.KeyHash) {
		return codeReply(query.Attempt, result.OutcomeUnknown)
	}
	confirmed := d.wallAt(lease.LocalEnd.Add(-leaseLength))
	got, stored := d.Dedup.Close(d.Clock.Wall(), query.Slot, query.RequestID, query.ReceivedMillis, confirmed)
	switch got {
	case dedup.CloseNotRun:
		return codeReply(query.Attempt, result.RequestClosed)
	case dedup.CloseRan:
		reply := *stored
		reply.Attempt = query.Attempt
		return reply
	case dedup.CloseUnconfirmed:
		reply := codeReply(query.Attempt, result.NotReady)
		reply.Outcome = result.Unknown
		return reply
	default:
		return codeReply(query.Attempt, result.OutcomeUnknown)
	}
}
