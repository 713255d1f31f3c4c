package proof

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/tarragonpoint/tarragonpoint/internal/control"
	"github.com/tarragonpoint/tarragonpoint/internal/record"
)

// logDownDetection is the time after which all VMs treat the log as unavailable.
const logDownDetection = 5 * time.Second

// TestFailoverWhileLogIsDown guards against slots that have no owner until the log is available again, against a second
// owner when the failed target restarts, and against an override that is not written to the log later.
func TestFailoverWhileLogIsDown(t *testing.T) {
	w := newWorld(3, 2, 3, 3, t.Fatalf)
	w.runFor(8*time.Second, w.checkOwners)
	w.log.up = false
	w.runFor(logDownDetection, w.checkOwners)
	before := len(w.log.streams[record.AssignStream])
	failed := w.targets["target-a0"]
	w.killTarget(failed)
	start := w.now
	for w.servedSlots() < slotsPerCell {
		w.runFor(25*time.Millisecond, w.checkOwners)
		require.LessOrEqual(t, w.now-start, failoverLimit, "served again within the limit\n%s", w.describe())
	}
	t.Logf("served again after %v", w.now-start)
	require.Len(t, w.log.streams[record.AssignStream], before, "the log accepted no record")
	w.restartTarget(failed)
	w.runFor(5*time.Second, w.checkOwners)
	require.Equal(t, slotsPerCell, w.servedSlots())
	w.log.up = true
	w.runFor(10*time.Second, w.checkOwners)
	require.Equal(t, slotsPerCell, w.servedSlots())
	require.True(t, w.logHasReassign(record.EvidenceLeaseExpired), "the log records the new owners")
}

// Guards against two owners after all entry VMs of a zone restart while an override is in force: the new processes do not
// know it and grant the slots to the owner in the log while the other target's lease still runs.
func TestRestartOfAllVMsThatKnowOverride(t *testing.T) {
	for _, outage := range []time.Duration{0, 500 * time.Millisecond, 3 * time.Second} {
		t.Run(outage.String(), func(t *testing.T) {
			w := newWorld(3, 2, 3, 3, t.Fatalf)
			w.runFor(8*time.Second, w.checkOwners)
			w.log.up = false
			w.runFor(logDownDetection, w.checkOwners)
			failed := w.targets["target-a0"]
			failed.frozen = true
			w.runFor(failoverLimit, w.checkOwners)
			require.Equal(t, slotsPerCell, w.servedSlots())
			failed.thaw()
			w.runFor(time.Second, w.checkOwners)
			w.restartAll()
			w.runFor(outage, w.checkOwners)
			w.log.up = true
			w.runFor(10*time.Second, w.checkOwners)
			require.Equal(t, slotsPerCell, w.servedSlots())
		})
	}
}

// logHasReassign reports whether the log holds a Reassign record with the given evidence.
func (w *world) logHasReassign(evidence record.Evidence) bool {
	for _, entry := range w.log.streams[record.AssignStream] {
		if reassign := entry.Record.Reassign; reassign != nil && reassign.Evidence == evidence {
			return true
		}
	}
	return false
}

// TestOverridesUnderFaults guards against two owners when targets and entry VMs fail, freeze and restart during
// repeated outages of the log, so that overrides race with records in the log.
func TestOverridesUnderFaults(t *testing.T) {
	committed := 0
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Int64().Draw(t, "seed"), 2, 3, 3, t.Fatalf)
		o := newOracle(w)
		w.runFor(8*time.Second, o.check)
		w.log.up = false
		w.runFor(logDownDetection, o.check)
		all := w.actions(t, o.check)
		actions := map[string]func(*rapid.T){"": o.afterStep}
		for _, name := range []string{
			"pass", "killTarget", "startTarget", "freezeTarget", "thawTarget", "killVM", "restartVM", "pauseVM", "resumeVM",
			"pauseTwoVMs", "cutOneWay", "healNetwork", "dropMessages", "logUp", "freezeAndKill", "loseAnswers",
		} {
			actions[name] = all[name]
		}
		setLogFor := func(up bool) func(*rapid.T) {
			return func(*rapid.T) {
				w.log.up = up
				w.runFor(logDownDetection, o.check)
			}
		}
		actions["longOutage"] = setLogFor(false)
		actions["longOutageAgain"] = setLogFor(false)
		actions["logBack"] = setLogFor(true)
		t.Repeat(actions)
		w.checkRecovery(o)
		committed += w.failovers
	})
	t.Logf("%d overrides were committed", committed)
	if !testing.Short() {
		// The two checks of a short run are too few to guarantee an override.
		require.Positive(t, committed, "the faults caused no override")
	}
}

// countFailovers counts the overrides that were committed.
func (w *world) countFailovers(effect control.Effect) {
	if notice, ok := effect.(control.Notice); ok && notice.Kind == control.NoticeFailedOver {
		w.failovers++
	}
}
