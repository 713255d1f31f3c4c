package control

import (
	"github.com/tarragonpoint/tarragonpoint/internal/config"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/record"
)

// configFold adapts config.Fold to the fold interface.
type configFold struct{ fold *config.Fold }

func newConfigFold() *configFold { return &configFold{fold: config.NewFold()} }

// State returns the current configuration.
func (f *configFold) State() config.State { return f.fold.State() }

func (f *configFold) Offset() model.Offset { return f.fold.Offset() }

// Apply folds the next record. A rejected patch advances the offset but changes nothing else.
func (f *configFold) Apply(entry record.Entry) error {
	_, err := f.fold.Consume(entry)
	return err
}

func (f *configFold) Snapshot() (record.Snapshot, error) { return f.fold.EncodeSnapshot() }

func (f *configFold) Load(snapshot record.Snapshot) error { return f.fold.LoadSnapshot(snapshot) }
