package gateway

import (
	"sync"
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/fleet"
	"github.com/tarragonpoint/tarragonpoint/internal/hub"
	"github.com/tarragonpoint/tarragonpoint/internal/keyspace"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

const (
	// unheldRetryDelay is how long requests for an owner wait after it has stated that it does not hold a key, and the time
	// between two requests that find out whether it does. The leader grants missing keys within one renewal interval.
	unheldRetryDelay = 250 * time.Millisecond
	// linkTime is how long a VM that starts takes to connect to a leader that is alive.
	linkTime = hub.ReportInterval + 100*time.Millisecond
	// takeoverTime is how long a VM that starts takes to see the table of a new leader if the former one is lost: the time
	// until the leader counts as absent, one call to the election group, and the write of the claim.
	takeoverTime = leaderAbsentGrace + membershipInterval + 200*time.Millisecond
	// unconfirmedLimit is the time after which a VM without a leader's confirmation asks owners, with one request at a time: it
	// may be the only one that is cut off from the leader. All VMs that are not cut off have a leader by then, also if
	// that had to wait for leaderConnectGrace.
	unconfirmedLimit = leaderConnectGrace + 1500*time.Millisecond
	// typicalGrant and typicalMove are the times until a range is ready without and with a previous holder, before any has been
	// measured.
	typicalGrant = 300 * time.Millisecond
	typicalMove  = 600 * time.Millisecond
	// minOwnerWait and maxOwnerWait bound the expected time until a key has an owner. The upper one is the time in which a leader
	// moves the keys of an owner that does not respond: a hold of 3.2 s on a clock that is 2 % slow, the margin of 0.2 s and the
	// next write.
	minOwnerWait = 50 * time.Millisecond
	maxOwnerWait = 3700 * time.Millisecond
)

// Reasons for which a request waits for the owner of its key.
const (
	waitMoving      = "keys are being moved"
	waitGranting    = "owner has not been granted its keys yet"
	waitUnheld      = "owner does not hold its keys yet"
	waitUnconfirmed = "no leader has confirmed the owners"
	waitLeaving     = "owner is leaving or was removed"
	waitUnreachable = "owner is unreachable"
	waitCold        = "owner is cold"
)

// ownerWait states why a request waits for the owner of its key, how long that is expected to take, and how long it takes at
// least.
type ownerWait struct {
	reason          string
	expected, least time.Duration
}

// holdEvidence is what one VM knows about which owners hold their keys. A table from the store does not tell: the holds of its
// ranges may have run out since it was written, and every request for a key that its owner does not hold would use up the retry
// budget. It has no clock, and is safe for concurrent use.
type holdEvidence struct {
	// ttl is for how long after a leader was alive owners may hold keys under its grants; hold is the length of a hold and
	// renewal the time between two renewals.
	ttl, hold, renewal time.Duration

	mu sync.Mutex
	// knownAt is when this VM first had a table; 0 before.
	knownAt model.Instant
	// heardAt is an instant at which the leader of the known table was alive; 0 if there is no such evidence since this
	// process started.
	heardAt model.Instant
	// lapsedAt is when an owner stated that it does not hold its keys although no leader was heard; 0 if there is evidence
	// since. askAt is when the next request may find out whether an owner holds its keys.
	lapsedAt, askAt model.Instant
	owners          map[fleet.Incarnation]*ownerEvidence
	// kept holds the ranges that a leader claimed as not ready although this VM knows that their owners hold them under grants
	// of the former leader, and until when. That leader had started after the former one was lost.
	kept map[rangeVersion]model.Instant
	// unreadySince is when this VM first saw each range that is not ready.
	unreadySince map[rangeVersion]model.Instant
	// grants and moves are moving averages of the time until ranges are ready, without and with a previous holder.
	grants, moves time.Duration
}

// ownerEvidence is what is known about one owner.
type ownerEvidence struct {
	// servedAt is when a request for a key of the owner last ran; 0 if none did.
	servedAt model.Instant
	// unheldFence is the highest fence of the owner's ranges when it stated that it does not hold a key; 0 if it did not, or has
	// served since. Ranges with a later fence have been granted since.
	unheldFence uint64
	// askAt is when the next request may find out whether the owner holds its keys, while unheldFence is not 0.
	askAt model.Instant
}

// rangeVersion identifies a range under one fence.
type rangeVersion struct {
	service model.Service
	from    int
	fence   uint64
}

func versionOf(r *keyspace.Range) rangeVersion {
	return rangeVersion{service: r.Service, from: r.From, fence: r.Fence}
}

func newHoldEvidence(settings keyspace.Settings) *holdEvidence {
	return &holdEvidence{
		ttl: settings.LeadershipTimeout + settings.Hold, hold: settings.Hold, renewal: settings.RenewEvery,
		owners: map[fleet.Incarnation]*ownerEvidence{}, kept: map[rangeVersion]model.Instant{},
		unreadySince: map[rangeVersion]model.Instant{}, grants: typicalGrant, moves: typicalMove,
	}
}

// tableSet records a table that replaces the former one, which may be nil. writtenAfter is an instant before which the table was
// not written, or 0: a table that may be older than this process is no evidence.
func (h *holdEvidence) tableSet(now model.Instant, former, table *keyspace.Table, writtenAfter model.Instant) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.knownAt == 0 && table.Leader != "" {
		h.knownAt = now
	}
	kept := h.keep(now, former, table)
	h.extend(writtenAfter)
	unreadySince := map[rangeVersion]model.Instant{}
	owners := map[fleet.Incarnation]*ownerEvidence{}
	for i := range table.Ranges {
		r := &table.Ranges[i]
		if evidence := h.owners[r.Owner.Incarnation]; evidence != nil {
			owners[r.Owner.Incarnation] = evidence
		}
		since, waited := h.unreadySince[versionOf(r)]
		switch {
		case !r.Ready && waited:
			unreadySince[versionOf(r)] = since
		case !r.Ready:
			unreadySince[versionOf(r)] = now
		case waited:
			h.measure(now.Sub(since), former.Find(r.Service, r.From))
		}
	}
	h.kept, h.unreadySince, h.owners = kept, unreadySince, owners
}

