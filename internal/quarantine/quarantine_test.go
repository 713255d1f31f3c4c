package quarantine

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

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
