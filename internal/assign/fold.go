package assign

import (
	"slices"

	"github.com/joomcode/errorx"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/record"
)

var (
	errNamespace = errorx.NewNamespace("assign")
	// ErrGap reports a record that does not follow the last folded one.
	ErrGap = errNamespace.NewType("gap")
	// ErrSnapshot reports a snapshot that cannot be decoded.
	ErrSnapshot = errNamespace.NewType("snapshot")
)

// Verdict states whether a record took effect.
type Verdict uint8

// Verdicts of the fold.
const (
	// Applied means that the record changed the state or carries a snapshot.
	Applied Verdict = iota + 1
	// VoidEpoch means that the cell's epoch or a base epoch was not current.
	VoidEpoch
	// VoidDuplicate means that the state already includes the record's change or a newer one.
	VoidDuplicate
	// VoidContent means that the record is invalid in the current state, for instance a split of an unowned slot.
	VoidContent
)

// Apply folds the next record. It returns ErrGap, and changes nothing, unless the record's offset follows the last one.
func (s *State) Apply(entry record.Entry) (Verdict, error) {
	if entry.Offset != s.Offset+1 {
		return 0, ErrGap.New("record %d does not follow record %d", entry.Offset, s.Offset)
	}
	s.Offset = entry.Offset
	return s.apply(entry.Offset, entry.Record), nil
}

func (s *State) apply(offset model.Offset, r record.Record) Verdict {
	switch {
	case r.MemberJoin != nil:
		return s.join(offset, *r.MemberJoin)
	case r.MemberRemove != nil:
		return s.remove(offset, *r.MemberRemove)
	case r.VMTerminated != nil:
		return s.removeTerminated(offset, *r.VMTerminated)
	case r.TargetUp != nil:
		return s.targetUp(*r.TargetUp)
	case r.Reassign != nil:
		return s.reassign(offset, *r.Reassign)
	case r.Split != nil:
		return s.split(offset, *r.Split)
	case r.Snapshot != nil:
		return Applied
	default:
		return VoidContent
	}
}

func (s *State) join(offset model.Offset, join record.MemberJoin) Verdict {
	cell := s.cell(join.Cell)
	vm := join.Member.VM
	if current, ok := cell.Members[vm]; ok && current.Incarnation >= join.Member.Incarnation {
		return VoidDuplicate
	}
	if removed, ok := cell.Removed[vm]; ok && removed.Incarnation >= join.Member.Incarnation {
		return VoidDuplicate
	}
	// A process joins under a new incarnation only after the older one has ended or stopped, because both bind the same
	// address.
	delete(cell.Removed, vm)
	cell.Members[vm] = join.Member
	cell.Epoch = offset
	return Applied
}

func (s *State) remove(offset model.Offset, remove record.MemberRemove) Verdict {
	cell := s.cell(remove.Cell)
	if cell.Epoch != remove.CellEpoch {
		return VoidEpoch
	}
	member, ok := cell.Members[remove.VM]
	if !ok || member.Incarnation != remove.Incarnation {
		return VoidDuplicate
	}
	delete(cell.Members, remove.VM)
	if !remove.Stopped {
		cell.Removed[remove.VM] = member
	}
	cell.Epoch = offset
	return Applied
}

func (s *State) removeTerminated(offset model.Offset, terminated record.VMTerminated) Verdict {
	verdict := VoidDuplicate
	for _, cell := range s.Cells {
		if removed, ok := cell.Removed[terminated.VM]; ok && removed.Incarnation <= terminated.Incarnation {
			delete(cell.Removed, terminated.VM)
			cell.Epoch = offset
			verdict = Applied
		}
		if member, ok := cell.Members[terminated.VM]; ok && member.Incarnation <= terminated.Incarnation {
			delete(cell.Members, terminated.VM)
			cell.Epoch = offset
			verdict = Applied
		}
	}
	return verdict
}

func (s *State) targetUp(up record.TargetUp) Verdict {
	if s.CellEpoch(up.Cell) != up.CellEpoch {
		return VoidEpoch
	}
	if s.Incarnations[up.Target] != up.Previous {
		return VoidDuplicate
	}
	s.Incarnations[up.Target] = up.Incarnation
	return Applied
}

func (s *State) reassign(offset model.Offset, reassign record.Reassign) Verdict {
	if s.CellEpoch(reassign.Cell) != reassign.CellEpoch {
		return VoidEpoch
	}
	if len(reassign.Moves) == 0 {
		return VoidContent
	}
	seen := make(map[model.Slot]struct{}, len(reassign.Moves))
	for _, move := range reassign.Moves {
		if s.Slots[move.Slot].Epoch != move.BaseEpoch {
			return VoidEpoch
		}
		if _, twice := seen[move.Slot]; twice || move.To == "" || s.isUnknownSplit(move.Slot) {
			return VoidContent
		}
		seen[move.Slot] = struct{}{}
	}
	for _, move := range reassign.Moves {
		s.setOwner(move.Slot, move.To, offset)
	}
	return Applied
}

// isUnknownSplit reports whether the slot is a split slot that no Split record created.
func (s *State) isUnknownSplit(slot model.Slot) bool {
	if !slot.IsSplit() {
		return false
	}
	_, known := s.Slots[slot]
	return !known
}

func (s *State) split(offset model.Offset, split record.Split) Verdict {
	parent, owned := s.Slots[split.Slot.Parent()]
	if !split.Slot.IsSplit() || !owned {
		return VoidContent
	}
	if parent.Epoch != split.BaseEpoch {
		return VoidEpoch
	}
	if _, exists := s.Slots[split.Slot]; exists {
		return VoidDuplicate
	}
	s.setOwner(split.Slot, parent.Owner, offset)
	hashes := append(slices.Clone(s.Splits[split.Slot.Parent()]), split.Slot.KeyHash)
	slices.Sort(hashes)
	s.Splits[split.Slot.Parent()] = hashes
	return Applied
}
