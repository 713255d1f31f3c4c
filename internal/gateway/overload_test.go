package gateway

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tarragonpoint/tarragonpoint/internal/fleet"
	"github.com/tarragonpoint/tarragonpoint/internal/hub"
	"github.com/tarragonpoint/tarragonpoint/internal/picker"
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
	assert.Less(t, delay+g.picker.Work("reads"), route.LatencyTarget)
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

// Guards against VMs that together exceed the retry budget because each assumes fewer VMs than there are: the burst is
// shared only once the leader has reported their number.
func TestRetryBurstNeedsTheNumberOfVMs(t *testing.T) {
	t.Parallel()
	const vms = 295
	g := &gateway{settings: Settings{RetryBurst: 630}}
	assert.Zero(t, g.retryBurst())
	g.counted.Store(&countedPosition{Position: hub.Position{VMs: vms}})
	assert.Positive(t, g.retryBurst())
	assert.LessOrEqual(t, g.retryBurst()*vms*joinMargin, g.settings.RetryBurst)
}

// Guards against more VMs that send to a cold target than may do so: after a change of the leader, VMs that still use their
// rank under the former one, or one counted while VMs were connecting, share a rank with others.
func TestRankExpires(t *testing.T) {
	t.Parallel()
	f := startFixture(t)
	g := f.newVM("vm-2")
	now := g.clock.Now()
	assert.Nil(t, g.currentRank(now))
	g.setPosition(hub.Position{VMs: 5, Rank: 2})
	assert.Nil(t, g.currentRank(now), "VMs are still connecting to the leader")
	g.setPosition(hub.Position{VMs: 80, Rank: 41, Settled: true})
	assert.Equal(t, 41, g.currentRank(now).Rank)
	g.setPosition(hub.Position{VMs: 5, Rank: 2})
	assert.Equal(t, 41, g.currentRank(now).Rank)
	assert.Nil(t, g.currentRank(now.Add(2*hub.PositionTTL)))
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
	r := g.state.table.Load().Find("review", 7)
	g.recordUnheld(now, "review", 7, fleet.Incarnation{ID: "other"})
	assert.False(t, g.unheld.waits(now, r), "the response is of a former owner")
	g.recordUnheld(now, "review", 7, r.Owner.Incarnation)
	assert.True(t, g.unheld.waits(now, r))
	granted := *r
	granted.Fence++
	assert.False(t, g.unheld.waits(now, &granted))
	assert.False(t, g.unheld.waits(now.Add(unheldRetryDelay), r))
}
