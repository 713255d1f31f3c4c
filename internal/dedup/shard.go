package dedup

import (
	"slices"
	"sync"
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/message"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/result"
)

type state uint8

const (
	stateRunning state = iota
	stateAnswered
	stateUnknown
	stateClosed
)

type entry struct {
	slot  model.Slot
	state state
	// closedMillis refuses attempts received at or before it; 0 if the ID was never closed.
	closedMillis int64
	answer       *message.ForwardReply
	// done is closed when the entry leaves stateRunning; nil for entries that never ran here.
	done chan struct{}
}

type shard struct {
	mu      sync.Mutex
	entries map[model.RequestID]*entry
	// closedMillis closes all IDs without an entry; it stands in for marks that did not fit.
	closedMillis int64
	// forgottenMillis is the latest creation time of a removed entry.
	forgottenMillis int64
	swept           time.Time
	maxEntries      int
	bodyBytes       int
	maxBodyBytes    int
	// withBody lists the entries with a stored body, oldest first.
	withBody []model.RequestID
}

// hasRoom reports whether one more entry fits, and removes expired entries when that is due.
func (s *shard) hasRoom(now time.Time) bool {
	full := len(s.entries) >= s.maxEntries
	since := now.Sub(s.swept)
	if since >= sweepInterval || (full && since >= fullSweepInterval) {
		s.sweep(now)
	}
	return len(s.entries) < s.maxEntries
}

// sweep removes entries whose ID is older than KeepFor. Running entries stay until they end.
func (s *shard) sweep(now time.Time) {
	s.swept = now
	limit := now.Add(-Retention).UnixMilli()
	for id, e := range s.entries {
		at := id.Time().UnixMilli()
		if at >= limit || e.state == stateRunning {
			continue
		}
		s.forgottenMillis = max(s.forgottenMillis, at)
		s.dropBody(e)
		delete(s.entries, id)
	}
	s.withBody = slices.DeleteFunc(s.withBody, func(id model.RequestID) bool { return s.entries[id] == nil })
}

// store keeps an answer and drops the oldest bodies beyond the budget.
func (s *shard) store(id model.RequestID, e *entry, answer message.ForwardReply) {
	e.state = stateAnswered
	e.answer = &answer
	if answerBytes(answer) == 0 {
		return
	}
	s.bodyBytes += answerBytes(answer)
	s.withBody = append(s.withBody, id)
	for s.bodyBytes > s.maxBodyBytes && len(s.withBody) > 0 {
		oldest := s.withBody[0]
		s.withBody = s.withBody[1:]
		if old := s.entries[oldest]; old != nil {
			s.dropBody(old)
		}
	}
}

// dropBody replaces a stored answer by one that says that the answer is no longer kept.
func (s *shard) dropBody(e *entry) {
	if e.answer == nil {
		return
	}
	s.bodyBytes -= answerBytes(*e.answer)
	reduced := withoutBody(*e.answer)
	e.answer = &reduced
}

// withoutBody returns the answer to a request that ran and whose answer is no longer kept.
func withoutBody(answer message.ForwardReply) message.ForwardReply {
	return message.ForwardReply{
		Attempt: answer.Attempt,
		Code:    result.OutcomeUnknown,
		Outcome: result.Unknown,
		Status:  result.Lookup(result.OutcomeUnknown).HTTPStatus,
		Target:  answer.Target,
		Fence:   answer.Fence,
	}
}

// answerBytes returns the memory of an answer's body and header, in bytes.
func answerBytes(answer message.ForwardReply) int {
	size := len(answer.Body)
	for name, values := range answer.Header {
		size += len(name)
		for _, value := range values {
			size += len(value)
		}
	}
	return size
}

// finish ends a running entry and wakes the attempts that wait for it.
func (e *entry) finish(to state) {
	e.state = to
	if e.done != nil {
		close(e.done)
		e.done = nil
	}
}
