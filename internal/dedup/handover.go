package dedup

import (
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/message"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

// Export ends the coverage of the slots and returns one handover for each that was covered. term is the term of this
// VM's lease. No attempt for the slots is admitted afterwards. Requests that are still running are handed over with an
// unknown outcome.
func (t *Table) Export(slots []model.Slot, term model.Term) []message.Handover {
	t.mu.Lock()
	defer t.mu.Unlock()
	handovers := map[model.Slot]*message.Handover{}
	order := make([]model.Slot, 0, len(slots))
	for _, slot := range slots {
		c, covered := t.covered[slot]
		if !covered {
			continue
		}
		delete(t.covered, slot)
		handovers[slot] = &message.Handover{
			Slots: []model.Slot{slot}, Fence: c.fence, Term: term, HorizonMillis: c.horizonMillis,
		}
		order = append(order, slot)
	}
	t.collectEntries(handovers)
	exported := make([]message.Handover, 0, len(order))
	for _, slot := range order {
		exported = append(exported, *handovers[slot])
	}
	return exported
}

// collectEntries adds the entries to the handovers. Entries of a hash slot are also added to its split slots, because
// they may originate from before the split.
func (t *Table) collectEntries(handovers map[model.Slot]*message.Handover) {
	groups := map[model.Slot][]*message.Handover{}
	for slot, h := range handovers {
		groups[slot.Parent()] = append(groups[slot.Parent()], h)
	}
	sizes := map[*message.Handover]int{}
	for i := range t.shards {
		t.collectShard(&t.shards[i], groups, sizes)
	}
}

func (t *Table) collectShard(s *shard, groups map[model.Slot][]*message.Handover, sizes map[*message.Handover]int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, group := range groups {
		for _, h := range group {
			// IDs closed without an entry are not listed. Their times are at most closedMillis + MaxAhead, so the
			// horizon covers them.
			if s.closedMillis > 0 {
				h.HorizonMillis = max(h.HorizonMillis, s.closedMillis+MaxAhead.Milliseconds())
			}
		}
	}
	for id, e := range s.entries {
		for _, h := range groups[e.slot.Parent()] {
			h.Entries = append(h.Entries, e.export(id, h, sizes))
		}
	}
}

func (e *entry) export(id model.RequestID, h *message.Handover, sizes map[*message.Handover]int) message.DedupEntry {
	exported := message.DedupEntry{RequestID: id}
	switch e.state {
	case stateCompleted:
		reply := *e.reply
		if sizes[h]+replyBytes(reply) > MaxHandoverBytes {
			reply = withoutBody(reply)
		}
		sizes[h] += replyBytes(reply)
		exported.Reply = &reply
	case stateClosed:
		exported.ClosedMillis = e.closedMillis
	}
	return exported
}

// Import adds the entries of a handover to the table. It moves the horizon of the slot back only if there was room for
// every entry and the handover comes from the sender just before this VM, under the same fence; before Cover is called
// for the slot, it keeps the handover until then. It reports whether the whole handover was imported.
func (t *Table) Import(now time.Time, h message.Handover) bool {
	if len(h.Slots) != 1 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	slot := h.Slots[0]
	complete := true
	for _, e := range h.Entries {
		complete = t.importEntry(now, slot, e) && complete
	}
	if !complete {
		return false
	}
	p := pendingHandover{fence: h.Fence, term: h.Term, horizonMillis: h.HorizonMillis}
	if c, covered := t.covered[slot]; covered {
		t.covered[slot] = c.withHandover(p)
		return true
	}
	if len(t.pending) >= MaxPendingHandovers {
		return false
	}
	t.pending[slot] = p
	return true
}

// importEntry merges one entry. If the request is known to have been sent, this takes precedence over an entry that is
// closed as not run.
func (t *Table) importEntry(now time.Time, slot model.Slot, imported message.DedupEntry) bool {
	id := imported.RequestID
	s := t.shardOf(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[id]
	if e == nil {
		if !s.hasRoom(now) {
			return false
		}
		e = &entry{slot: slot, state: stateClosed}
		s.entries[id] = e
	}
	e.closedMillis = max(e.closedMillis, imported.ClosedMillis)
	switch {
	case imported.Reply != nil && (e.state == stateClosed || e.state == stateUnknown):
		s.store(id, e, *imported.Reply)
	case imported.Reply == nil && imported.ClosedMillis == 0 && e.state == stateClosed:
		e.state = stateUnknown
	}
	return true
}
