package control

import (
	"maps"

	"github.com/tarragonpoint/tarragonpoint/internal/message"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

// override is an override that this VM accepted. Until it is committed, no target is granted the slot.
type override struct {
	message.Override
	// replaced is the committed override that this one replaces. It is restored if this one is aborted.
	replaced  *message.Override
	queriedAt model.Instant
}

// activeOverride returns the override of a slot, or nil if there is none or if the log has changed the slot since the
// override's base epoch.
func (n *Node) activeOverride(slot model.Slot) *override {
	known, ok := n.overrides[slot]
	if !ok || n.assign.state.Slots[slot].Epoch != known.Base {
		return nil
	}
	return known
}

// ownerOf returns the owner of a slot with overrides applied, or "" while no target may be granted the slot.
func (n *Node) ownerOf(slot model.Slot) model.TargetID {
	known := n.activeOverride(slot)
	switch {
	case known == nil:
		return n.hintedOwner(slot)
	case known.Committed:
		return known.To
	default:
		return ""
	}
}

// hintedOwner returns the owner from the log, or from an override that a lessor reported. Reported overrides are used
// for routing only: the target itself decides whether it serves the slot.
func (n *Node) hintedOwner(slot model.Slot) model.TargetID {
	ownership := n.assign.state.Slots[slot]
	hint, ok := n.hints[slot]
	if ok && hint.Base == ownership.Epoch && n.now.Sub(hint.at) < statusTTL {
		return hint.To
	}
	return ownership.Owner
}

// overrideHint is a committed override as reported by the lessor of the target that it names.
type overrideHint struct {
	message.Override
	at model.Instant
}

// slotsOf returns the slots that a target may be granted, with overrides applied: first those from the log, then those
// from overrides, each in slot order.
func (n *Node) slotsOf(id model.TargetID) []model.Slot {
	var slots []model.Slot
	for _, slot := range n.assign.state.Owned(id) {
		if n.activeOverride(slot) == nil {
			slots = append(slots, slot)
		}
	}
	for _, slot := range sortedSlots(n.overrides) {
		if known := n.activeOverride(slot); known != nil && known.Committed && known.To == id {
			slots = append(slots, slot)
		}
	}
	return slots
}

// slotsToReassign returns the slots of a target that need a new owner when it fails. Slots with an undecided override
// count for their owner in the log.
func (n *Node) slotsToReassign(id model.TargetID) []model.Slot {
	slots := n.slotsOf(id)
	for _, slot := range n.assign.state.Owned(id) {
		if known := n.activeOverride(slot); known != nil && !known.Committed {
			slots = append(slots, slot)
		}
	}
	return slots
}

// learnOverride adds an override received from another member. A committed override takes precedence over an undecided
// one.
func (n *Node) learnOverride(received message.Override) {
	known, ok := n.overrides[received.Slot]
	if ok && known.Base >= received.Base && (known.Committed || !received.Committed) {
		return
	}
	n.overrides[received.Slot] = &override{Override: received, queriedAt: n.now}
	n.invalidateSlots()
}

// invalidateSlots makes grants and routes be recomputed.
func (n *Node) invalidateSlots() {
	n.dirty = true
	n.ownersChanged = true
	for _, state := range n.targets {
		state.grantsAt = 0
	}
}

// maintainOverrides drops overrides that the log has superseded, queries the proposers of undecided ones and expires
// hints.
func (n *Node) maintainOverrides() {
	for _, slot := range sortedSlots(n.overrides) {
		known := n.overrides[slot]
		if n.assign.state.Slots[slot].Epoch > known.Base {
			delete(n.overrides, slot)
			n.invalidateSlots()
			continue
		}
		if !known.Committed && n.now.Sub(known.queriedAt) >= resendInterval {
			known.queriedAt = n.now
			n.send(known.ID.Proposer, message.Message{OverrideQuery: &message.OverrideQuery{ID: known.ID}})
		}
	}
	hints := len(n.hints)
	maps.DeleteFunc(n.hints, func(_ model.Slot, hint overrideHint) bool { return n.now.Sub(hint.at) >= statusTTL })
	n.ownersChanged = n.ownersChanged || len(n.hints) != hints
}

// committedTo returns the committed overrides that assign a slot to a target.
func (n *Node) committedTo(id model.TargetID) []message.Override {
	var overrides []message.Override
	for _, slot := range sortedSlots(n.overrides) {
		if known := n.activeOverride(slot); known != nil && known.Committed && known.To == id {
			overrides = append(overrides, known.Override)
		}
	}
	return overrides
}
