package control

import (
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/record"
)

// appendRetry is the time after which an append without a visible effect is retried under the same ID.
const appendRetry = time.Second

// outgoing is a record that this VM is appending to the log. It stays pending until it is folded or has become
// obsolete.
type outgoing struct {
	stream record.Stream
	record record.Record
	// purpose prevents two records for the same purpose from being pending at the same time.
	purpose string
	sentAt  model.Instant
	// obsolete reports whether the record would have no effect if it were appended now. A late copy of it is then
	// harmless.
	obsolete func() bool
}

// outbox holds the pending records. If the response to an append is lost, the record stays pending until it is folded
// or becomes obsolete.
type outbox struct {
	items map[record.ID]*outgoing
}

func newOutbox() *outbox { return &outbox{items: map[record.ID]*outgoing{}} }

func (o *outbox) has(purpose string) bool {
	for _, item := range o.items {
		if item.purpose == purpose {
			return true
		}
	}
	return false
}

// destination returns the target to which a pending record would move a slot.
func (o *outbox) destination(slot model.Slot) (to model.TargetID, pending bool) {
	for _, item := range o.items {
		if item.record.Reassign == nil {
			continue
		}
		for _, move := range item.record.Reassign.Moves {
			if move.Slot == slot {
				return move.To, true
			}
		}
	}
	return "", false
}

// submit appends a record unless one for the same purpose is pending or the log is down. It reports whether it did.
func (n *Node) submit(stream record.Stream, purpose string, r record.Record, obsolete func() bool) bool {
	if !n.logUp || n.outbox.has(purpose) {
		return false
	}
	r.ID = n.settings.NewID()
	n.outbox.items[r.ID] = &outgoing{
		stream:   stream,
		record:   r,
		purpose:  purpose,
		sentAt:   n.now,
		obsolete: obsolete,
	}
	n.emit(Append{Stream: stream, Record: r})
	return true
}

// drop removes a record that was folded.
func (o *outbox) drop(id record.ID) { delete(o.items, id) }

// retryAppends drops records that have become obsolete and retries the others after appendRetry.
func (n *Node) retryAppends() {
	for _, id := range sortedIDs(n.outbox.items) {
		item := n.outbox.items[id]
		if item.obsolete() {
			delete(n.outbox.items, id)
			continue
		}
		if n.logUp && n.now.Sub(item.sentAt) >= appendRetry {
			item.sentAt = n.now
			n.emit(Append{Stream: item.stream, Record: item.record})
		}
	}
}
