package hub

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

// Guards against electing a leader with a link of 10 Mbit/s, which relaying saturates, while VMs with 200 Mbit/s exist.
func TestCandidatesHaveFastLinks(t *testing.T) {
	members := map[string]member{}
	for i := range 75 {
		link := 10.0
		if i%6 == 0 {
			link = 200
		}
		members[fmt.Sprintf("vm-%02d", i)] = member{linkMbps: link}
	}
	count := 0
	ranks := map[int]bool{}
	for vm, m := range members {
		position := positionOf(vm, members)
		require.Equal(t, 75, position.VMs)
		ranks[position.Rank] = true
		if position.Candidate {
			count++
			require.InDelta(t, 200, m.linkMbps, 0, vm)
		}
	}
	require.Len(t, ranks, 75)
	require.GreaterOrEqual(t, count, candidateCount)
	require.LessOrEqual(t, count, 2*candidateCount)
}

// Guards against a fleet without candidates, for VMs of unknown link bandwidth and for a single VM.
func TestEveryFleetHasCandidates(t *testing.T) {
	for _, size := range []int{1, 2, 11} {
		members := map[string]member{}
		for i := range size {
			members[fmt.Sprintf("vm-%02d", i)] = member{}
		}
		count := 0
		for vm := range members {
			if positionOf(vm, members).Candidate {
				count++
			}
		}
		require.Positive(t, count, "%d VMs", size)
	}
}

// A position is settled once VMs have had the time to connect to a new leader, while the store confirms its leadership.
func TestPositionIsSettledLate(t *testing.T) {
	now, confirmed := model.Instant(time.Hour), true
	always := func() bool { return true }
	server := NewServer(func() model.Instant { return now }, always, func() bool { return confirmed }, func(Report) {})
	report := func(after time.Duration) bool {
		now = now.Add(after)
		return server.HandleReport(Report{VM: "vm-1"}).Settled
	}
	require.False(t, report(0))
	require.False(t, report(settleTime-time.Millisecond))
	require.True(t, report(time.Millisecond))
	confirmed = false
	require.False(t, report(ReportInterval))
	confirmed = true
	require.True(t, report(ReportInterval))
	require.False(t, report(time.Minute), "another VM was the leader in the meantime")
}
