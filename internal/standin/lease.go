package standin

import (
	"net/http"
	"strconv"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/target"
)

// lease is a target's view of its lease and its granted slots. It is reset when the target restarts.
type lease struct {
	term model.Term
	// previous is the term before the current one.
	previous   model.Term
	validUntil model.Instant
	version    uint64
	grants     map[string]target.Grant
	// revoked holds the highest revoked fence of each slot; a new grant of the slot needs a higher fence.
	revoked map[string]model.Fence
	// skippedSlots lists the slots whose grants in the last renewal were skipped because they are revoked.
	skippedSlots []model.Slot
}

func newLease() lease {
	return lease{grants: map[string]target.Grant{}, revoked: map[string]model.Fence{}}
}

// owns reports whether the lease permits a request with this slot, fence and key hash to run at now.
func (l *lease) owns(slot, fence, keyHash string, now model.Instant) bool {
	grant, granted := l.grants[slot]
	if !granted || now >= l.validUntil || fence != strconv.FormatUint(uint64(grant.Fence), 10) {
		return false
	}
	hash, err := strconv.ParseUint(keyHash, 16, 64)
	if err != nil {
		return false
	}
	// The grant of a hash slot does not cover a key whose own slot was revoked after a split.
	if _, revoked := l.revoked[splitSlotName(slot, keyHash)]; revoked {
		return false
	}
	for _, excluded := range grant.Excluded {
		if excluded == hash {
			return false
		}
	}
	return true
}

// replaceGrants replaces the grants with those of a renewal. A grant whose fence is revoked or lower than the current
// one comes from a delayed message: the former is skipped, and the latter leaves the current grant in place.
func (l *lease) replaceGrants(request target.RenewRequest) {
	grants := make(map[string]target.Grant, len(request.Grants))
	l.skippedSlots = nil
	for _, grant := range request.Grants {
		slot := grant.Slot.String()
		current, granted := l.grants[slot]
		if revoked, found := l.revoked[slot]; found && grant.Fence <= revoked {
			l.skippedSlots = append(l.skippedSlots, grant.Slot)
			continue
		}
		if granted && grant.Fence < current.Fence {
			grant = current
		}
		grants[slot] = grant
	}
	for slot, dropped := range l.grants {
		// A dropped slot may be granted again under the same fence, so only lower fences are revoked.
		if _, kept := grants[slot]; !kept && dropped.Fence > 0 {
			l.revoked[slot] = max(l.revoked[slot], dropped.Fence-1)
		}
	}
	l.grants, l.version = grants, request.GrantsVersion
}

func (l *lease) revoke(slot string, fence model.Fence) {
	l.revoked[slot] = max(l.revoked[slot], fence)
	if grant, granted := l.grants[slot]; granted && grant.Fence <= fence {
		delete(l.grants, slot)
	}
}

// splitSlotName returns the name of the slot that was split off a hash slot and holds only the key with the given hash.
func splitSlotName(slot, keyHash string) string { return slot + "/" + keyHash }

// setTerm stores an accepted term and keeps the previous one.
func (l *lease) setTerm(term model.Term) {
	if term != l.term {
		l.previous = l.term
		l.term = term
	}
}

// acceptsTerm reports whether a command with the term is accepted. The caller holds the mutex.
func (t *Target) acceptsTerm(term model.Term) bool {
	return t.options.Unchecked || !term.Less(t.lease.term)
}

func (t *Target) renew(w http.ResponseWriter, r *http.Request) {
	var request target.RenewRequest
	if !readJSON(w, r, &request) {
		return
	}
	response := t.applyRenewal(request)
	t.waitWhileFrozen(r)
	writeJSON(w, http.StatusOK, response)
}

func (t *Target) applyRenewal(request target.RenewRequest) target.RenewResponse {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	now := t.now()
	response := target.RenewResponse{Accepted: t.acceptsTerm(request.Term)}
	if response.Accepted {
		t.lease.setTerm(request.Term)
		// A renewal that arrives late or is addressed to an earlier incarnation must not extend the lease.
		// Nor must one that neither contains grants nor refers to the current version of them, because the lease
		// would then extend grants that the lessor did not list.
		grantsListed := request.HasGrants || request.GrantsVersion == t.lease.version
		if request.Incarnation == t.incarnation && request.ValidUntil > now && grantsListed {
			t.lease.validUntil = max(t.lease.validUntil, request.ValidUntil)
			if request.HasGrants {
				t.lease.replaceGrants(request)
			}
		}
	}
	t.concurrencyLimit() // ends the cold start if the ramp is complete
	response.Term = t.lease.term
	response.PreviousTerm = t.lease.previous
	response.Incarnation = t.incarnation
	response.Clock = now
	response.GrantsVersion = t.lease.version
	response.Revoked = t.lease.skippedSlots
	response.Cold = t.cold
	response.Draining = t.drain
	response.Load = t.reportedLoad()
	return response
}

func (t *Target) revoke(w http.ResponseWriter, r *http.Request) {
	var request target.RevokeRequest
	if !readJSON(w, r, &request) {
		return
	}
	response := t.applyRevocation(request)
	t.waitWhileFrozen(r)
	writeJSON(w, http.StatusOK, response)
}

func (t *Target) applyRevocation(request target.RevokeRequest) target.RevokeResponse {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	response := target.RevokeResponse{Accepted: t.acceptsTerm(request.Term), Incarnation: t.incarnation}
	if response.Accepted {
		t.lease.setTerm(request.Term)
		for _, revoked := range request.Slots {
			t.lease.revoke(revoked.Slot.String(), revoked.Fence)
			response.Running += t.runningInSlot(revoked.Slot.String())
		}
	}
	response.Term = t.lease.term
	return response
}

// runningInSlot returns the number of running requests of a slot. The caller holds the mutex.
func (t *Target) runningInSlot(slot string) int {
	count := 0
	for current := range t.attempts {
		if current.run != nil && current.run.Slot == slot {
			count++
		}
	}
	return count
}
