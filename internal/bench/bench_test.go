package bench

import (
	"bytes"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/placement"
)

func short() []Scenario {
	return []Scenario{{"short", 8 * time.Second, []Fault{failTarget(time.Second), restartTarget(5 * time.Second)}}}
}

func output(t *testing.T, seed uint64) string {
	report, err := MeasureAll([]Deployment{Skyframe()}, []Stack{Baseline(), Policy()}, short(), seed)
	require.NoError(t, err)
	var text bytes.Buffer
	require.NoError(t, report.WriteTable(&text))
	require.NoError(t, report.WriteJSON(&text))
	return text.String()
}

// Guards against results that are not reproducible, and against a seed that has no effect.
func TestSameSeedSameOutput(t *testing.T) {
	first := output(t, 1)
	require.Equal(t, first, output(t, 1))
	require.NotEqual(t, first, output(t, 2))
}

// Guards against requests that are lost or counted twice: each request ends exactly once, by its deadline.
func TestEveryRequestEnds(t *testing.T) {
	for _, stack := range append(Variants(), Baseline()) {
		s, err := newSim(Granite(), stack, 1)
		require.NoError(t, err)
		s.run(short()[0])
		for _, l := range s.loads {
			ended := l.failed + int(l.latency.TotalCount())
			require.LessOrEqual(t, ended, l.sent)
			open := float64(l.sent - ended)
			require.LessOrEqual(t, open, l.arrivalRate()*l.spec.Deadline.Seconds()*1.2, stack.Name)
		}
	}
}

// Guards against an inaccurate model: at very low load, the latency is the network delay plus the work.
func TestIdleLatencyIsNetworkDelayPlusWork(t *testing.T) {
	deployment := Granite()
	deployment.Utilization = 0.02
	runs, err := Measure(deployment, Policy(), Scenario{Name: "idle", Duration: 20 * time.Second}, 1)
	require.NoError(t, err)
	// 16 ms to the entry VM and back, 0.5 ms to the target and back, and the median of the work: 20 ms * exp(-0.18).
	require.InDelta(t, 16.5+16.7, runs[0].P50, 1.5)
	require.InDelta(t, 1.0, runs[0].InTimePercent/100, 0.001)
}

// Guards against slots that have no owner while the log is down, against a failover to another zone, and against a
// baseline that does not wait for the log.
func TestFailoverInsideTheZoneWithoutLog(t *testing.T) {
	faults := []Fault{setLogDown(time.Second, true), failTarget(2 * time.Second)}
	for _, stack := range []Stack{Policy(), Baseline()} {
		s, err := newSim(Granite(), stack, 1)
		require.NoError(t, err)
		l := s.loads[1]
		failed := l.servers[1].route
		s.run(Scenario{"before", 1500 * time.Millisecond, faults})
		before := append([]placement.Slot(nil), l.slots...)
		s.runUntil(model.Instant(10 * time.Second))
		for i := range before {
			owner := l.slots[i].Owner
			if !stack.Overrides || before[i].Owner != failed.ID {
				require.Equal(t, before[i].Owner, owner)
				continue
			}
			require.NotEqual(t, failed.ID, owner)
			require.Equal(t, failed.Zone, l.byID[owner].route.Zone)
		}
	}
}
