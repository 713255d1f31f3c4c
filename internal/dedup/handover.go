package dedup

import (
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/message"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

// Export ends the coverage of the slots and returns one handover for each that was covered. term is the term of this VM's
// lease. No attempt for the slots is admitted afterwards. Requests still running are handed over as unknown.
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
	t.collect(handovers)
	exported := make([]message.Handover, 0, len(order))
	for _, slot := range order {
		exported = append(exported, *handovers[slot])
	}
	return exported
}

// collect adds the entries. Entries of a hash slot go to its split slots too, because they may stem from before the split.
func (t *Table) collect(handovers map[model.Slot]*message.Handover) {
	families := map[model.Slot][]*message.Handover{}
	for slot, h := range handovers {
		families[slot.Parent()] = append(families[slot.Parent()], h)
	}
	sizes := map[*message.Handover]int{}
	for i := range t.shards {
		t.collectShard(&t.shards[i], families, sizes)
	}
}

func (t *Table) collectShard(s *shard, families map[model.Slot][]*message.Handover, sizes map[*message.Handover]int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, family := range families {
		for _, h := range family {
			// IDs closed without an entry are not listed; they are not later than the mark + MaxAhead.
			if s.closedMillis > 0 {
				h.HorizonMillis = max(h.HorizonMillis, s.closedMillis+MaxAhead.Milliseconds())
			}
		}
	}
	for id, e := range s.entries {
		for _, h := range families[e.slot.Parent()] {
			h.Entries = append(h.Entries, e.export(id, h, sizes))
		}
	}
}

func (e *entry) export(id model.RequestID, h *message.Handover, sizes map[*message.Handover]int) message.DedupEntry {
	exported := message.DedupEntry{RequestID: id}
	switch e.state {
	case stateAnswered:
		answer := *e.answer
		if sizes[h]+answerBytes(answer) > MaxHandoverBytes {
			answer = withoutBody(answer)
		}
		sizes[h] += answerBytes(answer)
		exported.Reply = &answer
	case stateClosed:
		exported.ClosedMillis = e.closedMillis
	}
	return exported
}

// Import takes a handover. The horizon of its slot moves back only if every entry found room and the handover comes from
// the sender just before this VM, under the same fence; before Cover it waits for that. It returns whether the handover
// was taken as a whole.
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
		t.covered[slot] = c.widen(p)
		return true
	}
	if len(t.pending) >= MaxPendingHandovers {
		return false
	}
	t.pending[slot] = p
	return true
}

// importEntry merges one entry. What is known to have been sent wins over what was closed as not run.
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
