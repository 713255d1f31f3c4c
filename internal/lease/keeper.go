package lease

import (
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/target"
)

// Directive says what a keeper has to do now.
type Directive struct {
	// Active is true while this VM is the acting lessor of the target.
	Active bool
	Term   model.Term
	// Registered is the incarnation that may be granted slots; 0 if none.
	Registered model.Incarnation
	// Grants are the slots that the target must hold, and Version identifies them.
	Grants  []target.Grant
	Version uint64
}

// Call is a renewal to be sent. The answer comes back to Answered or Failed with the same sequence number.
type Call struct {
	Sequence uint64
	Request  target.RenewRequest
	// Fresh asks for a new connection, because the last call failed and its connection may be silent.
	Fresh bool
}

// call is a renewal under way.
type call struct {
	sequence   uint64
	sentAt     model.Instant
	request    target.RenewRequest
	basis      reading
	extends    bool
	grantsSent []target.Grant
	// isFirstReading is true if the renewal only read the clock because no usable reading was there.
	isFirstReading bool
}

// Keeper is the lessor's state for one target. It is not safe for concurrent use.
type Keeper struct {
	vm       model.VMID
	sequence uint64
	inflight *call
	nextAt   model.Instant
	failures int
	// latest is the newest reading of the clock of incarnation; nil before the first answer.
	latest      *reading
	incarnation model.Incarnation
	// firstSeen is when the incarnation first answered.
	firstSeen  model.Instant
	answeredAt model.Instant
	reply      target.RenewReply
	// held is the term that the target last accepted from this process.
	held model.Term
	// claimed is the highest term that this process sent and that the target has not refused. The target may have accepted
	// it even if no answer came.
	claimed model.Term
	// refused is the higher term that the target named when it refused this process.
	refused model.Term
	// endsBy is when every lease renewed by this process has run out.
	endsBy     model.Instant
	localEnd   model.Instant
	validUntil model.Instant
	version    uint64
	slots      map[model.Slot]slotHold
	stopped    bool
	// previous is the term that the target held before this process became its lessor; zero if unknown. It applies to the
	// slots of the next extension only.
	previous model.Term
}

// slotHold is a slot that the target holds under a renewal of this process.
type slotHold struct {
	fence    model.Fence
	since    model.Instant
	previous model.Term
}

// NewKeeper returns a keeper that knows nothing of its target.
func NewKeeper(vm model.VMID) *Keeper {
	return &Keeper{vm: vm, slots: map[model.Slot]slotHold{}}
}

// Next returns the renewal to send now, if any.
func (k *Keeper) Next(now model.Instant, directive Directive) (Call, bool) {
	if !directive.Active || k.inflight != nil || now < k.nextAt || directive.Term.Less(k.refused) {
		return Call{}, false
	}
	k.sequence++
	started := &call{sequence: k.sequence, sentAt: now, request: k.request(now, directive)}
	if started.request.ValidUntil > 0 {
		started.extends = true
		started.basis = *k.latest
		started.grantsSent = directive.Grants
		k.endsBy = max(k.endsBy, k.latest.endsBy())
	}
	started.isFirstReading = !k.hasReading(now)
	k.inflight = started
	k.claimed = directive.Term
	return Call{Sequence: k.sequence, Request: started.request, Fresh: k.failures > 0}, true
}

// hasReading reports whether there is a reading of the clock that can still carry a lease.
func (k *Keeper) hasReading(now model.Instant) bool {
	return k.latest != nil && now < k.latest.holdsUntil()
}

// request returns the renewal that the directive asks for. It only reads the clock while there is no reading of the
// registered incarnation that can still carry a lease.
func (k *Keeper) request(now model.Instant, directive Directive) target.RenewRequest {
	request := target.RenewRequest{
		Lessor:      k.vm,
		Term:        directive.Term,
		Incarnation: k.incarnation,
	}
	registered := k.incarnation != 0 && k.incarnation == directive.Registered
	if !k.hasReading(now) || k.stopped || !registered {
		return request
	}
	request.ValidUntil = k.latest.validUntil()
	request.GrantsVersion = directive.Version
	if k.reply.GrantsVersion != directive.Version {
		request.HasGrants = true
		request.Grants = directive.Grants
	}
	return request
}

