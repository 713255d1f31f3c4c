package dedup

import (
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/message"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

// CloseResult states which outcome the requester may report to its caller.
type CloseResult uint8

// Results of Close.
const (
	// CloseNotRun means that the request has not run and no attempt received within NotRunValidity from now will run.
	CloseNotRun CloseResult = iota
	// CloseRan means that the request ran; the stored reply is returned.
	CloseRan
	// CloseUnknown means that the outcome cannot be determined.
	CloseUnknown
	// CloseUnconfirmed means that another lessor may have replaced this one since its last confirmation. The same call may
	// succeed after the next renewal.
	CloseUnconfirmed
)

// Close returns the outcome of an ID and, if it has not run, marks the ID so that no attempt received by now +
// NotRunValidity runs. receivedMillis is when the requester received its attempt. confirmed is the latest wall time at
// which this VM is known to have been the only sender for the slot: a successor that started later admits only IDs
// later than confirmed + MaxAhead.
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
		// Every lessor refuses the attempts received within NotRunValidity, because the ID is too far ahead of their
		// receipt.
		return CloseNotRun, nil
	}
	c, covered := t.covered[slot]
	if !covered || s.isTooOld(now, at) || at <= c.horizonMillis {
		return CloseUnknown, nil
	}
	if at > confirmed.Add(MaxAhead).UnixMilli() {
		return CloseUnconfirmed, nil
	}
	s.markClosed(now, slot, id, receivedMillis)
	return CloseNotRun, nil
}

func (e *entry) closeResult() (CloseResult, *message.ForwardReply) {
	if e.state == stateCompleted {
		return CloseRan, e.reply
	}
	return CloseUnknown, nil
}

// markClosed makes the table refuse all attempts received within NotRunValidity on any VM's clock. If there is no room
// for an entry, it closes all IDs without an entry, which refuses more attempts than necessary but loses no closed ID.
func (s *shard) markClosed(now time.Time, slot model.Slot, id model.RequestID, receivedMillis int64) {
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
