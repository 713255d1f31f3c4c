package lease

import (
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/target"
)

// Directive is the current instruction to a keeper.
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

// Call is a renewal to send. Its outcome is passed to HandleResponse or HandleFailure with the same sequence number.
type Call struct {
	Sequence uint64
	Request  target.RenewRequest
	// Fresh requests a new connection, because the last call failed and its connection may be unresponsive.
	Fresh bool
}

// call is a renewal in flight.
type call struct {
	sequence uint64
	sentAt   model.Instant
	request  target.RenewRequest
	// basis is the reading on which the new end of the lease is based. It is only valid if extends is set.
	basis reading
	// extends is true if the renewal extends the lease.
	extends    bool
	grantsSent []target.Grant
	// isFirstReading is true if the renewal only read the clock because there was no usable reading.
	isFirstReading bool
}

// Keeper is the lessor's state for one target. It is not safe for concurrent use.
type Keeper struct {
	vm       model.VMID
	sequence uint64
	inFlight *call
	nextAt   model.Instant
	failures int
	// latest is the newest reading of the clock of incarnation; nil before the first response.
	latest      *reading
	incarnation model.Incarnation
	// firstSeen is when the incarnation first responded.
	firstSeen   model.Instant
	respondedAt model.Instant
	response    target.RenewResponse
	// heldTerm is the term that the target last accepted from this process.
	heldTerm model.Term
	// claimedTerm is the highest term that this process sent and that the target has not refused. The target may have
	// accepted it even if no response arrived.
	claimedTerm model.Term
	// refusedTerm is the higher term that the target returned when it refused this process.
	refusedTerm model.Term
	// endsBy is when every lease renewed by this process has expired.
	endsBy model.Instant
	// localEnd is the time on this process's clock until which the lease is guaranteed to be valid.
	localEnd model.Instant
	// validUntil is the end of the lease on the target's clock.
	validUntil model.Instant
	// version identifies the grants that the target holds under the lease.
	version uint64
	slots   map[model.Slot]slotHold
	stopped bool
	// previousTerm is the term that the target held before this process became its lessor; zero if unknown. It applies
	// only to the slots of the next extension.
	previousTerm model.Term
}

// slotHold is a slot that the target holds under a renewal of this process.
type slotHold struct {
	fence    model.Fence
	since    model.Instant
	previous model.Term
}

// NewKeeper returns a keeper that has no information about its target yet.
func NewKeeper(vm model.VMID) *Keeper {
	return &Keeper{vm: vm, slots: map[model.Slot]slotHold{}}
}

// Next returns the renewal to send now, if any.
func (k *Keeper) Next(now model.Instant, directive Directive) (Call, bool) {
	if !directive.Active || k.inFlight != nil || now < k.nextAt || directive.Term.Less(k.refusedTerm) {
		return Call{}, false
	}
	k.sequence++
	started := &call{sequence: k.sequence, sentAt: now, request: k.request(now, directive)}
	if started.request.ValidUntil > 0 {
		started.extends = true
		started.basis = *k.latest
		started.grantsSent = directive.Grants
		k.endsBy = max(k.endsBy, k.latest.expiredBy())
	}
	started.isFirstReading = !k.hasReading(now)
	k.inFlight = started
	k.claimedTerm = directive.Term
	return Call{Sequence: k.sequence, Request: started.request, Fresh: k.failures > 0}, true
}

// hasReading reports whether there is a reading of the clock on which a valid lease can still be based.
func (k *Keeper) hasReading(now model.Instant) bool {
	return k.latest != nil && now < k.latest.guaranteedUntil()
}

// request returns the renewal for the directive. The renewal only reads the clock while the registered incarnation has
// no reading on which a valid lease can still be based, and while the keeper is stopped.
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
	if k.response.GrantsVersion != directive.Version {
		request.HasGrants = true
		request.Grants = directive.Grants
	}
	return request
}

