package config

import (
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/record"
)

// Outcome is the effect of one entry of the config stream.
type Outcome struct {
	Offset model.Offset
	ID     record.ID
	// Applied is true if the entry was a patch that was applied; its offset is then the new version.
	Applied bool
	// Err is ErrConflict or ErrInvalid if a patch was rejected, otherwise nil.
	Err error
}

// Fold computes the state from the entries of the config stream. Folds that consumed the same stream up to the same
// offset have the same state. The offset and the version never decrease. A Fold is not safe for concurrent use; the
// states that it returns are.
type Fold struct {
	state  State
	offset model.Offset
}

// NewFold returns a fold that has consumed no record.
func NewFold() *Fold { return &Fold{state: Empty()} }

// State returns the current state. The fold does not modify a state that it has returned.
func (f *Fold) State() State { return f.state }

// Offset returns the offset of the last record that was consumed or skipped, or that a loaded snapshot covers.
func (f *Fold) Offset() model.Offset { return f.offset }

// Next returns the offset of the record to consume next.
func (f *Fold) Next() model.Offset { return f.offset + 1 }

// Consume applies one entry. An entry at or before Offset has no effect. For an entry after a gap it returns ErrGap,
// unless the entry is a snapshot that covers more than Offset: then the snapshot is loaded, and the stream must be read
// again from Next, the offset after the last one covered. It returns ErrSnapshot for a malformed snapshot after a gap.
func (f *Fold) Consume(entry record.Entry) (Outcome, error) {
	outcome := Outcome{Offset: entry.Offset, ID: entry.Record.ID}
	if entry.Offset <= f.offset {
		return outcome, nil
	}
	if entry.Offset > f.Next() {
		return outcome, f.consumeAfterGap(entry)
	}
	if patch := entry.Record.ConfigPatch; patch != nil {
		applied, err := Apply(f.state, entry.Offset, *patch)
		outcome.Applied = err == nil
		outcome.Err = err
		f.state = applied
	}
	f.offset = entry.Offset
	return outcome, nil
}

// Skip skips the record at the offset, which cannot be decoded. It returns ErrGap if the offset is after Next; an
// offset before Next has no effect.
func (f *Fold) Skip(offset model.Offset) error {
	if offset > f.Next() {
		return f.gapError(offset)
	}
	f.offset = max(f.offset, offset)
	return nil
}

func (f *Fold) consumeAfterGap(entry record.Entry) error {
	snapshot := entry.Record.Snapshot
	if snapshot == nil || snapshot.Covers >= entry.Offset || snapshot.Covers <= f.offset {
		return f.gapError(entry.Offset)
	}
	return f.LoadSnapshot(*snapshot)
}

func (f *Fold) gapError(offset model.Offset) error {
	return ErrGap.New("record %d cannot be applied before record %d", offset, f.Next())
}
