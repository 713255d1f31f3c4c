package config

import (
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/record"
)

// snapshotState is the encoded form of a State.
type snapshotState struct {
	Version  model.Offset    `cbor:"1,keyasint"`
	Author   string          `cbor:"2,keyasint"`
	Entities []record.Entity `cbor:"3,keyasint"`
}

// EncodeSnapshot returns a snapshot that covers all records up to Offset.
func (f *Fold) EncodeSnapshot() (record.Snapshot, error) {
	documents, err := f.state.documents()
	if err != nil {
		return record.Snapshot{}, err
	}
	encoded := snapshotState{Version: f.state.Version, Author: f.state.Author}
	for _, key := range sortedKeys(documents) {
		encoded.Entities = append(encoded.Entities, record.Entity{Key: key, Document: documents[key]})
	}
	data, err := record.Encode(encoded)
	if err != nil {
		return record.Snapshot{}, ErrSnapshot.Wrap(err, "snapshot cannot be encoded")
	}
	return record.Snapshot{Covers: f.offset, State: data}, nil
}

// LoadSnapshot replaces the state by the snapshot if it covers more than Offset; otherwise it has no effect. It returns
// ErrSnapshot and leaves the fold unchanged if the snapshot is malformed or would decrease the version.
func (f *Fold) LoadSnapshot(snapshot record.Snapshot) error {
	if snapshot.Covers <= f.offset {
		return nil
	}
	loaded, err := decodeSnapshot(snapshot)
	if err != nil {
		return err
	}
	if loaded.Version < f.state.Version {
		return ErrSnapshot.New("snapshot has version %d, which is before version %d", loaded.Version, f.state.Version)
	}
	f.state = loaded
	f.offset = snapshot.Covers
	return nil
}

func decodeSnapshot(snapshot record.Snapshot) (State, error) {
	var decoded snapshotState
	if err := decMode.Unmarshal(snapshot.State, &decoded); err != nil {
		return State{}, ErrSnapshot.Wrap(err, "snapshot is malformed")
	}
	if decoded.Version > snapshot.Covers {
		return State{}, ErrSnapshot.New("snapshot of version %d covers records only up to offset %d", decoded.Version, snapshot.Covers)
	}
	state := Empty()
	var err error
	for _, entity := range decoded.Entities {
		if state, err = state.set(entity); err != nil {
			return State{}, ErrSnapshot.Wrap(err, "snapshot has a malformed entity")
		}
	}
	state.Version = decoded.Version
	state.Author = decoded.Author
	return state, nil
}