// HandleResponse takes the answer to a renewal. It reports whether the keeper's view of the target changed in a way that others
// should learn of at once.
func (k *Keeper) HandleResponse(now model.Instant, sequence uint64, reply target.RenewReply) bool {
	if k.inflight == nil || k.inflight.sequence != sequence {
		return false
	}
	answered := *k.inflight
	k.inflight = nil
	k.failures = 0
	k.answeredAt = now
	changed := k.notice(reply)
	k.nextAt = answered.sentAt.Add(RenewInterval)
	if reply.Incarnation != k.incarnation {
		k.restart(now, reply.Incarnation)
		changed = true
	}
	if !reply.Accepted {
		k.refuse(reply.Term)
		return true
	}
	k.latest = &reading{clock: reply.Clock, sentAt: answered.sentAt, receivedAt: now}
	continuous := k.continues(answered.request.Term, reply)
	if !continuous {
		k.previous = reply.PreviousTerm
	}
	k.held = answered.request.Term
	if !answered.extends || answered.request.Incarnation != reply.Incarnation {
		k.loseSlots(continuous)
		k.nextAt = k.soon(now, answered, reply)
		return changed
	}
	if reply.GrantsVersion != answered.request.GrantsVersion {
		// The target dropped the grants; they are sent again with the next renewal.
		k.nextAt = now
		return changed
	}
	return k.extend(now, answered, continuous) || changed
}

// soon returns when to renew after an answer that did not extend the lease: at once if that was the first reading of
// the incarnation, so that the target serves as early as possible.
func (k *Keeper) soon(now model.Instant, answered call, reply target.RenewReply) model.Instant {
	if answered.request.Incarnation != reply.Incarnation || answered.isFirstReading {
		return now
	}
	return answered.sentAt.Add(RenewInterval)
}

// notice keeps the reply and reports whether the target's condition changed.
func (k *Keeper) notice(reply target.RenewReply) bool {
	changed := k.reply.Cold != reply.Cold || k.reply.Draining != reply.Draining || k.reply.Load != reply.Load
	k.reply = reply
	return changed
}

// restart notes a new incarnation of the target, which has no lease and no memory.
func (k *Keeper) restart(now model.Instant, incarnation model.Incarnation) {
	k.incarnation = incarnation
	k.firstSeen = now
	k.latest = nil
	k.localEnd = 0
	k.version = 0
	k.held = model.Term{}
	k.slots = map[model.Slot]slotHold{}
}

func (k *Keeper) refuse(term model.Term) {
	k.refused = term
	k.held = model.Term{}
	k.claimed = model.Term{}
	k.localEnd = 0
	k.slots = map[model.Slot]slotHold{}
}

// continues reports whether no other lessor acted for the target since this process's last accepted renewal: the term is
// still the same, or this process's last term is the one before it.
func (k *Keeper) continues(accepted model.Term, reply target.RenewReply) bool {
	if k.held == (model.Term{}) {
		return false
	}
	return accepted == k.held || reply.PreviousTerm == k.held
}

func (k *Keeper) loseSlots(continuous bool) {
	if !continuous {
		k.slots = map[model.Slot]slotHold{}
	}
}

// extend notes a renewed lease. It reports whether the set of held slots changed or the lease is held again.
func (k *Keeper) extend(now model.Instant, answered call, continuous bool) bool {
	wasHeld := k.localEnd > now
	k.localEnd = answered.basis.holdsUntil()
	isHeld := k.localEnd > now
	if !isHeld {
		// The reading was too old, from before another lessor acted. The present answer is a new one.
		k.nextAt = now
	}
	k.validUntil = answered.basis.validUntil()
	k.version = answered.request.GrantsVersion
	revoked := make(map[model.Slot]bool, len(k.reply.Revoked))
	for _, slot := range k.reply.Revoked {
		revoked[slot] = true
	}
	slots := make(map[model.Slot]slotHold, len(answered.grantsSent))
	changed := wasHeld != isHeld
	for _, grant := range answered.grantsSent {
		if revoked[grant.Slot] {
			continue
		}
		hold, known := k.slots[grant.Slot]
		if !continuous || !known || hold.fence != grant.Fence {
			hold = slotHold{fence: grant.Fence, since: now, previous: k.previous}
			changed = true
		}
		slots[grant.Slot] = hold
	}
	changed = changed || len(slots) != len(k.slots)
	k.previous = model.Term{}
	k.slots = slots
	return changed
}

