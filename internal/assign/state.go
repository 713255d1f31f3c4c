// Package assign folds the assign stream: the owners of slots, the members of cells and the registered incarnations of
// targets. The fold is deterministic, so all entry VMs that folded the same records agree.
package assign

import (
	"slices"
	"sort"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/record"
)

// Cell is the folded state of one cell.
type Cell struct {
	// Epoch is the offset of the record that last changed the members.
	Epoch model.Offset
	// Members are the current members by VM.
	Members map[model.VMID]record.Member
	// Removed are members that did not leave by themselves and are not known to have terminated. They may still renew
	// leases, so a takeover needs their statements too.
	Removed map[model.VMID]record.Member
}

// Ownership is the folded state of one slot.
type Ownership struct {
	Owner model.TargetID
	// Epoch is the offset of the record that assigned the slot. It serves as the fence.
	Epoch model.Offset
}

// State is the folded assign stream.
type State struct {
	// Offset is the offset of the last folded record.
	Offset model.Offset
	Cells  map[model.Zone]*Cell
	Slots  map[model.Slot]Ownership
	// Splits lists the key hashes split from each hash slot, in order.
	Splits map[model.Slot][]uint64
	// Incarnations holds the registered incarnation of each target.
	Incarnations map[model.TargetID]model.Incarnation
	// owned holds the slots in Slots by owner.
	owned map[model.TargetID]map[model.Slot]struct{}
}

// New returns the empty state that precedes the first record.
func New() *State {
	return &State{
		Cells:        map[model.Zone]*Cell{},
		Slots:        map[model.Slot]Ownership{},
		Splits:       map[model.Slot][]uint64{},
		Incarnations: map[model.TargetID]model.Incarnation{},
		owned:        map[model.TargetID]map[model.Slot]struct{}{},
	}
}

// CellEpoch returns the epoch of a cell; 0 before its first member joined.
func (s *State) CellEpoch(zone model.Zone) model.Offset {
	if cell, ok := s.Cells[zone]; ok {
		return cell.Epoch
	}
	return 0
}

// Members returns the members of a cell in order of VM.
func (s *State) Members(zone model.Zone) []record.Member {
	cell, ok := s.Cells[zone]
	if !ok {
		return nil
	}
	return sortedMembers(cell.Members)
}

// Removed returns the removed members of a cell that may still renew leases, in order of VM.
func (s *State) Removed(zone model.Zone) []record.Member {
	cell, ok := s.Cells[zone]
	if !ok {
		return nil
	}
	return sortedMembers(cell.Removed)
}

func sortedMembers(members map[model.VMID]record.Member) []record.Member {
	sorted := make([]record.Member, 0, len(members))
	for _, member := range members {
		sorted = append(sorted, member)
	}
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].VM < sorted[j].VM })
	return sorted
}

// Owned returns the slots of a target, in order.
func (s *State) Owned(owner model.TargetID) []model.Slot {
	slots := make([]model.Slot, 0, len(s.owned[owner]))
	for slot := range s.owned[owner] {
		slots = append(slots, slot)
	}
	SortSlots(slots)
	return slots
}

// OwnedCount returns the number of slots of a target.
func (s *State) OwnedCount(owner model.TargetID) int { return len(s.owned[owner]) }

// SortSlots sorts slots by service, class, index and key hash.
func SortSlots(slots []model.Slot) {
	slices.SortFunc(slots, compareSlots)
}

func compareSlots(a, b model.Slot) int {
	switch {
	case a.Service != b.Service:
		return compare(a.Service, b.Service)
	case a.Class != b.Class:
		return compare(a.Class, b.Class)
	case a.Index != b.Index:
		return compare(a.Index, b.Index)
	default:
		return compare(a.KeyHash, b.KeyHash)
	}
}

func compare[T ~string | ~uint32 | ~uint64](a, b T) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}

func (s *State) setOwner(slot model.Slot, owner model.TargetID, epoch model.Offset) {
	if previous, ok := s.Slots[slot]; ok {
		delete(s.owned[previous.Owner], slot)
	}
	s.Slots[slot] = Ownership{Owner: owner, Epoch: epoch}
	if s.owned[owner] == nil {
		s.owned[owner] = map[model.Slot]struct{}{}
	}
	s.owned[owner][slot] = struct{}{}
}

func (s *State) cell(zone model.Zone) *Cell {
	cell, ok := s.Cells[zone]
	if !ok {
		cell = &Cell{Members: map[model.VMID]record.Member{}, Removed: map[model.VMID]record.Member{}}
		s.Cells[zone] = cell
	}
	return cell
}
