package control

import (
	"github.com/tarragonpoint/tarragonpoint/internal/assign"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/record"
)

// assignFold adapts assign.State to the fold interface and keeps the verdict of each applied record until popVerdict
// returns it.
type assignFold struct {
	state    *assign.State
	verdicts map[model.Offset]assign.Verdict
}

func (f *assignFold) Offset() model.Offset { return f.state.Offset }

func (f *assignFold) Apply(entry record.Entry) error {
	verdict, err := f.state.Apply(entry)
	if err != nil {
		return err
	}
	if f.verdicts == nil {
		f.verdicts = map[model.Offset]assign.Verdict{}
	}
	f.verdicts[entry.Offset] = verdict
	return nil
}

func (f *assignFold) popVerdict(offset model.Offset) assign.Verdict {
	verdict := f.verdicts[offset]
	delete(f.verdicts, offset)
	return verdict
}

func (f *assignFold) Snapshot() (record.Snapshot, error) { return f.state.Snapshot() }

func (f *assignFold) Load(snapshot record.Snapshot) error {
	state, err := assign.Load(snapshot)
	if err != nil {
		return err
	}
	f.state = state
	f.verdicts = nil
	return nil
}