// HandleFailure takes the failure of a renewal, whose outcome is unknown.
func (k *Keeper) HandleFailure(now model.Instant, sequence uint64) {
	if k.inflight == nil || k.inflight.sequence != sequence {
		return
	}
	k.inflight = nil
	k.failures++
	k.nextAt = now.Add(RetryInterval)
}

// RenewNow makes the next renewal due now, for instance because the grants changed.
func (k *Keeper) RenewNow(now model.Instant) { k.nextAt = min(k.nextAt, now) }

// Stop keeps the lease from being renewed until Resume. Renewals go on as readings of the clock, which extend nothing.
func (k *Keeper) Stop() { k.stopped = true }

// Resume ends the effect of Stop.
func (k *Keeper) Resume() { k.stopped = false }

// IsStopped reports whether Stop is in effect.
func (k *Keeper) IsStopped() bool { return k.stopped }

// EndsBy returns when every lease that this process renewed has run out.
func (k *Keeper) EndsBy() model.Instant { return k.endsBy }

// Remaining returns the longest time for which a lease renewed by this process may still be valid.
func (k *Keeper) Remaining(now model.Instant) time.Duration { return max(0, k.endsBy.Sub(now)) }

// Failures returns the number of failed renewals since the last answer.
func (k *Keeper) Failures() int { return k.failures }

// RespondedWithin reports whether the target answered during the last span.
func (k *Keeper) RespondedWithin(now model.Instant, span time.Duration) bool {
	return k.incarnation != 0 && now.Sub(k.answeredAt) <= span
}

// Incarnation returns the incarnation that answered last, and when it was first seen; 0 if none has.
func (k *Keeper) Incarnation() (model.Incarnation, model.Instant) { return k.incarnation, k.firstSeen }

// Reply returns the target's last answer.
func (k *Keeper) Reply() target.RenewReply { return k.reply }

// IsRefused reports whether the target has accepted a lessor with a higher term than the given one.
func (k *Keeper) IsRefused(term model.Term) bool { return term.Less(k.refused) }

// Holding describes a valid lease.
type Holding struct {
	Term        model.Term
	Incarnation model.Incarnation
	ValidUntil  model.Instant
	LocalEnd    model.Instant
	Version     uint64
	Slots       map[model.Slot]Held
}

// Held is a slot under a valid lease.
type Held struct {
	Fence model.Fence
	Since model.Instant
	// Previous is the term that the target held before this process became the lessor; zero if unknown.
	Previous model.Term
}

// Holding returns the lease that this process keeps, if it is surely valid now.
func (k *Keeper) Holding(now model.Instant) (Holding, bool) {
	if k.localEnd <= now {
		return Holding{}, false
	}
	holding := Holding{
		Term:        k.held,
		Incarnation: k.incarnation,
		ValidUntil:  k.validUntil,
		LocalEnd:    k.localEnd,
		Version:     k.version,
		Slots:       make(map[model.Slot]Held, len(k.slots)),
	}
	for slot, hold := range k.slots {
		holding.Slots[slot] = Held{Fence: hold.fence, Since: hold.since, Previous: hold.previous}
	}
	return holding, true
}

// Refused returns the highest term that the target named when it refused this process.
func (k *Keeper) Refused() model.Term { return k.refused }

// Claimed returns the highest term that this process sent and that the target has not refused since.
func (k *Keeper) Claimed() model.Term { return k.claimed }
