package hub

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/shares"
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
	for vm, m := range members {
		position := positionOf(vm, members)
		require.Equal(t, 75, position.VMs)
		if position.Candidate {
			count++
			require.InDelta(t, 200, m.linkMbps, 0, vm)
		}
	}
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

// Guards against leases from a leader that may have been replaced, and against claims that may be older than its term.
func TestLeasesNeedAConfirmedLeader(t *testing.T) {
	now, confirmed := model.Instant(time.Hour), true
	server := NewServer(
		func() model.Instant { return now }, func() bool { return true }, func(model.Instant) bool { return confirmed }, func(Report) {},
		10*time.Second,
	)
	server.BeginTerm(true)
	report := func(vm string, claims ...shares.Unit) shares.Grant {
		_, grant := server.HandleOwnReport(Report{VM: vm, Incarnation: vm + "/1", Shares: shares.Request{Number: 1, Claims: claims}})
		return grant
	}
	require.Equal(t, []shares.Unit{7}, report("vm-1", 7).Units)
	_, late := server.handleReport(Report{VM: "vm-2", Incarnation: "vm-2/1", Shares: shares.Request{Number: 1, Claims: []shares.Unit{8}}}, 0)
	require.Empty(t, late.Units, "the link was opened in an earlier term")
	_, restarted := server.HandleOwnReport(Report{VM: "vm-1", Incarnation: "vm-1/2", Shares: shares.Request{Number: 1}})
	require.Empty(t, restarted.Units, "a restarted VM has no leases")
	confirmed = false
	require.Zero(t, report("vm-3", 9).Number)
	confirmed = true
	now = now.Add(time.Minute)
	require.NotEmpty(t, report("vm-1").Units)
	server.BeginTerm(true)
	require.Empty(t, report("vm-2").Units, "a former leader may have granted any unit")
}