// HandleResponse handles the response to a renewal. It reports whether the keeper's view of the target changed in a way
// that must be announced to other VMs at once.
func (k *Keeper) HandleResponse(now model.Instant, sequence uint64, response target.RenewResponse) bool {
	if k.inFlight == nil || k.inFlight.sequence != sequence {
		return false
	}
	completed := *k.inFlight
	k.inFlight = nil
	k.failures = 0
	k.respondedAt = now
	changed := k.storeResponse(response)
	k.nextAt = completed.sentAt.Add(RenewInterval)
	if response.Incarnation != k.incarnation {
		k.resetIncarnation(now, response.Incarnation)
		changed = true
	}
	if !response.Accepted {
		k.recordRefusal(response.Term)
		return true
	}
	k.latest = &reading{clock: response.Clock, sentAt: completed.sentAt, receivedAt: now}
	continuous := k.isContinuous(completed.request.Term, response)
	if !continuous {
		k.previousTerm = response.PreviousTerm
	}
	k.heldTerm = completed.request.Term
	if !completed.extends || completed.request.Incarnation != response.Incarnation {
		k.dropSlotsUnless(continuous)
		k.nextAt = k.nextRenewal(now, completed, response)
		return changed
	}
	if response.GrantsVersion != completed.request.GrantsVersion {
		// The target dropped the grants; the next renewal sends them again.
		k.nextAt = now
		return changed
	}
	return k.extend(now, completed, continuous) || changed
}

// nextRenewal returns when to renew after a response that did not extend the lease: at once if it was the first reading
// of the incarnation, so that the target serves as early as possible.
func (k *Keeper) nextRenewal(now model.Instant, completed call, response target.RenewResponse) model.Instant {
	if completed.request.Incarnation != response.Incarnation || completed.isFirstReading {
		return now
	}
	return completed.sentAt.Add(RenewInterval)
}

// storeResponse stores the response and reports whether the target's cold start, draining or load changed.
func (k *Keeper) storeResponse(response target.RenewResponse) bool {
	changed := k.response.Cold != response.Cold || k.response.Draining != response.Draining || k.response.Load != response.Load
	k.response = response
	return changed
}

// resetIncarnation resets the state for a new incarnation of the target, which has no lease and no state of earlier
// ones.
func (k *Keeper) resetIncarnation(now model.Instant, incarnation model.Incarnation) {
	k.incarnation = incarnation
	k.firstSeen = now
	k.latest = nil
	k.localEnd = 0
	k.version = 0
	k.heldTerm = model.Term{}
	k.slots = map[model.Slot]slotHold{}
}

func (k *Keeper) recordRefusal(term model.Term) {
	k.refusedTerm = term
	k.heldTerm = model.Term{}
	k.claimedTerm = model.Term{}
	k.localEnd = 0
	k.slots = map[model.Slot]slotHold{}
}

// isContinuous reports whether no other lessor has acted for the target since this process's last accepted renewal: the
// term is still the same, or this process's last term is the one before it.
func (k *Keeper) isContinuous(accepted model.Term, response target.RenewResponse) bool {
	if k.heldTerm == (model.Term{}) {
		return false
	}
	return accepted == k.heldTerm || response.PreviousTerm == k.heldTerm
}

func (k *Keeper) dropSlotsUnless(continuous bool) {
	if !continuous {
		k.slots = map[model.Slot]slotHold{}
	}
}

