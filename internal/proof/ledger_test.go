package proof

import (
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/record"
)

// assignment is an owner of a slot, as some VM has folded it from the log.
type assignment struct {
	owner model.TargetID
	epoch model.Offset
}

// ledger records the newest acknowledged owner of each slot. It checks owners against the full history of records that
// the log accepted and does not use the fold under test.
type ledger struct {
	w            *world
	acknowledged map[model.Slot]assignment
	// highestOffset is the highest offset that any VM has folded.
	highestOffset model.Offset
}

func newLedger(w *world) *ledger { return &ledger{w: w, acknowledged: map[model.Slot]assignment{}} }

// check requires that a VM holds every acknowledged assignment up to its offset, or a later one of the same slot, and
// that each of its assignments matches a record of the log.
func (l *ledger) check(vm *entryVM) {
	state := vm.node.Assignments()
	for slot, known := range l.acknowledged {
		if known.epoch <= state.Offset && state.Slots[slot].Epoch < known.epoch {
			l.w.fatal("%s at offset %d lacks the assignment of %v: acknowledged %v, has %v",
				vm.name, state.Offset, slot, known, state.Slots[slot])
		}
	}
	for slot, ownership := range state.Slots {
		l.acknowledge(vm, slot, assignment{owner: ownership.Owner, epoch: ownership.Epoch})
	}
	l.highestOffset = max(l.highestOffset, state.Offset)
}

func (l *ledger) acknowledge(vm *entryVM, slot model.Slot, found assignment) {
	known := l.acknowledged[slot]
	if found == known || found.epoch < known.epoch {
		return
	}
	base, owner := l.assignmentInRecord(slot, found.epoch)
	if owner != found.owner {
		l.w.fatal("%s has assigned %v to %v, but record %d assigns it to %q", vm.name, slot, found, found.epoch, owner)
	}
	if base < known.epoch {
		l.w.fatal("record %d of %v is based on epoch %d, which %d had already replaced", found.epoch, slot, base, known.epoch)
	}
	l.checkEpoch(vm, found.epoch)
	if t := l.w.targets[owner]; t != nil && !l.w.allowed(slot.Class, t) {
		l.w.fatal("%s has assigned %v to %s outside its region", vm.name, slot, owner)
	}
	l.acknowledged[slot] = found
}

// checkEpoch requires that the members of the cell did not change between the evidence of a Reassign and its record.
func (l *ledger) checkEpoch(vm *entryVM, offset model.Offset) {
	r := l.w.log.history[record.AssignStream][offset-1].Record.Reassign
	if r == nil {
		return
	}
	if epoch := vm.node.Assignments().Cells[r.Cell].Epoch; epoch > r.CellEpoch && epoch < offset {
		l.w.fatal("record %d is based on epoch %d of cell %s, which was at epoch %d by then",
			offset, r.CellEpoch, r.Cell, epoch)
	}
}

// assignmentInRecord returns the base epoch and the owner that the record at an offset assigns to a slot. The owner is
// empty if the record does not concern the slot.
func (l *ledger) assignmentInRecord(slot model.Slot, offset model.Offset) (base model.Offset, owner model.TargetID) {
	r := l.w.log.history[record.AssignStream][offset-1].Record
	if r.Split != nil && r.Split.Slot == slot {
		_, owner = l.assignmentInRecord(slot.Parent(), r.Split.BaseEpoch)
		return r.Split.BaseEpoch, owner
	}
	if r.Reassign != nil {
		for _, move := range r.Reassign.Moves {
			if move.Slot == slot {
				return move.BaseEpoch, move.To
			}
		}
	}
	return 0, ""
}

// requireFolded requires that every ready VM has folded at least up to the offset highest, which any VM had folded some
// seconds ago.
func (l *ledger) requireFolded(highest model.Offset) {
	for _, name := range l.w.vmNames() {
		vm := l.w.vms[name]
		if !vm.alive || vm.table == nil || !vm.table.Ready {
			continue
		}
		if offset := vm.node.Assignments().Offset; offset < highest {
			l.w.fatal("%s has folded up to offset %d, but another VM had already folded %d", name, offset, highest)
		}
		l.check(vm)
	}
}
