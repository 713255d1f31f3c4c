package proof

import (
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/target"
)

// fakeTarget is a target that checks fences and terms, written from the protocol's description alone.
type fakeTarget struct {
	world       *world
	id          model.TargetID
	zone        string
	incarnation model.Incarnation
	alive       bool
	frozen      bool
	// rate is the rate of the target's clock against virtual time.
	rate float64
	boot time.Duration
	term model.Term
	// previous is the term before the present one.
	previous model.Term
	lease    model.Instant
	// granted maps slots to fences; refused maps slots to the highest revoked fence.
	granted  map[model.Slot]model.Fence
	excluded map[model.Slot]map[uint64]bool
	refused  map[model.Slot]model.Fence
	version  uint64
	inbox    []func()
	cold     bool
	// coldSince is when the target last started or turned cold.
	coldSince time.Duration
	draining  bool
	// unchecked targets obey every lessor and ignore terms and fences.
	unchecked bool
	// gone is true once the target's VM is lost. Its ID never comes back.
	gone bool
}

func (t *fakeTarget) start() {
	t.incarnation++
	t.alive = true
	t.frozen = false
	t.boot = t.world.now
	t.term = model.Term{}
	t.previous = model.Term{}
	t.lease = 0
	t.granted = map[model.Slot]model.Fence{}
	t.excluded = map[model.Slot]map[uint64]bool{}
	t.refused = map[model.Slot]model.Fence{}
	t.version = 0
	t.inbox = nil
	t.draining = false
	t.coldSince = t.world.now
	t.world.touched = true
}

func (t *fakeTarget) clock() model.Instant {
	return model.Instant(float64(t.world.now-t.boot)*t.rate) + model.Instant(time.Second)
}

// receive runs a call now, or when the target thaws.
func (t *fakeTarget) receive(call func()) {
	switch {
	case !t.alive:
	case t.frozen:
		t.inbox = append(t.inbox, call)
	default:
		call()
	}
}

func (t *fakeTarget) thaw() {
	t.frozen = false
	t.world.touched = true
	calls := t.inbox
	t.inbox = nil
	for _, call := range calls {
		call()
	}
}

// raise takes a term and keeps the one before it.
func (t *fakeTarget) raise(term model.Term) {
	if term != t.term {
		t.previous = t.term
		t.term = term
	}
}

func (t *fakeTarget) renew(r target.RenewRequest) target.RenewReply {
	reply := target.RenewReply{Incarnation: t.incarnation, Clock: t.clock(), Cold: t.cold, Draining: t.draining}
	t.world.touched = true
	if r.Term.Less(t.term) && !t.unchecked {
		reply.Term = t.term
		reply.GrantsVersion = t.version
		return reply
	}
	t.raise(r.Term)
	reply.Accepted = true
	reply.Term = r.Term
	reply.PreviousTerm = t.previous
	if r.Incarnation == t.incarnation && r.ValidUntil > 0 && (r.HasGrants || r.GrantsVersion == t.version) {
		if r.HasGrants {
			t.take(r)
		}
		t.lease = max(t.lease, r.ValidUntil)
	}
	reply.GrantsVersion = t.version
	for slot, fence := range t.granted {
		if t.isRevoked(slot, fence) {
			reply.Revoked = append(reply.Revoked, slot)
		}
	}
	return reply
}

func (t *fakeTarget) take(r target.RenewRequest) {
	t.granted = map[model.Slot]model.Fence{}
	t.excluded = map[model.Slot]map[uint64]bool{}
	for _, grant := range r.Grants {
		t.granted[grant.Slot] = grant.Fence
		t.excluded[grant.Slot] = map[uint64]bool{}
		for _, hash := range grant.Excluded {
			t.excluded[grant.Slot][hash] = true
		}
	}
	t.version = r.GrantsVersion
}

func (t *fakeTarget) isRevoked(slot model.Slot, fence model.Fence) bool {
	revoked, ok := t.refused[slot]
	return ok && fence <= revoked
}

func (t *fakeTarget) revoke(r target.RevokeRequest) target.RevokeReply {
	reply := target.RevokeReply{Term: t.term, Incarnation: t.incarnation}
	t.world.touched = true
	if r.Term.Less(t.term) && !t.unchecked {
		return reply
	}
	t.raise(r.Term)
	reply.Term = r.Term
	reply.Accepted = true
	for _, revoked := range r.Slots {
		t.refused[revoked.Slot] = max(t.refused[revoked.Slot], revoked.Fence)
	}
	return reply
}

// serves reports whether the target would run a request for the key now.
func (t *fakeTarget) serves(parent model.Slot, hash uint64) bool {
	if !t.alive || t.frozen || t.clock() >= t.lease {
		return false
	}
	split := parent.Split(hash)
	if fence, ok := t.granted[split]; ok {
		return !t.isRevoked(split, fence)
	}
	if _, revoked := t.refused[split]; revoked {
		return false
	}
	fence, ok := t.granted[parent]
	return ok && !t.isRevoked(parent, fence) && !t.excluded[parent][hash]
}
