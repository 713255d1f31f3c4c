package config

import (
	"testing"

	"github.com/joomcode/errorx"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/record"
)

func typeOf(err error) *errorx.Type {
	cast := errorx.Cast(err)
	if cast == nil {
		return nil
	}
	return cast.Type()
}

func published(t *testing.T) State {
	t.Helper()
	loaded, err := load(t, testInventory, "")
	require.NoError(t, err)
	patch, err := Diff(Empty(), loaded.State, "ana")
	require.NoError(t, err)
	state, err := Apply(Empty(), 1, patch)
	require.NoError(t, err)
	return state
}

// TestForbiddenTransitions guards against changes that could give a key two owners or leave it without one.
func TestForbiddenTransitions(t *testing.T) {
	cases := map[string]func(*State){
		"slots":                  func(s *State) { edit(s.Services, "desk", func(e *Service) { e.Slots = 32 }) },
		"keyed":                  func(s *State) { edit(s.Services, "desk", func(e *Service) { e.Keyed = false }) },
		"home regions":           func(s *State) { edit(s.Tenants, "acme", func(e *Tenant) { e.HomeRegions = nil }) },
		"tenant not suspended":   func(s *State) { delete(s.Tenants, "acme") },
		"target's VM":            func(s *State) { edit(s.Targets, "desk-1", func(e *Target) { e.VM = "vm-2" }) },
		"target of declared key": func(s *State) { delete(s.Targets, "desk-1") },
		"service with targets":   func(s *State) { delete(s.Services, "desk") },
		"region with zones":      func(s *State) { delete(s.Regions, "north") },
		"home regions and suspension at once": func(s *State) {
			edit(s.Tenants, "acme", func(e *Tenant) { e.HomeRegions, e.Suspended = []model.Region{"north", "south"}, true })
		},
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			before := published(t)
			after := before.Clone()
			change(&after)
			patch, err := Diff(before, after, "ben")
			require.NoError(t, err)
			kept, err := Apply(before, 2, patch)
			require.True(t, ErrInvalid == typeOf(err), "%v", err)
			assert.Equal(t, before, kept)
		})
	}
}

// TestSuspendedTenantMayChangeHomeRegions guards against rules under which home regions could never change.
func TestSuspendedTenantMayChangeHomeRegions(t *testing.T) {
	state := published(t)
	for offset, change := range []func(*Tenant){
		func(e *Tenant) { e.Suspended = true },
		func(e *Tenant) { e.HomeRegions = []model.Region{"north", "south"} },
		func(e *Tenant) { e.Suspended = false },
	} {
		next := state.Clone()
		edit(next.Tenants, "acme", change)
		patch, err := Diff(state, next, "ben")
		require.NoError(t, err)
		state, err = Apply(state, model.Offset(offset+2), patch)
		require.NoError(t, err)
	}
	assert.Equal(t, model.Class("north+south"), state.ClassOf("acme"))
}

func edit[N comparable, E any](entities map[N]E, name N, change func(*E)) {
	entity := entities[name]
	change(&entity)
	entities[name] = entity
}

// TestHomeRegionsMayNotChangeOnResume guards against entry VMs that serve the old placement class while others already
// serve the new one.
func TestHomeRegionsMayNotChangeOnResume(t *testing.T) {
	suspended := published(t).Clone()
	edit(suspended.Tenants, "acme", func(e *Tenant) { e.Suspended = true })
	resumed := suspended.Clone()
	edit(resumed.Tenants, "acme", func(e *Tenant) { e.Suspended, e.HomeRegions = false, []model.Region{"north", "south"} })
	patch, err := Diff(suspended, resumed, "ben")
	require.NoError(t, err)
	_, err = Apply(suspended, 2, patch)
	assert.True(t, ErrInvalid == typeOf(err), "%v", err)
}

// TestConflictCarriesBothVersions guards against conflict errors without the versions that an operator needs to resolve
// them.
func TestConflictCarriesBothVersions(t *testing.T) {
	state := published(t)
	_, err := Apply(state, 9, record.ConfigPatch{Author: "ben", Base: 0})
	conflict, found := ConflictOf(errorx.Decorate(err, "publish"))
	require.True(t, found)
	assert.Equal(t, Conflict{Base: 0, Current: 1, Author: "ana"}, conflict)
	_, err = Apply(state, 9, record.ConfigPatch{Author: "ben", Base: 2})
	assert.True(t, ErrConflict == typeOf(err), "a base after the current version is a conflict as well: %v", err)
}

// TestRacingPatches guards against folds that diverge, versions that decrease, and rejected patches that change the
// state. The model that it compares with tracks only the version and the zones out of service, and shares no code with
// the fold.
func TestRacingPatches(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		race := newRace(t)
		r.Repeat(map[string]func(*rapid.T){
			"publish": race.publish,
			"deliver": race.deliver,
			"restart": race.restart,
		})
		for i := range race.folds {
			race.catchUp(r, i)
			require.Equal(r, race.folds[0].State(), race.folds[i].State())
		}
		require.Equal(r, race.version, race.folds[0].State().Version)
		for zone, out := range race.out {
			require.Equal(r, out, race.folds[0].State().Zones[zone].OutOfService)
		}
	})
}

const raceFolds = 3

type race struct {
	stream    []record.Entry
	folds     []*Fold
	snapshots []record.Snapshot
	version   model.Offset
	out       map[model.Zone]bool
}

