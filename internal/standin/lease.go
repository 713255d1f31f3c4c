package standin

import (
	"net/http"
	"strconv"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/target"
)

// lease is what a target knows of its lease and of its slots. It is lost when the target restarts.
type lease struct {
	term model.Term
	// previous is the term before the present one.
	previous model.Term
	until    model.Instant
	version  uint64
	grants   map[string]target.Grant
	// revoked holds the highest fence of each slot that was taken away; a grant must exceed it.
	revoked map[string]model.Fence
	// refused lists the slots of the last grants that were left out because they are revoked.
	refused []model.Slot
}

func newLease() lease {
	return lease{grants: map[string]target.Grant{}, revoked: map[string]model.Fence{}}
}

// owns reports whether a request with this slot, fence and key hash may run at an instant.
func (l *lease) owns(slot, fence, keyHash string, now model.Instant) bool {
	grant, granted := l.grants[slot]
	if !granted || now >= l.until || fence != strconv.FormatUint(uint64(grant.Fence), 10) {
		return false
	}
	hash, err := strconv.ParseUint(keyHash, 16, 64)
	if err != nil {
		return false
	}
	if _, revoked := l.revoked[splitName(slot, keyHash)]; revoked {
		return false
	}
	for _, excluded := range grant.Excluded {
		if excluded == hash {
			return false
		}
	}
	return true
}

// take replaces the grants. Fences that were revoked, or are lower than the present one, are left out, because they
// come from a delayed message.
func (l *lease) take(request target.RenewRequest) {
	grants := make(map[string]target.Grant, len(request.Grants))
	l.refused = nil
	for _, grant := range request.Grants {
		slot := grant.Slot.String()
		present, granted := l.grants[slot]
		if revoked, found := l.revoked[slot]; found && grant.Fence <= revoked {
			l.refused = append(l.refused, grant.Slot)
			continue
		}
		if granted && grant.Fence < present.Fence {
			grant = present
		}
		grants[slot] = grant
	}
	for slot, dropped := range l.grants {
		// A dropped slot may be granted again under the same fence.
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

// splitName is the name of the slot that holds only the key with the given hash.
func splitName(slot, keyHash string) string { return slot + "/" + keyHash }

// raise takes an accepted term.
func (l *lease) raise(term model.Term) {
	if term != l.term {
		l.previous = l.term
		l.term = term
	}
}

// acceptsTerm reports whether a command with the term is obeyed. The mutex is held.
func (t *Target) acceptsTerm(term model.Term) bool {
	return t.options.Unchecked || !term.Less(t.lease.term)
}

func (t *Target) renew(w http.ResponseWriter, r *http.Request) {
	var request target.RenewRequest
	if !readJSON(w, r, &request) {
		return
	}
	reply := t.applyRenewal(request)
	t.waitThawed(r)
	writeJSON(w, http.StatusOK, reply)
}

func (t *Target) applyRenewal(request target.RenewRequest) target.RenewReply {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	now := t.now()
	reply := target.RenewReply{Accepted: t.acceptsTerm(request.Term)}
	if reply.Accepted {
		t.lease.raise(request.Term)
		// A renewal that was held up, or was meant for an older process, extends nothing.
		// A lease must not extend grants that the lessor did not name.
		named := request.HasGrants || request.GrantsVersion == t.lease.version
		if request.Incarnation == t.incarnation && request.ValidUntil > now && named {
			t.lease.until = max(t.lease.until, request.ValidUntil)
			if request.HasGrants {
				t.lease.take(request)
			}
		}
	}
	t.limit()
	reply.Term = t.lease.term
	reply.PreviousTerm = t.lease.previous
	reply.Incarnation = t.incarnation
	reply.Clock = now
	reply.GrantsVersion = t.lease.version
	reply.Revoked = t.lease.refused
	reply.Cold = t.cold
	reply.Draining = t.drain
	reply.Load = t.reportedLoad()
	return reply
}

func (t *Target) revoke(w http.ResponseWriter, r *http.Request) {
	var request target.RevokeRequest
	if !readJSON(w, r, &request) {
		return
	}
	reply := t.applyRevocation(request)
	t.waitThawed(r)
	writeJSON(w, http.StatusOK, reply)
}

func (t *Target) applyRevocation(request target.RevokeRequest) target.RevokeReply {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	reply := target.RevokeReply{Accepted: t.acceptsTerm(request.Term), Incarnation: t.incarnation}
	if reply.Accepted {
		t.lease.raise(request.Term)
		for _, revoked := range request.Slots {
			t.lease.revoke(revoked.Slot.String(), revoked.Fence)
			reply.Running += t.runningFor(revoked.Slot.String())
		}
	}
	reply.Term = t.lease.term
	return reply
}

// runningFor counts the running requests of a slot. The mutex is held.
func (t *Target) runningFor(slot string) int {
	count := 0
	for held := range t.attempts {
		if held.run != nil && held.run.Slot == slot {
			count++
		}
	}
	return count
}
