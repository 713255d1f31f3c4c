package quarantine

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

// Guards against runs that are remembered for too long or too short, and against unbounded memory.
func TestRunsAreRememberedForSomeTime(t *testing.T) {
	runs := NewRuns()
	start := model.Instant(time.Hour)
	require.False(t, runs.Recent(start, 1))
	runs.Add(start, 1)
	require.True(t, runs.Recent(start.Add(RunMemory-1), 1))
	require.False(t, runs.Recent(start.Add(RunMemory), 1))
	runs.Add(start.Add(RunMemory), 1)
	require.True(t, runs.Recent(start.Add(RunMemory), 1))
	for i := range 3 * runCapacity {
		runs.Add(start.Add(RunMemory), Fingerprint(10+i%(2*runCapacity)))
		require.LessOrEqual(t, len(runs.last), runCapacity)
	}
	require.Len(t, runs.ring, runCapacity)
	require.False(t, runs.Recent(start.Add(RunMemory), 1), "dropped in favor of later runs")
	require.True(t, runs.Recent(start.Add(RunMemory), Fingerprint(10+(3*runCapacity-1)%(2*runCapacity))))
}