func newRace(t *testing.T) *race {
	patch, err := Diff(Empty(), published(t), "ana")
	require.NoError(t, err)
	first := record.Entry{Offset: 1, Record: record.Record{ID: record.NewID(), ConfigPatch: &patch}}
	created := &race{stream: []record.Entry{first}, version: 1, out: map[model.Zone]bool{"north-a": false, "south-a": false}}
	for range raceFolds {
		created.folds = append(created.folds, NewFold())
	}
	return created
}

// publish appends a patch based on the state of a random fold, which may lag behind the stream. Some patches are
// invalid as well.
func (r *race) publish(t *rapid.T) {
	from := r.folds[rapid.IntRange(0, raceFolds-1).Draw(t, "fold")].State()
	if from.Version == 0 {
		t.Skip("the fold is empty")
	}
	zone := rapid.SampledFrom([]model.Zone{"north-a", "south-a"}).Draw(t, "zone")
	isBroken := rapid.Bool().Draw(t, "broken")
	to := from.Clone()
	edit(to.Zones, zone, func(e *Zone) { e.OutOfService = !e.OutOfService })
	if isBroken {
		edit(to.Services, "desk", func(e *Service) { e.Slots++ })
	}
	patch, err := Diff(from, to, "ben")
	require.NoError(t, err)
	offset := model.Offset(len(r.stream) + 1)
	r.stream = append(r.stream, record.Entry{Offset: offset, Record: record.Record{ID: record.NewID(), ConfigPatch: &patch}})
	if from.Version == r.version && !isBroken {
		r.version = offset
		r.out[zone] = !r.out[zone]
	}
}

func (r *race) deliver(t *rapid.T) {
	fold := r.folds[rapid.IntRange(0, raceFolds-1).Draw(t, "fold")]
	entry := r.stream[rapid.IntRange(0, len(r.stream)-1).Draw(t, "entry")]
	before := fold.State()
	outcome, err := fold.Consume(entry)
	if entry.Offset > fold.Next() {
		require.True(t, ErrGap == typeOf(err))
	}
	require.GreaterOrEqual(t, fold.State().Version, before.Version)
	if !outcome.Applied {
		require.Equal(t, before, fold.State())
	}
}

// restart replaces a fold by a new one that loads a random earlier snapshot of any fold.
func (r *race) restart(t *rapid.T) {
	index := rapid.IntRange(0, raceFolds-1).Draw(t, "fold")
	snapshot, err := r.folds[index].EncodeSnapshot()
	require.NoError(t, err)
	r.snapshots = append(r.snapshots, snapshot)
	r.folds[index] = NewFold()
	chosen := rapid.SampledFrom(r.snapshots).Draw(t, "snapshot")
	require.NoError(t, r.folds[index].LoadSnapshot(chosen))
	require.Equal(t, chosen.Covers, r.folds[index].Offset())
}

func (r *race) catchUp(t *rapid.T, index int) {
	for _, entry := range r.stream {
		_, err := r.folds[index].Consume(entry)
		require.NoError(t, err)
	}
}

// TestSnapshotAfterGap guards against a fold that applies a patch although earlier records have expired unread.
func TestSnapshotAfterGap(t *testing.T) {
	race := newRace(t)
	_, err := race.folds[0].Consume(race.stream[0])
	require.NoError(t, err)
	snapshot, err := race.folds[0].EncodeSnapshot()
	require.NoError(t, err)
	late := NewFold()
	patch := record.ConfigPatch{Author: "ben", Base: 0}
	_, err = late.Consume(record.Entry{Offset: 2, Record: record.Record{ConfigPatch: &patch}})
	require.True(t, ErrGap == typeOf(err))
	ahead := record.Snapshot{Covers: 3, State: snapshot.State}
	_, err = late.Consume(record.Entry{Offset: 3, Record: record.Record{Snapshot: &ahead}})
	require.True(t, ErrGap == typeOf(err), "a snapshot cannot cover itself")
	_, err = late.Consume(record.Entry{Offset: 3, Record: record.Record{Snapshot: &snapshot}})
	require.NoError(t, err)
	assert.Equal(t, model.Offset(2), late.Next())
	assert.Equal(t, race.folds[0].State(), late.State())
	require.Error(t, late.LoadSnapshot(record.Snapshot{Covers: 8, State: []byte{0xff}}))
	assert.Equal(t, model.Offset(2), late.Next())
}

// TestStaleRecordsDoNotRevertState guards against duplicate or late records and snapshots that undo newer ones.
func TestStaleRecordsDoNotRevertState(t *testing.T) {
	race := newRace(t)
	fold := race.folds[0]
	old, err := fold.EncodeSnapshot()
	require.NoError(t, err)
	_, err = fold.Consume(race.stream[0])
	require.NoError(t, err)
	again, err := fold.Consume(race.stream[0])
	require.NoError(t, err)
	assert.Equal(t, Outcome{Offset: 1, ID: race.stream[0].Record.ID}, again, "a duplicate has no outcome of its own")
	require.NoError(t, fold.LoadSnapshot(old))
	assert.Equal(t, model.Offset(1), fold.State().Version)
	reverted := record.Snapshot{Covers: 5, State: old.State}
	require.True(t, ErrSnapshot == typeOf(fold.LoadSnapshot(reverted)))
	assert.Equal(t, model.Offset(1), fold.Offset())
}
