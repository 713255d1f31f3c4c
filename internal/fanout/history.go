package fanout

import (
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

const (
	// historyAge is how long batches are kept for VMs that subscribe. VMs list a topic from an age of 2.5 s.
	historyAge = 3 * time.Second
	// historyBytes bounds the kept batches, in bytes. The smallest VMs have 144 MB of memory.
	historyBytes = 1 << 20
	// repeatInterval is by how much later a batch without new records must be known to be up to date than the one before to be
	// passed on. Two leaders may name VMs as the parents of each other; without this rule, a batch would go round and round.
	// Leaders read each topic every 0.4 s.
	repeatInterval = 100 * time.Millisecond
)

// Entry is a batch of the records of a topic between two offsets, in encoded form.
type Entry struct {
	Topic    string
	From, To uint64
	Frame    []byte
	at       model.Instant
}

// History holds the latest batches. It is not safe for concurrent use.
type History struct {
	entries []Entry
	bytes   int
	ends    map[string]topicEnd
}

// topicEnd is how far a topic is known, and when it ended there.
type topicEnd struct {
	offset  uint64
	knownAt model.Instant
}

// Add adds a batch that was read from the store at knownAt, and drops those that are too old. It returns false if the batch
// is known already, and must not be passed on.
func (h *History) Add(now, knownAt model.Instant, entry Entry) bool {
	end, isKnown := h.ends[entry.Topic]
	if isKnown && (entry.To < end.offset || entry.To == end.offset && knownAt < end.knownAt.Add(repeatInterval)) {
		return false
	}
	if h.ends == nil {
		h.ends = map[string]topicEnd{}
	}
	h.ends[entry.Topic] = topicEnd{offset: entry.To, knownAt: knownAt}
	entry.at = now
	h.entries = append(h.entries, entry)
	h.bytes += len(entry.Frame)
	first := 0
	for first < len(h.entries) && (h.bytes > historyBytes || now.Sub(h.entries[first].at) > historyAge) {
		h.bytes -= len(h.entries[first].Frame)
		first++
	}
	// Copying keeps the array from holding the dropped batches.
	if first > 0 {
		h.entries = append([]Entry(nil), h.entries[first:]...)
	}
	return true
}

// After returns the batches, in their order, that bring a VM up to date that has each topic up to the given offset. It leaves out
// the topics of which a batch in between is missing: the VM finds a gap before the next batch and reads the store.
func (h *History) After(next map[string]uint64) []Entry {
	reached := make(map[string]uint64, len(next))
	last := map[string]int{}
	for topic, offset := range next {
		reached[topic] = offset
	}
	for i := range h.entries {
		last[h.entries[i].Topic] = i
	}
	hasGap := map[string]bool{}
	var chosen []int
	for i := range h.entries {
		entry := &h.entries[i]
		offset, isWanted := reached[entry.Topic]
		switch {
		case !isWanted || hasGap[entry.Topic]:
		case entry.From > offset:
			hasGap[entry.Topic] = true
		case entry.To > offset || entry.To == offset && last[entry.Topic] == i:
			// The last batch is sent in any case, because it shows that the topic is up to date.
			reached[entry.Topic] = entry.To
			chosen = append(chosen, i)
		}
	}
	var after []Entry
	for _, i := range chosen {
		if !hasGap[h.entries[i].Topic] {
			after = append(after, h.entries[i])
		}
	}
	return after
}
