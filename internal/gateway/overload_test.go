package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tarragonpoint/tarragonpoint/internal/fleet"
	"github.com/tarragonpoint/tarragonpoint/internal/hub"
	"github.com/tarragonpoint/tarragonpoint/internal/keyspace"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/picker"
	"github.com/tarragonpoint/tarragonpoint/internal/shares"
	"github.com/tarragonpoint/tarragonpoint/internal/standin/platformstub"
	"github.com/tarragonpoint/tarragonpoint/platform"
)

// A request that is overdue because its target's machine is slow gets its second attempt while that can still respond
// within the latency target, not after it.
func TestHedgeCanMeetTheLatencyTarget(t *testing.T) {
	t.Parallel()
	f := startFixture(t)
	g := f.newVM("vm-2")
	now := g.clock.Now()
	route := &fleet.Route{Name: "reads", Kind: fleet.Idempotent, MaxAttempts: 2, LatencyTarget: 2 * time.Second}
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "/", nil)
	require.NoError(t, err)
	j := &job{
		arrived: now, deadline: now.Add(5 * time.Second), route: route, request: request,
		callerHeaders: platform.CallerHeaders{Timeout: 5 * time.Second},
	}
	chosen := placement{estimate: picker.Estimate{Total: time.Second}}
	delay := g.hedgeDelay(now, j, chosen)
	assert.Less(t, delay+g.picker.Work(g.clock.Now(), "reads"), route.LatencyTarget)
	assert.Greater(t, delay, chosen.estimate.Total)
	chosen.isOwner = true
	assert.Equal(t, 2500*time.Millisecond, g.hedgeDelay(now, j, chosen), "the owner of a key would get both attempts")
	route.Kind = fleet.NonIdempotent
	assert.Equal(t, time.Duration(never), g.hedgeDelay(now, j, chosen))
}

// The load of a hot key includes the requests that its owner rejects, so that the leader moves enough of the keys around it.
func TestRejectedRequestsCountAsLoadOfTheirKey(t *testing.T) {
	t.Parallel()
	f := startFixture(t)
	require.Eventually(t, f.gateway.controller.isLeader.Load, settleTime, 10*time.Millisecond)
	f.setModes(platformstub.Shed, "k-1", "k-2")
	response := f.send(http.MethodPost, "/drafts/1", "u-1", "draft", "X-Tarragonpoint-Shard-Key", "7")
	assert.Equal(t, http.StatusServiceUnavailable, response.status)
	// The expected work of two rejected attempts counts as 0.16 busy slots at first, and their duration as next to nothing.
	require.Eventually(t, func() bool {
		return f.gateway.load.snapshot("review").Sum(0, 7) > 0.1
	}, 2*time.Second, 10*time.Millisecond)
}

// Guards against VMs that together exceed the burst of the retry budget: what all VMs may use in one window, also those that came
// and went in it, adds up to no more, and a VM without a lease has no share.
func TestRetryBurstsOfAllVMsStayWithinTheBudget(t *testing.T) {
	t.Parallel()
	const vms, window = 295, 10 * time.Second
	now := model.Instant(time.Hour)
	allocator := shares.NewAllocator(window, rand.Uint64)
	allocator.Begin(now, true)
	started := 0
	start := func() *gateway {
		started++
		return &gateway{
			settings: Settings{VM: strconv.Itoa(started), RetryBurst: 630, RetryWindow: window}, shares: shares.NewHolder(),
		}
	}
	all := make([]*gateway, vms)
	for i := range all {
		all[i] = start()
	}
	// used holds, for each start of a VM, when it last had which share.
	type use struct {
		at    model.Instant
		share float64
	}
	used := map[string][]use{}
	play := func(length time.Duration, restarts int) (inWindow float64) {
		for end := now.Add(length); now < end; now = now.Add(hub.ReportInterval) {
			for range restarts {
				all[rand.IntN(vms)] = start()
			}
			for _, g := range all {
				g.shares.Apply(allocator.Renew(now, g.settings.VM, g.settings.VM, g.shares.Request(now, false), false))
				if share := g.retryBurst(now); share > 0 {
					used[g.settings.VM] = append(used[g.settings.VM], use{at: now, share: share})
				}
			}
			inWindow = 0
			for _, uses := range used {
				largest := 0.0
				for _, u := range uses {
					if now.Sub(u.at) < window {
						largest = max(largest, u.share)
					}
				}
				inWindow += largest
			}
			require.LessOrEqual(t, inWindow, 630.0)
		}
		return inWindow
	}
	assert.Zero(t, play(15*time.Second, 0), "a former leader may have granted any part")
	assert.Greater(t, play(10*time.Second, 0), 630.0/2)
	assert.Greater(t, play(20*time.Second, 10), 630.0/2)
	fresh := start()
	fresh.shares.Apply(allocator.Renew(now, fresh.settings.VM, fresh.settings.VM, fresh.shares.Request(now, false), false))
	assert.Zero(t, fresh.retryBurst(now.Add(shares.LeaseTTL)), "the lease has ended")
}

// Guards against requests that each use up the retry budget at an owner that does not hold its keys yet, as after a restart
// of all VMs: one of them shows it, and the others wait until the keys are granted.
func TestRequestsWaitForAnOwnerWithoutItsKeys(t *testing.T) {
	t.Parallel()
	f := startFixture(t)
	g := f.gateway
	require.Eventually(t, func() bool {
		r := g.state.table.Load().Find("review", 7)
		return r != nil && r.Ready
	}, settleTime, 10*time.Millisecond)
	now := g.clock.Now()
	table := g.state.table.Load()
	r := table.Find("review", 7)
	waits := func(at model.Instant, r *keyspace.Range) bool {
		wait, ok := g.holds.check(at, r)
		assert.True(t, ok || wait.reason == waitUnheld)
		return !ok
	}
	require.False(t, waits(now, r))
	g.recordUnheld(now, now, "review", 7, fleet.Incarnation{ID: "other"})
	assert.False(t, waits(now, r), "the response is of a former owner")
	g.recordUnheld(now, now, "review", 7, r.Owner.Incarnation)
	for i := range table.Ranges {
		other := &table.Ranges[i]
		assert.Equal(t, other.Owner == r.Owner, waits(now, other), "all ranges of the owner wait, and no others")
	}
	granted := *r
	granted.Fence += 1 << 20
	assert.False(t, waits(now, &granted))
	later := now.Add(unheldRetryDelay)
	assert.False(t, waits(later, r))
	_, ok := g.holds.begin(later, r)
	assert.True(t, ok)
	assert.True(t, waits(later, r), "one request finds out")
	g.holds.served(later, later, r.Owner.Incarnation)
	assert.False(t, waits(later, r))
}