// extend records a renewed lease. It reports whether the set of held slots changed or the lease is held again.
func (k *Keeper) extend(now model.Instant, completed call, continuous bool) bool {
	wasHeld := k.localEnd > now
	k.localEnd = completed.basis.guaranteedUntil()
	isHeld := k.localEnd > now
	if !isHeld {
		// The reading was taken before another lessor acted and is too old; this response is a new reading.
		k.nextAt = now
	}
	k.validUntil = completed.basis.validUntil()
	k.version = completed.request.GrantsVersion
	revoked := make(map[model.Slot]bool, len(k.response.Revoked))
	for _, slot := range k.response.Revoked {
		revoked[slot] = true
	}
	slots := make(map[model.Slot]slotHold, len(completed.grantsSent))
	changed := wasHeld != isHeld
	for _, grant := range completed.grantsSent {
		if revoked[grant.Slot] {
			continue
		}
		hold, known := k.slots[grant.Slot]
		if !continuous || !known || hold.fence != grant.Fence {
			hold = slotHold{fence: grant.Fence, since: now, previous: k.previousTerm}
			changed = true
		}
		slots[grant.Slot] = hold
	}
	changed = changed || len(slots) != len(k.slots)
	k.previousTerm = model.Term{}
	k.slots = slots
	return changed
}

// HandleFailure handles a failed renewal, whose outcome is unknown.
func (k *Keeper) HandleFailure(now model.Instant, sequence uint64) {
	if k.inFlight == nil || k.inFlight.sequence != sequence {
		return
	}
	k.inFlight = nil
	k.failures++
	k.nextAt = now.Add(RetryInterval)
}

// RenewNow makes the next renewal due now, for instance because the grants changed.
func (k *Keeper) RenewNow(now model.Instant) { k.nextAt = min(k.nextAt, now) }

// Stop prevents the lease from being extended until Resume. Renewals that only read the clock continue.
func (k *Keeper) Stop() { k.stopped = true }

// Resume ends the effect of Stop.
func (k *Keeper) Resume() { k.stopped = false }

// IsStopped reports whether Stop is in effect.
func (k *Keeper) IsStopped() bool { return k.stopped }

// EndsBy returns when every lease that this process renewed has expired.
func (k *Keeper) EndsBy() model.Instant { return k.endsBy }

// Remaining returns the longest time for which a lease renewed by this process may still be valid.
func (k *Keeper) Remaining(now model.Instant) time.Duration { return max(0, k.endsBy.Sub(now)) }

// Failures returns the number of failed renewals since the last response.
func (k *Keeper) Failures() int { return k.failures }

// RespondedWithin reports whether the target responded during the last span.
func (k *Keeper) RespondedWithin(now model.Instant, span time.Duration) bool {
	return k.incarnation != 0 && now.Sub(k.respondedAt) <= span
}

// Incarnation returns the incarnation that responded last, and when it first responded; 0 if none has.
func (k *Keeper) Incarnation() (model.Incarnation, model.Instant) { return k.incarnation, k.firstSeen }

// Response returns the target's last response.
func (k *Keeper) Response() target.RenewResponse { return k.response }

// IsRefused reports whether the target has accepted a lessor with a higher term than the given one.
func (k *Keeper) IsRefused(term model.Term) bool { return term.Less(k.refusedTerm) }

// Holding describes a valid lease.
type Holding struct {
	Term        model.Term
	Incarnation model.Incarnation
	// ValidUntil is the end of the lease on the target's clock.
	ValidUntil model.Instant
	// LocalEnd is the time on this process's clock until which the lease is guaranteed to be valid.
	LocalEnd model.Instant
	// Version identifies the grants that the target holds.
	Version uint64
	Slots   map[model.Slot]Held
}

// Held is a slot under a valid lease.
type Held struct {
	Fence model.Fence
	// Since is the time since which this process has certainly been the only sender for the slot.
	Since model.Instant
	// Previous is the term that the target held before this process became the lessor; zero if unknown.
	Previous model.Term
}

// Holding returns the lease that this process maintains, if it is guaranteed to be valid now.
func (k *Keeper) Holding(now model.Instant) (Holding, bool) {
	if k.localEnd <= now {
		return Holding{}, false
	}
	holding := Holding{
		Term:        k.heldTerm,
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

// Refused returns the highest term that the target returned when it refused this process.
func (k *Keeper) Refused() model.Term { return k.refusedTerm }

// Claimed returns the highest term that this process sent and that the target has not refused since.
func (k *Keeper) Claimed() model.Term { return k.claimedTerm }
