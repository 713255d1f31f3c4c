package config

import (
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/record"
)

// Outcome says what an entry of the config stream did.
type Outcome struct {
	Offset model.Offset
	ID     record.ID
	// Applied is true if the entry changed the state; its offset is then the new version.
	Applied bool
	// Err is why a patch was not applied: ErrConflict or ErrInvalid. It is nil for other records.
	Err error
}

// Fold folds the config stream. Folds that consumed the same stream up to the same offset hold the same state. The offset
// and the version never decrease. A Fold is not safe for concurrent use; the states that it returns are.
type Fold struct {
	state  State
	offset model.Offset
}

// NewFold returns a fold before the first record.
func NewFold() *Fold { return &Fold{state: Empty()} }

// State returns the state in force. It is never changed afterwards.
func (f *Fold) State() State { return f.state }

// Offset returns the offset of the last record folded.
func (f *Fold) Offset() model.Offset { return f.offset }

// Next returns the offset of the record to consume next.
func (f *Fold) Next() model.Offset { return f.offset + 1 }

// Consume folds one entry. Entries that were folded before have no effect. An entry behind a gap returns ErrGap, unless it
// is a snapshot that covers more than was folded; Next then returns the offset after the snapshot's cover, from which the
// stream must be read again. ErrSnapshot reports a malformed snapshot behind a gap.
func (f *Fold) Consume(entry record.Entry) (Outcome, error) {
	outcome := Outcome{Offset: entry.Offset, ID: entry.Record.ID}
	if entry.Offset <= f.offset {
		return outcome, nil
	}
	if entry.Offset > f.Next() {
		return outcome, f.consumeBehindGap(entry)
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

// Skip passes over the next record, which cannot be decoded. It returns ErrGap if the offset is not the next.
func (f *Fold) Skip(offset model.Offset) error {
	if offset > f.Next() {
		return f.gap(offset)
	}
	f.offset = max(f.offset, offset)
	return nil
}

func (f *Fold) consumeBehindGap(entry record.Entry) error {
	snapshot := entry.Record.Snapshot
	if snapshot == nil || snapshot.Covers >= entry.Offset || snapshot.Covers <= f.offset {
		return f.gap(entry.Offset)
	}
	return f.LoadSnapshot(*snapshot)
}

func (f *Fold) gap(offset model.Offset) error {
	return ErrGap.New("record %d cannot be folded before record %d", offset, f.Next())
}
