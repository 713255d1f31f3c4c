package registry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/tarragonpoint/tarragonpoint/internal/fleet"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

func at(t time.Duration) model.Instant { return model.Instant(time.Hour + t) }

func target(id string) fleet.Target {
	return fleet.Target{ID: model.TargetID(id), Service: "desk", Address: "10.0.0.1:80", Zone: "a", Slots: 4, StartedAtMillis: 7}
}

func newRegistry() *Registry { return New(map[model.Zone]model.Region{"a": "north", "b": "south"}) }

// A removal written after an outage was taken for a lapse, so that a leaving target got work for 2.1 s.
func TestRemovalAfterOutageIsFinal(t *testing.T) {
	r := newRegistry()
	r.Report(at(0), target("x"), 0)
	r.SetStoreAvailable(at(time.Second), false)
	r.SetStoreAvailable(at(5*time.Second), true)
	assert.True(t, r.Remove(at(6800*time.Millisecond), "x"))
	assert.Equal(t, 0, r.Len())
}

// A target whose entry lapsed while the store was away lives on if its entry returns within two seconds.
func TestLapsedEntryMayReturn(t *testing.T) {
	r := newRegistry()
	r.Report(at(0), target("x"), 0)
	r.Report(at(0), target("y"), 0)
	r.SetStoreAvailable(at(time.Second), false)
	r.SetStoreAvailable(at(5*time.Second), true)
	assert.False(t, r.Remove(at(5010*time.Millisecond), "x"))
	assert.False(t, r.Remove(at(5010*time.Millisecond), "y"))
	r.Report(at(6*time.Second), target("x"), 0)
	assert.Empty(t, r.Expire(at(6700*time.Millisecond)))
	assert.Equal(t, []model.TargetID{"y"}, r.Expire(at(7300*time.Millisecond)))
	entry, found := r.Lookup(at(8*time.Second), "x")
	assert.True(t, found)
	assert.Equal(t, Serving, entry.State)
}

// Targets of a zone that is taken back may be cold, which their reports tell only after a while.
func TestReturnedZoneWaitsForReports(t *testing.T) {
	r := newRegistry()
	r.Report(at(0), target("x"), 0)
	r.SetEvacuated(at(time.Second), "a", true)
	entry, _ := r.Lookup(at(2*time.Second), "x")
	assert.Equal(t, Unavailable, entry.State)
	assert.True(t, entry.Leaving)
	r.SetEvacuated(at(10*time.Second), "a", false)
	entry, _ = r.Lookup(at(11*time.Second), "x")
	assert.Equal(t, Unavailable, entry.State)
	entry, _ = r.Lookup(at(12100*time.Millisecond), "x")
	assert.Equal(t, Serving, entry.State)
}

// A target that could not be reached may have come back cold, so it gets no work before its next report.
func TestUnreachableTargetNeedsReport(t *testing.T) {
	r := newRegistry()
	r.Report(at(0), target("x"), 0)
	life := fleet.Incarnation{ID: "x", StartedAtMillis: 7}
	r.RecordFailure(at(time.Second), life)
	entry, _ := r.Lookup(at(2*time.Second), "x")
	assert.Equal(t, Unavailable, entry.State)
	assert.Len(t, r.FailedTargets(), 1)
	r.Report(at(3*time.Second), target("x"), 2*time.Second)
	entry, _ = r.Lookup(at(4*time.Second), "x")
	assert.Equal(t, Cold, entry.State)
	entry, _ = r.Lookup(at(5100*time.Millisecond), "x")
	assert.Equal(t, Serving, entry.State)
	assert.Empty(t, r.FailedTargets())
}

// Reports of a former life that are read late must not replace a newer life.
func TestReportOfFormerLifeIsIgnored(t *testing.T) {
	r := newRegistry()
	r.Report(at(0), target("x"), 0)
	old := target("x")
	old.StartedAtMillis = 3
	assert.False(t, r.Report(at(time.Second), old, 0))
	entry, _ := r.Lookup(at(time.Second), "x")
	assert.Equal(t, int64(7), entry.Target.StartedAtMillis)
}
