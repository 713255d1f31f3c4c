package quarantine

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tarragonpoint/tarragonpoint/internal/fleet"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

func verdict(t *Table, now model.Instant, id Fingerprint) Verdict {
	v, _ := t.Begin(now, id)
	return v
}

// Guards against a third crash, against concurrent runs after the first one, and against a block that never expires.
func TestStrikesLimitThenBlock(t *testing.T) {
	table := NewTable(10)
	require.Equal(t, Allowed, verdict(table, 0, 1))
	require.Equal(t, Allowed, verdict(table, 0, 1), "no limit without a strike")
	require.True(t, table.Strike(0, 1, "t1"))
	require.Equal(t, Allowed, verdict(table, 0, 1))
	require.Equal(t, Busy, verdict(table, 0, 1))
	table.End(1)
	require.Equal(t, Allowed, verdict(table, 0, 1))
	require.True(t, table.Strike(0, 1, "t2"))
	table.End(1)
	require.Equal(t, Blocked, verdict(table, 0, 1))
	require.Equal(t, Allowed, verdict(table, 0, 2))
	require.Equal(t, Blocked, verdict(table, model.Instant(BlockDuration)-1, 1))
	require.Equal(t, Allowed, verdict(table, model.Instant(BlockDuration), 1))
}

// Guards against counting one crash twice because two entry VMs report it.
func TestSameCrashCountsOnce(t *testing.T) {
	table := NewTable(10)
	require.True(t, table.Strike(0, 1, "t1"))
	require.False(t, table.Strike(model.Instant(300*time.Millisecond), 1, "t1"))
	require.Equal(t, Allowed, verdict(table, 0, 1))
	require.True(t, table.Strike(model.Instant(5*time.Second), 1, "t1"))
	require.Equal(t, Blocked, verdict(table, model.Instant(5*time.Second), 1))
}

// Guards against unbounded memory use, and against fingerprints with a single strike that evict a blocked one.
func TestTableIsBoundedAndKeepsBlocked(t *testing.T) {
	table := NewTable(16)
	table.Strike(0, 999, "t1")
	table.Strike(0, 999, "t2")
	for i := range 100 {
		table.Strike(model.Instant(i+1), Fingerprint(i), "t1")
		require.LessOrEqual(t, table.Len(), 16)
	}
	require.Equal(t, Blocked, verdict(table, 200, 999))
	require.Equal(t, Allowed, verdict(table, 200, 0))
}

func crash(id string, startedAtMillis int64) fleet.Incarnation {
	return fleet.Incarnation{ID: model.TargetID(id), StartedAtMillis: startedAtMillis}
}

// Guards against one crash that counts several times because VMs report it seconds apart, and against a target that restarts
// under its ID and seems to be the one that has crashed already.
func TestCrashOfKnownIncarnationCountsOnce(t *testing.T) {
	table := New(Options{StrikesToBlock: 3})
	second := model.Instant(time.Second)
	require.True(t, table.StrikeCrash(0, 1, crash("t1", 7)))
	require.False(t, table.StrikeCrash(5*second, 1, crash("t1", 7)), "reported by another VM")
	require.True(t, table.StrikeCrash(6*second, 1, crash("t1", 8)), "crashed again after its restart")
	require.Zero(t, table.BlockLeft(6*second, 1))
	require.True(t, table.StrikeCrash(7*second, 1, crash("t2", 7)))
	require.Equal(t, BlockDuration-time.Second, table.BlockLeft(8*second, 1))
	require.Equal(t, Blocked, verdict(table, 8*second, 1))
}

// Guards against requests that are rejected or not hedged because of a single crash beside which they ran: only one strike
// short of the block do they run one at a time.
func TestFirstStrikeLimitsNothing(t *testing.T) {
	table := New(Options{StrikesToBlock: 3})
	table.StrikeCrash(0, 1, crash("t1", 7))
	for range 3 {
		allowed, limited := table.Begin(0, 1)
		require.Equal(t, Allowed, allowed)
		require.False(t, limited)
	}
	table.StrikeCrash(1, 1, crash("t2", 7))
	allowed, limited := table.Begin(1, 1)
	require.Equal(t, Allowed, allowed)
	require.True(t, limited)
	require.Equal(t, Busy, verdict(table, 1, 1))
	table.End(1)
	require.Equal(t, Allowed, verdict(table, 1, 1))
}

// A withdrawn strike does not count any more; the others do.
func TestWithdrawnStrikeDoesNotCount(t *testing.T) {
	table := New(Options{StrikesToBlock: 3})
	for i := range int64(3) {
		table.StrikeCrash(0, 1, crash("t1", i+1))
	}
	require.Equal(t, Blocked, verdict(table, 0, 1))
	require.Len(t, table.Crashes(1), 3)
	require.True(t, table.Withdraw(1, crash("t1", 2)))
	require.False(t, table.Withdraw(1, crash("t1", 2)))
	require.Equal(t, Allowed, verdict(table, 0, 1))
	table.Withdraw(1, crash("t1", 1))
	table.Withdraw(1, crash("t1", 3))
	require.Equal(t, 1, table.Len(), "a request with it is running")
	table.End(1)
	require.Zero(t, table.Len())
	require.False(t, table.Withdraw(1, crash("t1", 3)))
}
