package proof

import (
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/target"
)

// fakeTarget is a target that checks fences and terms. It is implemented from the description of the protocol alone.
type fakeTarget struct {
	world       *world
	id          model.TargetID
	zone        string
	incarnation model.Incarnation
	alive       bool
	frozen      bool
	// rate is the rate of the target's clock relative to virtual time.
	rate      float64
	startedAt time.Duration
	term      model.Term
	// previousTerm is the term before term.
	previousTerm model.Term
	leaseUntil   model.Instant
	// granted maps slots to fences; revoked maps slots to the highest revoked fence.
	granted map[model.Slot]model.Fence
	// excluded maps slots to the key hashes that their grants exclude.
	excluded      map[model.Slot]map[uint64]bool
	revoked       map[model.Slot]model.Fence
	grantsVersion uint64
	// pendingCalls holds the calls that arrived while the target was frozen.
	pendingCalls []func()
	cold         bool
	// coldSince is when the target last started or became cold.
	coldSince time.Duration
	draining  bool
	// unchecked is true for a target that accepts the commands of every lessor and ignores terms and fences.
	unchecked bool
	// terminated is true once the target's VM has been terminated. Its ID is never used again.
	terminated bool
}

func (t *fakeTarget) start() {
	t.incarnation++
	t.alive = true
	t.frozen = false
	t.startedAt = t.world.now
	t.term = model.Term{}
	t.previousTerm = model.Term{}
	t.leaseUntil = 0
	t.granted = map[model.Slot]model.Fence{}
	t.excluded = map[model.Slot]map[uint64]bool{}
	t.revoked = map[model.Slot]model.Fence{}
	t.grantsVersion = 0
	t.pendingCalls = nil
	t.draining = false
	t.coldSince = t.world.now
	t.world.recheckOwners = true
}

// clock returns the time of the target's clock, which starts at 1 s with each incarnation.
func (t *fakeTarget) clock() model.Instant {
	return model.Instant(float64(t.world.now-t.startedAt)*t.rate) + model.Instant(time.Second)
}

// receive runs a call now, or when the target thaws if it is frozen. A call to a stopped target is dropped.
func (t *fakeTarget) receive(call func()) {
	switch {
	case !t.alive:
	case t.frozen:
		t.pendingCalls = append(t.pendingCalls, call)
	default:
		call()
	}
}

func (t *fakeTarget) thaw() {
	t.frozen = false
	t.world.recheckOwners = true
	calls := t.pendingCalls
	t.pendingCalls = nil
	for _, call := range calls {
		call()
	}
}

// adoptTerm sets a new term and keeps the former one as previousTerm.
func (t *fakeTarget) adoptTerm(term model.Term) {
	if term != t.term {
		t.previousTerm = t.term
		t.term = term
	}
}

func (t *fakeTarget) renew(r target.RenewRequest) target.RenewResponse {
	response := target.RenewResponse{Incarnation: t.incarnation, Clock: t.clock(), Cold: t.cold, Draining: t.draining}
	t.world.recheckOwners = true
	if r.Term.Less(t.term) && !t.unchecked {
		response.Term = t.term
		response.GrantsVersion = t.grantsVersion
		return response
	}
	t.adoptTerm(r.Term)
	response.Accepted = true
	response.Term = r.Term
	response.PreviousTerm = t.previousTerm
	if r.Incarnation == t.incarnation && r.ValidUntil > 0 && (r.HasGrants || r.GrantsVersion == t.grantsVersion) {
		if r.HasGrants {
			t.storeGrants(r)
		}
		t.leaseUntil = max(t.leaseUntil, r.ValidUntil)
	}
	response.GrantsVersion = t.grantsVersion
	for slot, fence := range t.granted {
		if t.isRevoked(slot, fence) {
			response.Revoked = append(response.Revoked, slot)
		}
	}
	return response
}

func (t *fakeTarget) storeGrants(r target.RenewRequest) {
	t.granted = map[model.Slot]model.Fence{}
	t.excluded = map[model.Slot]map[uint64]bool{}
	for _, grant := range r.Grants {
		t.granted[grant.Slot] = grant.Fence
		t.excluded[grant.Slot] = map[uint64]bool{}
		for _, hash := range grant.Excluded {
			t.excluded[grant.Slot][hash] = true
		}
	}
	t.grantsVersion = r.GrantsVersion
}

func (t *fakeTarget) isRevoked(slot model.Slot, fence model.Fence) bool {
	revoked, ok := t.revoked[slot]
	return ok && fence <= revoked
}

func (t *fakeTarget) revoke(r target.RevokeRequest) target.RevokeResponse {
	response := target.RevokeResponse{Term: t.term, Incarnation: t.incarnation}
	t.world.recheckOwners = true
	if r.Term.Less(t.term) && !t.unchecked {
		return response
	}
	t.adoptTerm(r.Term)
	response.Term = r.Term
	response.Accepted = true
	for _, revoked := range r.Slots {
		t.revoked[revoked.Slot] = max(t.revoked[revoked.Slot], revoked.Fence)
	}
	return response
}

// serves reports whether the target would run a request for the key now.
func (t *fakeTarget) serves(parent model.Slot, hash uint64) bool {
	if !t.alive || t.frozen || t.clock() >= t.leaseUntil {
		return false
	}
	split := parent.Split(hash)
	if fence, ok := t.granted[split]; ok {
		return !t.isRevoked(split, fence)
	}
	if _, revoked := t.revoked[split]; revoked {
		return false
	}
	fence, ok := t.granted[parent]
	return ok && !t.isRevoked(parent, fence) && !t.excluded[parent][hash]
}
