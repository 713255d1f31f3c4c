package registry

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

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

// report records a registration that was written just before now.
func report(r *Registry, now model.Instant, target fleet.Target, coldLeft time.Duration) bool {
	return r.Report(now, target, coldLeft, now)
}

// Guards against requests to a target that has left: a removal written after an outage of the store was treated as an
// expiry during the outage, so the target got requests for another 2.1 s.
func TestRemovalAfterOutageIsFinal(t *testing.T) {
	r := newRegistry()
	report(r, at(0), target("x"), 0)
	r.SetStoreAvailable(at(time.Second), false)
	r.SetStoreAvailable(at(5*time.Second), true)
	assert.True(t, r.Remove(at(6800*time.Millisecond), "x"))
	assert.Equal(t, 0, r.Len())
}

// Verifies that a target whose entry expired during an outage of the store is kept if it registers again within two
// seconds.
func TestExpiredEntryMayReturn(t *testing.T) {
	r := newRegistry()
	report(r, at(0), target("x"), 0)
	report(r, at(0), target("y"), 0)
	r.SetStoreAvailable(at(time.Second), false)
	r.SetStoreAvailable(at(5*time.Second), true)
	assert.False(t, r.Remove(at(5010*time.Millisecond), "x"))
	assert.False(t, r.Remove(at(5010*time.Millisecond), "y"))
	report(r, at(6*time.Second), target("x"), 0)
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
	report(r, at(0), target("x"), 0)
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
	report(r, at(0), target("x"), 0)
	incarnation := fleet.Incarnation{ID: "x", StartedAtMillis: 7}
	r.RecordFailure(at(time.Second), incarnation)
	entry, _ := r.Lookup(at(2*time.Second), "x")
	assert.Equal(t, Unavailable, entry.State)
	assert.Len(t, r.FailedTargets(), 1)
	report(r, at(3*time.Second), target("x"), 2*time.Second)
	entry, _ = r.Lookup(at(4*time.Second), "x")
	assert.Equal(t, Cold, entry.State)
	entry, _ = r.Lookup(at(5100*time.Millisecond), "x")
	assert.Equal(t, Serving, entry.State)
	assert.Empty(t, r.FailedTargets())
}

// Guards against requests to a target that restarted, with the same ID and address, after this VM could not reach it: a report
// that its former incarnation had written before the failure, and that was read after it, made the target usable.
func TestReportWrittenBeforeAFailureDoesNotEndIt(t *testing.T) {
	r := newRegistry()
	report(r, at(0), target("x"), 0)
	incarnation := fleet.Incarnation{ID: "x", StartedAtMillis: 7}
	r.RecordFailure(at(time.Second), incarnation)
	state := func(now time.Duration) State {
		entry, found := r.Lookup(at(now), "x")
		require.True(t, found)
		return entry.State
	}
	assert.False(t, r.Report(at(2*time.Second), target("x"), 0, 0), "not known when it was written")
	assert.False(t, r.Report(at(3*time.Second), target("x"), 0, at(999*time.Millisecond)))
	assert.Equal(t, Unavailable, state(3*time.Second))
	assert.Equal(t, []model.TargetID{"x"}, r.FailedTargets())

	require.True(t, r.Remove(at(4*time.Second), "x"))
	assert.Empty(t, r.FailedTargets())
	r.Report(at(5*time.Second), target("x"), 0, at(999*time.Millisecond))
	assert.Equal(t, Unavailable, state(5*time.Second), "a late report after the removal")

	assert.True(t, r.Report(at(6*time.Second), target("x"), 0, at(time.Second)), "usable again, which other VMs have to know")
	assert.Equal(t, Serving, state(6*time.Second))

	r.RecordFailure(at(7*time.Second), incarnation)
	restarted := target("x")
	restarted.StartedAtMillis = 8
	assert.True(t, r.Report(at(8*time.Second), restarted, 3*time.Second, 0))
	assert.Equal(t, Cold, state(8*time.Second), "a later incarnation is usable at once")
	r.Expire(at(7*time.Second + lateReportLimit))
	assert.Empty(t, r.failed, "failures of former incarnations are dropped")
}

