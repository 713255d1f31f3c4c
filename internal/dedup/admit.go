package dedup

import (
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/message"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

// Decision states what to do with one attempt.
type Decision uint8

// Decisions of Admit.
const (
	// Run means that the caller must send the request and then call Finish, Abort or MarkUnknown.
	Run Decision = iota
	// Wait means that another attempt is running; Admission.Done closes when it ends.
	Wait
	// Stored means that the request ran; Admission.Reply holds the reply.
	Stored
	// Unknown means that the request was sent and its outcome is not known.
	Unknown
	// TooOld means that the entry of the ID may have been removed; the outcome is unknown.
	TooOld
	// Ahead means that the time of the ID is too far in the future; this attempt does not run.
	Ahead
	// BeforeHorizon means that an earlier sender may have run the request; the outcome is unknown.
	BeforeHorizon
	// Closed means that the ID is closed as not run for attempts received up to a given time, including this one; it
	// does not run.
	Closed
	// NotCovered means that this VM is not the sender for the slot under the fence; this attempt does not run.
	NotCovered
	// Full means that the table has no room for another ID; this attempt does not run.
	Full
)

// Admission is the result of Admit.
type Admission struct {
	Decision Decision
	// Reply is set with Stored.
	Reply *message.ForwardReply
	// Done is set with Wait.
	Done <-chan struct{}
}

// Admit decides whether one attempt may run. now is the lessor's wall clock; receivedMillis is when an entry VM
// received the attempt, in ms since 1970 on that VM's wall clock.
func (t *Table) Admit(now time.Time, slot model.Slot, fence model.Fence, id model.RequestID, receivedMillis int64) Admission {
	t.mu.RLock()
	defer t.mu.RUnlock()
	c, covered := t.covered[slot]
	if !covered || c.fence != fence {
		return Admission{Decision: NotCovered}
	}
	s := t.shardOf(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	room := s.hasRoom(now)
	e := s.entries[id]
	if e != nil && e.state != stateClosed {
		return e.admission()
	}
	if decision := s.checkNew(now, c, e, id, receivedMillis); decision != Run {
		return Admission{Decision: decision}
	}
	if e == nil {
		if !room {
			return Admission{Decision: Full}
		}
		e = &entry{}
		s.entries[id] = e
	}
	e.slot = slot
	e.state = stateRunning
	e.done = make(chan struct{})
	return Admission{Decision: Run}
}

// admission returns the result for an ID whose request was sent.
func (e *entry) admission() Admission {
	switch e.state {
	case stateRunning:
		return Admission{Decision: Wait, Done: e.done}
	case stateCompleted:
		return Admission{Decision: Stored, Reply: e.reply}
	default:
		return Admission{Decision: Unknown}
	}
}

// checkNew returns Run if an ID whose request was not sent from here may run now, or else the reason for refusing the
// attempt. e is its closed entry or nil.
func (s *shard) checkNew(now time.Time, c coverage, e *entry, id model.RequestID, receivedMillis int64) Decision {
	at := id.Time().UnixMilli()
	if isAhead(now, at) || at > receivedMillis+MaxAheadOfReceipt.Milliseconds() {
		return Ahead
	}
	if s.isTooOld(now, at) {
		return TooOld
	}
	if at <= c.horizonMillis {
		return BeforeHorizon
	}
	closedMillis := s.closedMillis
	if e != nil {
		closedMillis = e.closedMillis
	}
	if receivedMillis <= closedMillis {
		return Closed
	}
	return Run
}

func isAhead(now time.Time, atMillis int64) bool {
	return atMillis > now.Add(MaxAhead).UnixMilli()
}

// isTooOld is also true for every ID that is not newer than a removed one, so that none of the removed IDs is admitted
// again if the clock steps back.
func (s *shard) isTooOld(now time.Time, atMillis int64) bool {
	return atMillis < ceilMillis(now.Add(-MaxAge)) || atMillis <= s.latestRemovedMillis
}
