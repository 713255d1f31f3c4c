package dedup

import (
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/message"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

// CloseResult says what the asker may tell its caller.
type CloseResult uint8

// Results of Close.
const (
	// CloseNotRun means that the request has not run and no attempt received within WordValidity from now will run.
	CloseNotRun CloseResult = iota
	// CloseRan means that the request ran; the answer is the stored one.
	CloseRan
	// CloseUnknown means that nothing can be said.
	CloseUnknown
	// CloseUnconfirmed means that another lessor may have replaced this one since its last confirmation. The same call may
	// succeed after the next renewal.
	CloseUnconfirmed
)

// Close asks for the outcome of an ID and, if it has not run, marks it so that no attempt received by now + WordValidity runs.
// receivedMillis is when the asker received its attempt. confirmed is the latest wall time at which this VM is known to
// have been the only sender for the slot: a successor that started later admits only IDs later than confirmed + MaxAhead.
func (t *Table) Close(now time.Time, slot model.Slot, id model.RequestID, receivedMillis int64, confirmed time.Time) (CloseResult, *message.ForwardReply) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	s := t.shardOf(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[id]
	if e != nil && e.state != stateClosed {
		return e.closeResult()
	}
	at := id.Time().UnixMilli()
	if isAhead(now.Add(NotRunValidity), at) {
		// Every attempt received while the word is valid is refused as ahead of its receipt, by any lessor.
		return CloseNotRun, nil
	}
	c, covered := t.covered[slot]
	if !covered || s.isTooOld(now, at) || at <= c.horizonMillis {
		return CloseUnknown, nil
	}
	if at > confirmed.Add(MaxAhead).UnixMilli() {
		return CloseUnconfirmed, nil
	}
	s.mark(now, slot, id, receivedMillis)
	return CloseNotRun, nil
}

func (e *entry) closeResult() (CloseResult, *message.ForwardReply) {
	if e.state == stateAnswered {
		return CloseRan, e.answer
	}
	return CloseUnknown, nil
}

// mark refuses all attempts received while the word is valid, on any VM's clock. Without room for an entry it closes all IDs that have
// none, which refuses more than needed but forgets nothing.
func (s *shard) mark(now time.Time, slot model.Slot, id model.RequestID, receivedMillis int64) {
	until := ceilMillis(now.Add(NotRunValidity + ClockMargin))
	e := s.entries[id]
	if e == nil && !s.hasRoom(now) {
		s.closedMillis = max(s.closedMillis, until)
		return
	}
	if e == nil {
		e = &entry{slot: slot, state: stateClosed}
		s.entries[id] = e
	}
	e.closedMillis = max(e.closedMillis, until, receivedMillis)
}
