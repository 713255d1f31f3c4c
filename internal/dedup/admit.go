package dedup

import (
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/message"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

// Decision says what to do with one attempt.
type Decision uint8

// Decisions of Admit.
const (
	// Run means that the caller must send the request and then call Finish, Abort or Unknown.
	Run Decision = iota
	// Wait means that another attempt is running; Admission.Done closes when it ends.
	Wait
	// Stored means that the request ran; Admission.Answer holds the answer.
	Stored
	// Unknown means that the request was sent and its outcome is not known.
	Unknown
	// TooOld means that the ID may have been forgotten; the outcome is unknown.
	TooOld
	// Ahead means that the time of the ID is in the future; this attempt does not run.
	Ahead
	// BeforeHorizon means that an earlier sender may have run the request; the outcome is unknown.
	BeforeHorizon
	// Closed means that the attempt was received before the ID was closed as not run; it does not run.
	Closed
	// NotCovered means that this VM is not the sender for the slot under the fence; this attempt does not run.
	NotCovered
	// Full means that the table has no room for another ID; this attempt does not run.
	Full
)

// Admission is the answer of Admit.
type Admission struct {
	Decision Decision
	// Reply is set with Stored.
	Reply *message.ForwardReply
	// Done is set with Wait.
	Done <-chan struct{}
}

// Admit decides on one attempt. now is the lessor's wall clock; receivedMillis is when an entry VM received the attempt,
// in ms since 1970 on that VM's wall clock.
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
	if decision := s.refusal(now, c, e, id, receivedMillis); decision != Run {
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

// admission returns the answer for an ID that was sent.
func (e *entry) admission() Admission {
	switch e.state {
	case stateRunning:
		return Admission{Decision: Wait, Done: e.done}
	case stateAnswered:
		return Admission{Decision: Stored, Reply: e.answer}
	default:
		return Admission{Decision: Unknown}
	}
}

// refusal returns Run if an ID that was not sent from here may run now. e is its closed entry or nil.
func (s *shard) refusal(now time.Time, c coverage, e *entry, id model.RequestID, receivedMillis int64) Decision {
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
	mark := s.closedMillis
	if e != nil {
		mark = e.closedMillis
	}
	if receivedMillis <= mark {
		return Closed
	}
	return Run
}

func isAhead(now time.Time, atMillis int64) bool {
	return atMillis > now.Add(MaxAhead).UnixMilli()
}

// isTooOld also holds for every ID as old as a removed one, so a clock that steps back admits none of them again.
func (s *shard) isTooOld(now time.Time, atMillis int64) bool {
	return atMillis < ceilMillis(now.Add(-MaxAge)) || atMillis <= s.forgottenMillis
}
