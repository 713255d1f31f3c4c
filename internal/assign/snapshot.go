package assign

import (
	"slices"
	"sort"

	"github.com/fxamacker/cbor/v2"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/record"
)

// snapshotCell is the encoded form of a cell.
type snapshotCell struct {
	Zone    model.Zone      `cbor:"1,keyasint"`
	Epoch   model.Offset    `cbor:"2,keyasint"`
	Members []record.Member `cbor:"3,keyasint"`
	Removed []record.Member `cbor:"4,keyasint"`
}

// snapshotGroup is the encoded form of the slots of one service and class with one owner.
type snapshotGroup struct {
	Service   model.Service  `cbor:"1,keyasint"`
	Class     model.Class    `cbor:"2,keyasint"`
	Owner     model.TargetID `cbor:"3,keyasint"`
	Indices   []uint32       `cbor:"4,keyasint"`
	KeyHashes []uint64       `cbor:"5,keyasint"`
	Epochs    []model.Offset `cbor:"6,keyasint"`
}

type snapshotTarget struct {
	Target      model.TargetID    `cbor:"1,keyasint"`
	Incarnation model.Incarnation `cbor:"2,keyasint"`
}

type snapshotState struct {
	Offset  model.Offset     `cbor:"1,keyasint"`
	Cells   []snapshotCell   `cbor:"2,keyasint"`
	Groups  []snapshotGroup  `cbor:"3,keyasint"`
	Targets []snapshotTarget `cbor:"4,keyasint"`
}

// Snapshot encodes the state. Equal states have equal encodings.
func (s *State) Snapshot() (record.Snapshot, error) {
	encoded := snapshotState{Offset: s.Offset, Groups: s.snapshotGroups()}
	for zone, cell := range s.Cells {
		encoded.Cells = append(encoded.Cells, snapshotCell{
			Zone:    zone,
			Epoch:   cell.Epoch,
			Members: sortedMembers(cell.Members),
			Removed: sortedMembers(cell.Removed),
		})
	}
	sort.Slice(encoded.Cells, func(i, j int) bool { return encoded.Cells[i].Zone < encoded.Cells[j].Zone })
	for target, incarnation := range s.Incarnations {
		encoded.Targets = append(encoded.Targets, snapshotTarget{Target: target, Incarnation: incarnation})
	}
	sort.Slice(encoded.Targets, func(i, j int) bool { return encoded.Targets[i].Target < encoded.Targets[j].Target })
	data, err := record.Encode(encoded)
	if err != nil {
		return record.Snapshot{}, ErrSnapshot.Wrap(err, "snapshot cannot be encoded")
	}
	return record.Snapshot{Covers: s.Offset, State: data}, nil
}

type groupKey struct {
	service model.Service
	class   model.Class
	owner   model.TargetID
}

func (s *State) snapshotGroups() []snapshotGroup {
	slots := make([]model.Slot, 0, len(s.Slots))
	for slot := range s.Slots {
		slots = append(slots, slot)
	}
	SortSlots(slots)
	positions := map[groupKey]int{}
	var groups []snapshotGroup
	for _, slot := range slots {
		ownership := s.Slots[slot]
		key := groupKey{service: slot.Service, class: slot.Class, owner: ownership.Owner}
		position, found := positions[key]
		if !found {
			position = len(groups)
			positions[key] = position
			groups = append(groups, snapshotGroup{Service: slot.Service, Class: slot.Class, Owner: ownership.Owner})
		}
		group := &groups[position]
		group.Indices = append(group.Indices, slot.Index)
		group.KeyHashes = append(group.KeyHashes, slot.KeyHash)
		group.Epochs = append(group.Epochs, ownership.Epoch)
	}
	return groups
}

// Load decodes a snapshot. It returns ErrSnapshot if the bytes are malformed.
func Load(snapshot record.Snapshot) (*State, error) {
	var encoded snapshotState
	if err := cbor.Unmarshal(snapshot.State, &encoded); err != nil {
		return nil, ErrSnapshot.Wrap(err, "snapshot is not valid CBOR")
	}
	if encoded.Offset != snapshot.Covers {
		return nil, ErrSnapshot.New("snapshot covers offset %d but holds the state at offset %d", snapshot.Covers, encoded.Offset)
	}
	state := New()
	state.Offset = encoded.Offset
	for _, cell := range encoded.Cells {
		loaded := state.cell(cell.Zone)
		loaded.Epoch = cell.Epoch
		loadMembers(loaded.Members, cell.Members)
		loadMembers(loaded.Removed, cell.Removed)
	}
	for _, group := range encoded.Groups {
		if err := state.loadGroup(group); err != nil {
			return nil, err
		}
	}
	for _, hashes := range state.Splits {
		slices.Sort(hashes)
	}
	for _, target := range encoded.Targets {
		state.Incarnations[target.Target] = target.Incarnation
	}
	return state, nil
}

func loadMembers(into map[model.VMID]record.Member, members []record.Member) {
	for _, member := range members {
		into[member.VM] = member
	}
}

func (s *State) loadGroup(group snapshotGroup) error {
	count := len(group.Indices)
	if len(group.KeyHashes) != count || len(group.Epochs) != count {
		return ErrSnapshot.New("slot group of target %q has lists of different lengths", group.Owner)
	}
	for i := range count {
		slot := model.Slot{
			Service: group.Service,
			Class:   group.Class,
			Index:   group.Indices[i],
			KeyHash: group.KeyHashes[i],
		}
		s.setOwner(slot, group.Owner, group.Epochs[i])
		if slot.IsSplit() {
			parent := slot.Parent()
			s.Splits[parent] = append(s.Splits[parent], slot.KeyHash)
		}
	}
	return nil
}