// Verifies that a report of an earlier incarnation that is read late doesn't replace a newer incarnation.
func TestReportOfFormerIncarnationIsIgnored(t *testing.T) {
	r := newRegistry()
	report(r, at(0), target("x"), 0)
	old := target("x")
	old.StartedAtMillis = 3
	assert.False(t, report(r, at(time.Second), old, 0))
	entry, _ := r.Lookup(at(time.Second), "x")
	assert.Equal(t, int64(7), entry.Target.StartedAtMillis)
}

// A target that announced its stop in a response gets no requests, whatever the store says of it later; a later
// incarnation with its ID does.
func TestAnnouncedStopIsFinal(t *testing.T) {
	r := newRegistry()
	report(r, at(0), target("x"), 0)
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
	report(r, at(3*time.Second), target("x"), 0)
	unusable(3 * time.Second)
	r.SetStoreAvailable(at(4*time.Second), false)
	r.Expire(at(leavingRetention + time.Minute))
	unusable(leavingRetention + time.Minute)
	r.SetStoreAvailable(at(leavingRetention+time.Minute), true)
	r.Remove(at(leavingRetention+time.Hour), "x")
	report(r, at(leavingRetention+time.Hour), target("x"), 0)
	unusable(leavingRetention + time.Hour)
	next := target("x")
	next.StartedAtMillis = 8
	report(r, at(2*time.Hour), next, 0)
	entry, _ := r.Lookup(at(2*time.Hour), "x")
	assert.Equal(t, Serving, entry.State)
	assert.Empty(t, r.MarkedLeaving())
	r.Expire(at(2 * time.Hour))
	assert.Empty(t, r.leaving, "marks of former incarnations are dropped")
}

// A target gets no requests for as long as it asked for, and is available at once afterwards; it keeps its keys.
func TestPausedTargetGetsNoRequests(t *testing.T) {
	r := newRegistry()
	report(r, at(0), target("x"), 0)
	incarnation := fleet.Incarnation{ID: "x", StartedAtMillis: 7}
	r.Pause(at(0), incarnation, at(2*time.Second))
	r.Pause(at(500*time.Millisecond), incarnation, at(time.Second))
	report(r, at(time.Second), target("x"), 0)
	entry, _ := r.Lookup(at(1500*time.Millisecond), "x")
	assert.Equal(t, Paused, entry.State)
	assert.Equal(t, 500*time.Millisecond, entry.PauseLeft)
	assert.False(t, entry.Leaving)
	entry, _ = r.Lookup(at(2*time.Second), "x")
	assert.Equal(t, Serving, entry.State)
	r.Expire(at(3 * time.Second))
	assert.Empty(t, r.paused)
}

// Guards against requests to a target that is leaving: the store may execute a write whose response was lost seconds later,
// so an earlier report arrived after the one that announced the stop and took it back.
func TestLateReportDoesNotReplaceNewerOne(t *testing.T) {
	r := newRegistry()
	reportNumber := func(after time.Duration, number uint64, draining bool) bool {
		reported := target("x")
		reported.Report, reported.Draining = number, draining
		return report(r, at(after), reported, 0)
	}
	reportNumber(0, 7, false)
	assert.True(t, reportNumber(3*time.Second, 9, true))
	assert.False(t, reportNumber(5*time.Second, 8, false))
	entry, _ := r.Lookup(at(5*time.Second), "x")
	assert.True(t, entry.Leaving, "the stop is not taken back")
	assert.Equal(t, Unavailable, entry.State)

	require.True(t, r.Remove(at(6*time.Second), "x"))
	r.Expire(at(7 * time.Second))
	assert.False(t, reportNumber(8*time.Second, 8, false))
	assert.Equal(t, 0, r.Len(), "a removed target does not return")

	assert.True(t, reportNumber(9*time.Second, 10, false), "an entry that expired returns with a later report")
	restarted := target("x")
	restarted.StartedAtMillis, restarted.Report = 8, 1
	assert.True(t, report(r, at(10*time.Second), restarted, 0))
	entry, _ = r.Lookup(at(10*time.Second), "x")
	assert.Equal(t, int64(8), entry.Target.StartedAtMillis, "a restarted target numbers its reports anew")
	assert.False(t, reportNumber(11*time.Second, 11, true), "a report of the former incarnation")
}

