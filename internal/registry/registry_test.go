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
	return fleet.Target{
		ID: model.TargetID(id), Service: "desk", Address: "10.0.0.1:80", Zone: "a", Slots: 4, StartedAtMillis: 7,
	}
}

func newRegistry() *Registry { return New(map[model.Zone]model.Region{"a": "north", "b": "south"}) }

// Guards against requests to a target that has left: a removal written after an outage of the store was treated as an
// expiry during the outage, so the target got requests for another 2.1 s.
func TestRemovalAfterOutageIsFinal(t *testing.T) {
	r := newRegistry()
	r.Report(at(0), target("x"), 0)
	r.SetStoreAvailable(at(time.Second), false)
	r.SetStoreAvailable(at(5*time.Second), true)
	assert.True(t, r.Remove(at(6800*time.Millisecond), "x"))
	assert.Equal(t, 0, r.Len())
}

// Verifies that a target whose entry expired during an outage of the store is kept if it registers again within two
// seconds.
func TestExpiredEntryMayReturn(t *testing.T) {
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

// Guards against full load on cold targets: targets of a zone that is restored to service may be cold, and their
// reports show this only after a delay.
func TestRestoredZoneWaitsForReports(t *testing.T) {
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

// Verifies that a target that could not be reached gets no requests before its next report, because it may have
// restarted and be cold.
func TestUnreachableTargetNeedsReport(t *testing.T) {
	r := newRegistry()
	r.Report(at(0), target("x"), 0)
	incarnation := fleet.Incarnation{ID: "x", StartedAtMillis: 7}
	r.RecordFailure(at(time.Second), incarnation)
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

// Verifies that a report of an earlier incarnation that is read late doesn't replace a newer incarnation.
func TestReportOfFormerIncarnationIsIgnored(t *testing.T) {
	r := newRegistry()
	r.Report(at(0), target("x"), 0)
	old := target("x")
	old.StartedAtMillis = 3
	assert.False(t, r.Report(at(time.Second), old, 0))
	entry, _ := r.Lookup(at(time.Second), "x")
	assert.Equal(t, int64(7), entry.Target.StartedAtMillis)
}

// A target that announced its stop in a response gets no requests, whatever the store says of it later; a later
// incarnation with its ID does.
func TestAnnouncedStopIsFinal(t *testing.T) {
	r := newRegistry()
	r.Report(at(0), target("x"), 0)
	incarnation := fleet.Incarnation{ID: "x", StartedAtMillis: 7}
	assert.True(t, r.MarkLeaving(at(time.Second), incarnation))
	assert.False(t, r.MarkLeaving(at(2*time.Second), incarnation))
	assert.Equal(t, []fleet.Incarnation{incarnation}, r.MarkedLeaving())
	unusable := func(now time.Duration) {
		entry, found := r.Lookup(at(now), "x")
		assert.True(t, found)
		assert.Equal(t, Unavailable, entry.State)
		assert.True(t, entry.Leaving)
	}
	r.Report(at(3*time.Second), target("x"), 0)
	unusable(3 * time.Second)
	r.SetStoreAvailable(at(4*time.Second), false)
	r.Expire(at(leavingRetention + time.Minute))
	unusable(leavingRetention + time.Minute)
	r.SetStoreAvailable(at(leavingRetention+time.Minute), true)
	r.Remove(at(leavingRetention+time.Hour), "x")
	r.Report(at(leavingRetention+time.Hour), target("x"), 0)
	unusable(leavingRetention + time.Hour)
	next := target("x")
	next.StartedAtMillis = 8
	r.Report(at(2*time.Hour), next, 0)
	entry, _ := r.Lookup(at(2*time.Hour), "x")
	assert.Equal(t, Serving, entry.State)
	assert.Empty(t, r.MarkedLeaving())
	r.Expire(at(2 * time.Hour))
	assert.Empty(t, r.leaving, "marks of former incarnations are dropped")
}

// A target gets no requests for as long as it asked for, and is available at once afterwards; it keeps its keys.
func TestPausedTargetGetsNoRequests(t *testing.T) {
	r := newRegistry()
	r.Report(at(0), target("x"), 0)
	incarnation := fleet.Incarnation{ID: "x", StartedAtMillis: 7}
	r.Pause(at(0), incarnation, at(2*time.Second))
	r.Pause(at(500*time.Millisecond), incarnation, at(time.Second))
	r.Report(at(time.Second), target("x"), 0)
	entry, _ := r.Lookup(at(1500*time.Millisecond), "x")
	assert.Equal(t, Paused, entry.State)
	assert.Equal(t, 500*time.Millisecond, entry.PauseLeft)
	assert.False(t, entry.Leaving)
	entry, _ = r.Lookup(at(2*time.Second), "x")
	assert.Equal(t, Serving, entry.State)
	r.Expire(at(3 * time.Second))
	assert.Empty(t, r.paused)
}
