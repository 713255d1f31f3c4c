package gateway

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tarragonpoint/tarragonpoint/internal/hub"
	"github.com/tarragonpoint/tarragonpoint/internal/keyspace"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/registry"
	"github.com/tarragonpoint/tarragonpoint/internal/shares"
	"github.com/tarragonpoint/tarragonpoint/platform"
)

// startLinkedVMs returns the leader and VMs without a link to it, with a slow link and with an ordinary one.
func (f *fixture) startLinkedVMs(t *testing.T) []*gateway {
	vms := []*gateway{
		f.gateway, f.startFollowing("vm-2", cutLink), f.startFollowing("vm-3", delayedLink(t, 200*time.Millisecond)), f.startVM("vm-4"),
	}
	require.Eventually(t, func() bool { return vms[2].leaderIsRelaying() && vms[3].leaderIsRelaying() }, settleTime, 10*time.Millisecond)
	return vms
}

// leaving returns a condition that is true once a VM knows that a target is leaving.
func (g *gateway) leaving(id model.TargetID) func() bool {
	return func() bool {
		entry, found := g.state.lookup(g.clock.Now(), id)
		return found && entry.Leaving
	}
}

// Guards against requests to a target that is leaving: the store executed an earlier report late, and every VM took the
// announced stop back.
func TestLateReportDoesNotTakeStopBack(t *testing.T) {
	t.Parallel()
	f := startFixture(t)
	vms := f.startLinkedVMs(t)
	late := f.targets["d-1"].Registration("desk", "a", 4, "ready", f.seq+1)
	f.seq++
	f.register("d-1", "desk", "a", "draining")
	for _, vm := range vms {
		require.Eventually(t, vm.leaving("d-1"), shareTime, 10*time.Millisecond, "%s", vm.settings.VM)
	}
	vms = append(vms, f.startVM("vm-5"))
	f.store.Put("keyed.servers", "d-1", late)
	// Another change shows that all VMs have read the late report.
	f.register("d-2", "desk", "a", "draining")
	for _, vm := range vms {
		require.Eventually(t, vm.leaving("d-2"), shareTime, 10*time.Millisecond, "%s", vm.settings.VM)
		assert.True(t, vm.leaving("d-1")(), "%s took the stop back", vm.settings.VM)
	}
	f.register("d-1", "desk", "a", "ready")
	for _, vm := range vms {
		require.Eventually(t, func() bool { return !vm.leaving("d-1")() }, shareTime, 10*time.Millisecond, "%s", vm.settings.VM)
	}
}

// registerCold writes a report of a target that stays cold for some time.
func (f *fixture) registerCold(id, service, zone string, left time.Duration) {
	f.seq++
	report := f.targets[id].Registration(service, zone, 4, "ready", f.seq)
	f.store.Put("keyed.servers", id, bytes.Replace(report, []byte(`"0ms"`), fmt.Appendf(nil, `"%dms"`, left.Milliseconds()), 1))
}

// Guards against full load on a target that becomes cold again while it is cold: only the VMs that read the store learned
// that the cold start lasts longer.
func TestProlongedColdStartReachesAllVMs(t *testing.T) {
	t.Parallel()
	f := startFixture(t)
	vms := append(f.startLinkedVMs(t), f.startVM("vm-5"))
	stays := func(cold bool) func() bool {
		return func() bool {
			for _, vm := range vms {
				entry, found := vm.state.lookup(vm.clock.Now(), "d-1")
				if !found || (entry.State == registry.Cold) != cold {
					return false
				}
			}
			return true
		}
	}
	const first, second = 5 * time.Second, 12 * time.Second
	f.registerCold("d-1", "desk", "a", first)
	started := time.Now()
	require.Eventually(t, stays(true), shareTime, 10*time.Millisecond)
	f.registerCold("d-1", "desk", "a", second)
	time.Sleep(time.Until(started.Add(first + shareTime)))
	assert.True(t, stays(true)(), "some VMs know only the end of the first cold start")
	f.register("d-1", "desk", "a", "ready")
	require.Eventually(t, stays(false), shareTime, 10*time.Millisecond)
}

// Guards against leases from a leader that may have been replaced: a confirmation by the store counts from the start of the call, and
// only for an assignment that names this VM.
func TestLeadershipIsConfirmedByRecentCalls(t *testing.T) {
	t.Parallel()
	f := startFixture(t)
	g := f.newVM("vm-2")
	follower := g.follower(topicAssignment)
	follower.listed, follower.nextOffset = true, 5
	appended := func(leader string, ago time.Duration) bool {
		raw, err := (&keyspace.Table{Leader: leader}).Encode()
		require.NoError(t, err)
		now := g.clock.Now()
		follower.appended(now.Add(-ago), now, platform.Record{Key: keyAssignment, Value: raw, Offset: follower.nextOffset})
		return g.leadershipConfirmed(now)
	}
	assert.True(t, appended(g.controller.self, 0))
	assert.False(t, appended(g.controller.self, shares.ConfirmationTTL), "the response took long")
	assert.True(t, appended(g.controller.self, shares.ConfirmationTTL/2))
	assert.False(t, appended("vm-3/x", 0), "another VM leads")
}

// Guards against a restarted VM that uses the leases of its predecessor, which may have used them up within the second.
func TestEachStartOfAVMHasItsOwnLeases(t *testing.T) {
	t.Parallel()
	f := startFixture(t)
	assert.NotEqual(t, f.newVM("vm-2").report(true).Incarnation, f.newVM("vm-2").report(true).Incarnation)
}

// Guards against leases from a leader that cannot decode the newest assignment, which may name another leader.
func TestUndecodedAssignmentConfirmsNoLeadership(t *testing.T) {
	t.Parallel()
	f := startFixture(t)
	g := f.gateway
	require.True(t, g.leadershipConfirmed(g.clock.Now()))
	f.store.Put(topicAssignment, keyAssignment, []byte("\xff"))
	follower := g.follower(topicAssignment)
	hasRead := func() bool {
		follower.mu.Lock()
		defer follower.mu.Unlock()
		return follower.nextOffset > g.state.table.Load().Offset+1
	}
	require.Eventually(t, hasRead, shareTime, time.Millisecond)
	assert.False(t, g.leadershipConfirmed(g.clock.Now()))
}

// Guards against units that a former leader granted and a new one grants to others, because the new one could not decode the
// assignment of the former.
func TestLeaderAfterAnUndecodedAssignmentWaitsForFormerLeases(t *testing.T) {
	t.Parallel()
	f := startFixture(t)
	g := f.newVM("vm-2")
	c, started := g.controller, g.clock.Now()
	const offset = 3
	c.manager.TableRead(started, nil, offset)
	table := &keyspace.Table{Leader: c.self, Offset: offset}
	c.manager.Appended(started, started, table.Clone())
	c.step(t.Context())
	require.True(t, c.isLeader.Load())
	g.state.setTable(table)
	follower := g.follower(topicAssignment)
	for g.clock.Now().Sub(started) < shares.LeaseTTL {
		time.Sleep(hub.ReportInterval)
		follower.nextOffset, follower.newestAt = offset+1, g.clock.Now()
		_, grant := g.hub.HandleOwnReport(g.report(false))
		require.NotZero(t, grant.Number)
		require.Empty(t, grant.Units)
	}
}