// Guards against full load on a target that has become cold: an earlier report without a cold start arrived late.
func TestLateReportDoesNotEndColdStart(t *testing.T) {
	r := newRegistry()
	reported := target("x")
	reported.Report = 5
	report(r, at(0), reported, 3*time.Second)
	reported.Report = 4
	assert.False(t, report(r, at(time.Second), reported, 0))
	entry, _ := r.Lookup(at(time.Second), "x")
	assert.Equal(t, Cold, entry.State)
}

// A number that another writer left must not exclude the reports of a target for good.
func TestReportsCountAgainAfterWrongNumber(t *testing.T) {
	r := newRegistry()
	reported := target("x")
	reported.Report = math.MaxUint64
	report(r, at(0), reported, 0)
	reported.Report, reported.Slots = 3, 8
	assert.False(t, report(r, at(time.Second), reported, 0))
	assert.True(t, report(r, at(lateReportLimit), reported, 0))
	r.Remove(at(lateReportLimit+time.Second), "x")
	r.Expire(at(2*lateReportLimit + time.Second))
	assert.Empty(t, r.lastReports, "numbers of removed targets are dropped")
}

// Guards against full load on a target that becomes cold again while it is cold: its reports did not count as changes, so
// VMs that rely on the leader took it for warm at the end of the first cold start.
func TestProlongedColdStartIsAChange(t *testing.T) {
	r := newRegistry()
	assert.True(t, report(r, at(0), target("x"), 3*time.Second))
	assert.False(t, report(r, at(time.Second), target("x"), 2*time.Second), "the same end")
	assert.True(t, report(r, at(2500*time.Millisecond), target("x"), 2800*time.Millisecond))
	assert.False(t, report(r, at(3500*time.Millisecond), target("x"), 1800*time.Millisecond))
	left := 1800 * time.Millisecond
	changes := 0
	for after := 3500 * time.Millisecond; after < 6*time.Second; after += 100 * time.Millisecond {
		if report(r, at(after), target("x"), left) {
			changes++
		}
	}
	assert.GreaterOrEqual(t, changes, 7, "small prolongations add up to changes")
	entry, _ := r.Lookup(at(7*time.Second), "x")
	assert.Equal(t, Cold, entry.State)
	assert.True(t, report(r, at(8*time.Second), target("x"), 0))
}

// An operator can tell from the time for which a VM has known of a cold start whether it sent requests without that knowledge.
func TestColdForCountsFromTheFirstReportOfTheColdStart(t *testing.T) {
	r := newRegistry()
	coldFor := func(after time.Duration) time.Duration {
		entry, found := r.Lookup(at(after), "x")
		require.True(t, found)
		return entry.ColdFor
	}
	report(r, at(0), target("x"), 3*time.Second)
	report(r, at(time.Second), target("x"), 2*time.Second)
	assert.Equal(t, 2*time.Second, coldFor(2*time.Second))
	assert.Zero(t, coldFor(4*time.Second), "not cold any more")
	report(r, at(5*time.Second), target("x"), 3*time.Second)
	assert.Equal(t, time.Second, coldFor(6*time.Second), "cold again")
	restarted := target("x")
	restarted.StartedAtMillis++
	report(r, at(7*time.Second), restarted, 3*time.Second)
	assert.Zero(t, coldFor(7*time.Second), "a new incarnation")
}

// Guards against full load on a target that has stated itself that it is cold: a registration from before that was read later.
func TestReportFromBeforeAStatedColdStartDoesNotEndIt(t *testing.T) {
	r := newRegistry()
	report(r, at(0), target("x"), 0)
	incarnation := fleet.Incarnation{ID: "x", StartedAtMillis: 7}
	r.RecordColdStart(at(time.Second), incarnation, 5*time.Second)
	r.RecordColdStart(at(time.Second), fleet.Incarnation{ID: "x", StartedAtMillis: 6}, time.Hour)
	state := func(now time.Duration) State {
		entry, _ := r.Lookup(at(now), "x")
		return entry.State
	}
	assert.Equal(t, Cold, state(2*time.Second))
	r.Report(at(2*time.Second), target("x"), 0, at(999*time.Millisecond))
	assert.Equal(t, Cold, state(2*time.Second))
	assert.Equal(t, Serving, state(6*time.Second), "it ends when the target said")
	r.RecordColdStart(at(7*time.Second), incarnation, 5*time.Second)
	r.Report(at(8*time.Second), target("x"), 0, at(7500*time.Millisecond))
	assert.Equal(t, Serving, state(8*time.Second), "a later report is newer")
}
