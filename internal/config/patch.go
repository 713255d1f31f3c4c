package config

import (
	"bytes"

	"github.com/joomcode/errorx"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/record"
)

// MaxPatchBytes is the maximum size of a patch, in bytes of encoded entities and names. Larger changes must be
// published in parts.
const MaxPatchBytes = 1 << 20

var conflictProperty = errorx.RegisterProperty("config_conflict")

// Conflict describes a patch whose base is not the current version.
type Conflict struct {
	// Base is the version on which the patch is based.
	Base model.Offset
	// Current is the current version.
	Current model.Offset
	// Author is the author of the current version.
	Author string
}

// ConflictOf returns the conflict that an error carries, and whether it carries one.
func ConflictOf(err error) (Conflict, bool) {
	value, found := errorx.ExtractProperty(err, conflictProperty)
	if !found {
		return Conflict{}, false
	}
	conflict, ok := value.(Conflict)
	return conflict, ok
}

// CheckBase returns ErrConflict if base is not the version of the state.
func CheckBase(state State, base model.Offset) error {
	if base == state.Version {
		return nil
	}
	conflict := Conflict{Base: base, Current: state.Version, Author: state.Author}
	return ErrConflict.New("the change is based on version %d, but the current version is %d, published by %q", base, state.Version, state.Author).
		WithProperty(conflictProperty, conflict)
}

// Diff returns the patch that yields the state to when applied to the state from. Set and Delete are empty if the two
// are equal. It returns ErrTooLarge if the patch exceeds MaxPatchBytes.
func Diff(from, to State, author string) (record.ConfigPatch, error) {
	patch := record.ConfigPatch{Author: author, Base: from.Version}
	before, err := from.documents()
	if err != nil {
		return record.ConfigPatch{}, err
	}
	after, err := to.documents()
	if err != nil {
		return record.ConfigPatch{}, err
	}
	size := 0
	for _, key := range sortedKeys(after) {
		if !bytes.Equal(before[key], after[key]) {
			patch.Set = append(patch.Set, record.Entity{Key: key, Document: after[key]})
			size += len(after[key]) + len(key.Name)
		}
	}
	for _, key := range sortedKeys(before) {
		if _, kept := after[key]; !kept {
			patch.Delete = append(patch.Delete, key)
			size += len(key.Name)
		}
	}
	if size > MaxPatchBytes {
		return record.ConfigPatch{}, ErrTooLarge.New("the change has %d bytes, at most %d are allowed", size, MaxPatchBytes)
	}
	return patch, nil
}

// documents returns the encoded entities of the state by key.
func (s State) documents() (map[record.EntityKey][]byte, error) {
	documents := map[record.EntityKey][]byte{}
	for key, entity := range s.entities() {
		document, err := record.Encode(entity)
		if err != nil {
			return nil, ErrInvalid.Wrap(err, "%s %q cannot be encoded", key.Kind, key.Name)
		}
		documents[key] = document
	}
	return documents, nil
}

// Apply applies the patch at the given offset atomically. It returns ErrConflict if the base is not the version of the
// state, and ErrInvalid if the patch, the resulting state or the transition is not allowed. In case of an error it
// returns the state unchanged. The result depends on the arguments only.
func Apply(state State, offset model.Offset, patch record.ConfigPatch) (State, error) {
	if err := CheckBase(state, patch.Base); err != nil {
		return state, err
	}
	if offset <= state.Version {
		return state, ErrInvalid.New("patch at offset %d is not after version %d", offset, state.Version)
	}
	changed, err := state.applyEntities(patch)
	if err != nil {
		return state, err
	}
	problems := append(check(changed), checkTransition(state, changed)...)
	if err := problems.sorted().asError(ErrInvalid); err != nil {
		return state, err
	}
	changed.Version = offset
	changed.Author = patch.Author
	return changed, nil
}

// applyEntities returns a copy of the state with the entities of the patch set and deleted. It does not validate the
// result.
func (s State) applyEntities(patch record.ConfigPatch) (State, error) {
	changed := s.Clone()
	named := map[record.EntityKey]bool{}
	for _, key := range keysOf(patch) {
		if named[key] {
			return s, ErrInvalid.New("patch contains %s %q twice", key.Kind, key.Name)
		}
		named[key] = true
	}
	if len(named) == 0 {
		return s, ErrInvalid.New("patch changes nothing")
	}
	var err error
	for _, entity := range patch.Set {
		if changed, err = changed.set(entity); err != nil {
			return s, err
		}
	}
	for _, key := range patch.Delete {
		if err := changed.remove(key); err != nil {
			return s, err
		}
	}
	return changed, nil
}

func keysOf(patch record.ConfigPatch) []record.EntityKey {
	keys := make([]record.EntityKey, 0, len(patch.Set)+len(patch.Delete))
	for _, entity := range patch.Set {
		keys = append(keys, entity.Key)
	}
	return append(keys, patch.Delete...)
}
