package fanout

import (
	"slices"
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

const (
	// firstPause is how long a VM does not use a parent that has failed; it doubles with each failure up to maxPause. A relay
	// that is slow or paused again and again then costs its children few changes.
	firstPause = 2 * time.Second
	maxPause   = 30 * time.Second
)

// selector chooses the parent that a VM uses. It is not safe for concurrent use.
type selector struct {
	parents []Peer
	failed  map[Peer]failure
	// failures counts the failed parents since the VM last got batches from one.
	failures int
}

type failure struct {
	until model.Instant
	pause time.Duration
}

// newSelector returns a selector without parents.
func newSelector() *selector { return &selector{failed: map[Peer]failure{}} }

// setParents replaces the list of parents, the preferred one first.
func (s *selector) setParents(parents []Peer) {
	s.parents = slices.Clone(parents)
	for peer := range s.failed {
		if !slices.Contains(parents, peer) {
			delete(s.failed, peer)
		}
	}
}

// choose returns the first parent that has not failed lately, or false if there is none.
func (s *selector) choose(now model.Instant) (Peer, bool) {
	for _, parent := range s.parents {
		if now >= s.failed[parent].until {
			return parent, true
		}
	}
	return Peer{}, false
}

// suspend makes the VM use no parent that runs but has no batches for firstPause. It does not count as a failure: during an outage of
// the store no parent has any.
func (s *selector) suspend(now model.Instant, parent Peer) {
	s.failed[parent] = failure{until: now.Add(firstPause), pause: s.failed[parent].pause}
}

// succeed records that a parent sends batches without a gap.
func (s *selector) succeed() { s.failures = 0 }

// fail records that a parent could not be reached, closed the connection or was silent. It returns true if the leader has to send
// the batches until there is another parent: one alternative is tried before.
func (s *selector) fail(now model.Instant, parent Peer) (needsLeader bool) {
	pause := min(maxPause, max(firstPause, 2*s.failed[parent].pause))
	s.failed[parent] = failure{until: now.Add(pause), pause: pause}
	s.failures++
	_, hasNext := s.choose(now)
	return s.failures >= 2 || !hasNext
}