// keep returns the ranges of a table that are not ready, but whose owners hold them under grants of the former leader. The new
// leader grants them to the same owners, so they have no other holder before it writes another table.
func (h *holdEvidence) keep(now model.Instant, former, table *keyspace.Table) map[rangeVersion]model.Instant {
	kept := map[rangeVersion]model.Instant{}
	for i := range table.Ranges {
		r := &table.Ranges[i]
		if r.Ready || len(r.Previous) > 0 || former == nil {
			continue
		}
		if until, found := h.kept[versionOf(r)]; found {
			kept[versionOf(r)] = until
			continue
		}
		last := former.Find(r.Service, r.From)
		until := h.heardAt.Add(h.hold - h.renewal)
		if h.heardAt != 0 && now < until && last != nil && last.Ready && last.Owner == r.Owner && last.From == r.From && last.To == r.To {
			kept[versionOf(r)] = until
		}
	}
	return kept
}

// measure adds the time that a range took to be ready to the moving averages.
func (h *holdEvidence) measure(took time.Duration, former *keyspace.Range) {
	const weight = 8
	average := &h.grants
	if former != nil && len(former.Previous) > 0 {
		average = &h.moves
	}
	*average += (min(took, maxOwnerWait) - *average) / weight
}

// leaderHeard records an instant at which the leader of the known table was alive. It returns true if that confirms the holds
// after a time without evidence.
func (h *holdEvidence) leaderHeard(now, at model.Instant) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	before := h.isLapsed(now)
	h.extend(at)
	return before && !h.isLapsed(now)
}

