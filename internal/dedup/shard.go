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
	stateCompleted
	stateUnknown
	stateClosed
)

type entry struct {
	slot  model.Slot
	state state
	// closedMillis is the time of receipt up to which attempts are refused; 0 if the ID was never closed.
	closedMillis int64
	reply        *message.ForwardReply
	// done is closed when the entry leaves stateRunning; nil for entries whose request never ran here.
	done chan struct{}
}

type shard struct {
	mu      sync.Mutex
	entries map[model.RequestID]*entry
	// closedMillis is the time of receipt up to which attempts of all IDs without an entry are refused. It replaces the
	// closed entries for which there was no room.
	closedMillis int64
	// latestRemovedMillis is the latest creation time among the IDs of removed entries.
	latestRemovedMillis int64
	sweptAt             time.Time
	maxEntries          int
	bodyBytes           int
	maxBodyBytes        int
	// withBody lists the entries with a stored body, oldest first.
	withBody []model.RequestID
}

// hasRoom reports whether there is room for one more entry. It removes expired entries if a sweep is due.
func (s *shard) hasRoom(now time.Time) bool {
	full := len(s.entries) >= s.maxEntries
	since := now.Sub(s.sweptAt)
	if since >= sweepInterval || (full && since >= fullSweepInterval) {
		s.sweep(now)
	}
	return len(s.entries) < s.maxEntries
}

// sweep removes entries whose ID is older than Retention. Running entries are kept until they end.
func (s *shard) sweep(now time.Time) {
	s.sweptAt = now
	limit := now.Add(-Retention).UnixMilli()
	for id, e := range s.entries {
		at := id.Time().UnixMilli()
		if at >= limit || e.state == stateRunning {
			continue
		}
		s.latestRemovedMillis = max(s.latestRemovedMillis, at)
		s.dropBody(e)
		delete(s.entries, id)
	}
	s.withBody = slices.DeleteFunc(s.withBody, func(id model.RequestID) bool { return s.entries[id] == nil })
}

// store stores a reply and drops the oldest bodies beyond the memory limit.
func (s *shard) store(id model.RequestID, e *entry, reply message.ForwardReply) {
	e.state = stateCompleted
	e.reply = &reply
	if replyBytes(reply) == 0 {
		return
	}
	s.bodyBytes += replyBytes(reply)
	s.withBody = append(s.withBody, id)
	for s.bodyBytes > s.maxBodyBytes && len(s.withBody) > 0 {
		oldest := s.withBody[0]
		s.withBody = s.withBody[1:]
		if old := s.entries[oldest]; old != nil {
			s.dropBody(old)
		}
	}
}

// dropBody replaces a stored reply by one that reports an unknown outcome, because the reply itself is no longer kept.
func (s *shard) dropBody(e *entry) {
	if e.reply == nil {
		return
	}
	s.bodyBytes -= replyBytes(*e.reply)
	reduced := withoutBody(*e.reply)
	e.reply = &reduced
}

// withoutBody returns the reply for a request that ran and whose original reply is no longer kept.
func withoutBody(reply message.ForwardReply) message.ForwardReply {
	return message.ForwardReply{
		Attempt: reply.Attempt,
		Code:    result.OutcomeUnknown,
		Outcome: result.Unknown,
		Status:  result.Lookup(result.OutcomeUnknown).HTTPStatus,
		Target:  reply.Target,
		Fence:   reply.Fence,
	}
}

// replyBytes returns the memory of a reply's body and header, in bytes.
func replyBytes(reply message.ForwardReply) int {
	size := len(reply.Body)
	for name, values := range reply.Header {
		size += len(name)
		for _, value := range values {
			size += len(value)
		}
	}
	return size
}

// finish sets the final state of a running entry and wakes the attempts that wait for it.
func (e *entry) finish(to state) {
	e.state = to
	if e.done != nil {
		close(e.done)
		e.done = nil
	}
}