// extend records an instant at which the leader was alive. After a time without one it has granted all keys anew, so owners that
// did not hold theirs before do now. The caller must hold the mutex.
func (h *holdEvidence) extend(at model.Instant) {
	if at >= h.lapsedAt && at.Sub(h.heardAt) >= h.hold {
		h.lapsedAt = 0
		for _, evidence := range h.owners {
			evidence.unheldFence = 0
		}
	}
	h.heardAt = max(h.heardAt, at)
}

// isLapsed reports whether this VM has no evidence that a leader renews the holds, so that owners may hold none of the ranges
// that are ready. The caller must hold the mutex.
func (h *holdEvidence) isLapsed(now model.Instant) bool {
	return h.lapsedAt != 0 || h.heardAt == 0 || now.Sub(h.heardAt) >= h.ttl
}

// lapsed reports whether requests with keys wait because no leader is known to renew the holds.
func (h *holdEvidence) lapsed(now model.Instant) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.isLapsed(now)
}

// served records that a request ran that was sent to an owner at an instant. A leader has granted the owner its keys within the
// hold time, so it is evidence for the other owners too.
func (h *holdEvidence) served(now, sentAt model.Instant, owner fleet.Incarnation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	evidence := h.evidence(owner)
	evidence.servedAt, evidence.unheldFence = now, 0
	if sentAt >= h.lapsedAt {
		h.lapsedAt = 0
	}
	h.heardAt = max(h.heardAt, now.Add(-h.hold))
}

// evidence returns the entry of an owner. The caller must hold the mutex.
func (h *holdEvidence) evidence(owner fleet.Incarnation) *ownerEvidence {
	evidence := h.owners[owner]
	if evidence == nil {
		evidence = &ownerEvidence{}
		h.owners[owner] = evidence
	}
	return evidence
}

// unheld records that an owner stated that it does not hold a key, in the response to a request that was sent at an instant. An
// owner that has lost one key, by a restart or because all leaders were lost, has lost all. If no leader was heard within the
// hold time, the other owners may have lost theirs too.
func (h *holdEvidence) unheld(now, sentAt model.Instant, table *keyspace.Table, owner fleet.Incarnation) {
	highest := uint64(0)
	for i := range table.Ranges {
		if r := &table.Ranges[i]; r.Owner.Incarnation == owner {
			highest = max(highest, r.Fence)
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	evidence := h.evidence(owner)
	if evidence.servedAt > sentAt {
		return
	}
	if evidence.unheldFence == 0 && h.lapsedAt == 0 && now.Sub(h.heardAt) >= h.hold {
		h.lapsedAt = now
	}
	evidence.unheldFence, evidence.askAt = highest, now.Add(unheldRetryDelay)
}

// check returns whether a request may be sent to the owner of a range, and otherwise why it waits. r is nil for keys in no range.
func (h *holdEvidence) check(now model.Instant, r *keyspace.Range) (ownerWait, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if r == nil {
		return ownerWait{reason: waitMoving, expected: h.moves}, false
	}
	wait, _, ok := h.decide(now, r)
	return wait, ok
}

// begin is check immediately before a request is sent. A request that finds out whether an owner holds its keys keeps others
// waiting until it succeeds, or for unheldRetryDelay.
func (h *holdEvidence) begin(now model.Instant, r *keyspace.Range) (ownerWait, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	wait, asks, ok := h.decide(now, r)
	if ok && asks {
		h.evidence(r.Owner.Incarnation).askAt = now.Add(unheldRetryDelay)
		if h.isLapsed(now) {
			h.askAt = now.Add(unheldRetryDelay)
		}
	}
	return wait, ok
}

// decide returns whether a request may be sent, and whether it has to find out whether the owner holds its keys: one request of
// this VM at a time does while no owner is known to hold any, and otherwise one for each owner. The caller must hold the mutex.
func (h *holdEvidence) decide(now model.Instant, r *keyspace.Range) (wait ownerWait, asks, ok bool) {
	if !r.Ready && now >= h.kept[versionOf(r)] {
		return h.unready(now, r), false, false
	}
	if h.isLapsed(now) {
		if h.heardAt == 0 && now.Sub(h.knownAt) < unconfirmedLimit || now < h.askAt {
			return h.unconfirmed(now), false, false
		}
		return ownerWait{}, true, true
	}
	evidence := h.owners[r.Owner.Incarnation]
	if evidence == nil || evidence.unheldFence < r.Fence {
		return ownerWait{}, false, true
	}
	if now < evidence.askAt {
		return ownerWait{reason: waitUnheld, expected: max(minOwnerWait, evidence.askAt.Sub(now))}, false, false
	}
	return ownerWait{}, true, true
}

// unready returns the wait for a range that is not ready. A range that takes longer than usual is expected to take as long again,
// but to be ready when the hold of a previous holder that does not respond has ended. Ranges often take half of the usual time,
// so requests wait that could be served then.
func (h *holdEvidence) unready(now model.Instant, r *keyspace.Range) ownerWait {
	wait, usual := ownerWait{reason: waitGranting}, h.grants
	if len(r.Previous) > 0 {
		wait.reason, usual = waitMoving, h.moves
	}
	wait.expected = usual
	switch waited := h.sinceUnready(now, r); {
	case waited < usual:
		wait.expected = usual - waited
	case waited < maxOwnerWait:
		wait.expected = min(waited, maxOwnerWait-waited)
	}
	wait.expected = min(maxOwnerWait, max(minOwnerWait, wait.expected))
	wait.least = min(wait.expected, max(minOwnerWait, usual/2-h.sinceUnready(now, r)))
	return wait
}

// sinceUnready returns for how long this VM has known that a range is not ready. The caller must hold the mutex.
func (h *holdEvidence) sinceUnready(now model.Instant, r *keyspace.Range) time.Duration {
	if since, found := h.unreadySince[versionOf(r)]; found {
		return now.Sub(since)
	}
	return 0
}

// unconfirmed returns the wait for a leader that confirms the owners. After a start it is expected to take as long as a link to a
// leader that is alive, and once there should have been one, as a new leader and its grants. After a time without a leader it is
// expected to take as long again as that time; requests wait that could be served after half of it.
func (h *holdEvidence) unconfirmed(now model.Instant) ownerWait {
	wait := ownerWait{reason: waitUnconfirmed}
	elapsed := now.Sub(h.knownAt)
	switch {
	case h.heardAt != 0 && h.lapsedAt != 0:
		wait.expected = now.Sub(h.lapsedAt)
		wait.least = wait.expected / 2
	case h.heardAt != 0:
		wait.expected = now.Sub(h.heardAt.Add(h.ttl))
		wait.least = wait.expected / 2
	case elapsed < linkTime:
		wait.expected = linkTime - elapsed
	default:
		wait.expected = takeoverTime + h.grants - elapsed
		wait.least = wait.expected
	}
	wait.expected = min(maxOwnerWait, max(minOwnerWait, wait.expected))
	wait.least = min(wait.expected, max(minOwnerWait, wait.least))
	return wait
}

// usualMove returns the time that a move of keys usually takes.
func (h *holdEvidence) usualMove() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.moves
}

// usualGrant returns the time that a grant usually takes until the table shows it.
func (h *holdEvidence) usualGrant() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.grants
}

// waiting returns the numbers of ranges of a table that are not ready, and of those that are but whose owners this VM does not
// know to hold them.
func (h *holdEvidence) waiting(now model.Instant, table *keyspace.Table) (unready, unconfirmed int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := range table.Ranges {
		r := &table.Ranges[i]
		if !r.Ready {
			unready++
		} else if _, asks, ok := h.decide(now, r); asks || !ok {
			unconfirmed++
		}
	}
	return unready, unconfirmed
}
