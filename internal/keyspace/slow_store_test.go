package keyspace

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

// Verifies that no key has two holders while messages to and from the store take up to 1.5 s each, so that writes take effect
// after their retry and VMs act on outdated tables.
func TestOneHolderWhileStoreIsSlow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(rapid.Uint64().Draw(t, "seed"), 3, 5)
		sim.run(2 * time.Second)
		steps := rapid.IntRange(3, 25).Draw(t, "steps")
		for i := 0; i < steps; i++ {
			sim.storeSlow = true
			sim.faultOf(t, []string{"lapse", "path", "path-all", "relay", "resign", "service", "store-cut", "unusable", "vm-kill", "vm-pause"})
			sim.run(time.Duration(rapid.IntRange(1, 200).Draw(t, "pause")) * 20 * time.Millisecond)
			if sim.violation != "" {
				t.Fatalf("after %d steps: %s", i+1, sim.violation)
			}
			sim.restartVMs()
		}
	})
}

// dropService makes the leader of a simulation write a table without its service, and returns the leader, the view with the
// service, and the time after the write was sent.
func dropService(t *testing.T, sim *simulation) (*Manager, View, model.Instant) {
	sim.run(2 * time.Second)
	require.Zero(t, sim.unheld())
	m, view := sim.vms[0].manager, sim.view()
	m.SetView(View{Candidates: view.Candidates})
	now := sim.now.Add(2 * sim.settings.holdBound())
	m.TableRead(now, nil, m.nextOffset)
	m.Step(now)
	require.NotNil(t, m.pending)
	require.Empty(t, m.pending.Ranges)
	return m, view, now
}

// grantsIn returns the grants among the commands that are due over a second.
func grantsIn(m *Manager, now model.Instant) []Command {
	var grants []Command
	for range 25 {
		now = now.Add(40 * time.Millisecond)
		for _, command := range m.Step(now) {
			if command.Kind == GrantKeys {
				grants = append(grants, command)
			}
		}
	}
	return grants
}

// Guards against two holders of a key: the response to a write is lost and its retry is rejected, because the write took
// effect. Until the leader reads that record, it must not grant keys that the record shows as held by nobody.
func TestNoGrantOfDroppedRangeUntilLostWriteIsRead(t *testing.T) {
	for name, failures := range map[string][]AppendFailure{
		"retry conflicts":            {AppendUnanswered, AppendConflict},
		"retry is not executed":      {AppendUnanswered, AppendNotExecuted},
		"late response of the retry": {AppendUnanswered, AppendUnanswered, AppendConflict},
	} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(6, 1, 2)
			m, view, now := dropService(t, sim)
			written := m.pending.Clone()
			m.SetView(view)
			for _, failure := range failures {
				m.AppendFailed(now, failure)
				now = now.Add(sim.settings.RetryEvery)
				assert.Empty(t, grantsIn(m, now))
				now = now.Add(time.Second)
			}
			m.AppendFailed(now, AppendConflict)
			now = now.Add(time.Second)
			m.TableReceived(now, written)
			m.TableRead(now, nil, written.Offset+1)
			m.Step(now)
			require.NotNil(t, m.pending, "the keys are assigned anew")
			assert.Len(t, m.pending.Ranges, 2)
		})
	}
}

// Verifies that a leader whose write is rejected by a busy store goes on renewing grants and plans the table anew.
func TestRejectedWriteIsPlannedAnew(t *testing.T) {
	sim := newSimulation(6, 1, 2)
	m, view, now := dropService(t, sim)
	m.SetView(view)
	m.AppendFailed(now, AppendNotExecuted)
	assert.Nil(t, m.pending)
	assert.NotEmpty(t, grantsIn(m, now))
}

// Verifies that a conflict with a record that is no table ends with the next read, and that no write is sent before.
func TestConflictEndsWithNextRead(t *testing.T) {
	sim := newSimulation(6, 1, 2)
	m, view, now := dropService(t, sim)
	m.SetView(view)
	m.AppendFailed(now, AppendConflict)
	later := now.Add(time.Second)
	m.TableRead(now.Add(-time.Millisecond), nil, m.nextOffset+1)
	for _, command := range m.Step(later) {
		assert.NotEqual(t, AppendTable, command.Kind)
	}
	m.TableRead(now.Add(time.Millisecond), nil, m.nextOffset)
	assert.NotEmpty(t, grantsIn(m, later))
}

// Guards against two leaders: the response to a write arrives after the leader has read a later table of another leader.
func TestLateResponseDoesNotRestoreReplacedTable(t *testing.T) {
	sim := newSimulation(8, 1, 2)
	sim.run(2 * time.Second)
	m := sim.vms[0].manager
	require.True(t, m.IsLeader(sim.now))
	written := m.draft()
	replaced := written.Clone()
	replaced.Leader, replaced.Offset = "other", written.Offset+1
	m.TableReceived(sim.now, replaced)
	m.Appended(sim.now, sim.now, written)
	m.TableRead(sim.now, nil, replaced.Offset+1)
	assert.False(t, m.IsLeader(sim.now))
	assert.Equal(t, "other", m.Table().Leader)
}

// Guards against two leaders: a VM that cannot decode a record of the topic, as in a rolling upgrade, must not take its own
// older table for the newest, nor replace the record.
func TestUndecodedRecordEndsLeadership(t *testing.T) {
	sim := newSimulation(9, 1, 2)
	sim.run(2 * time.Second)
	m := sim.vms[0].manager
	require.True(t, m.IsLeader(sim.now))
	confirmed := sim.now
	end := m.Table().Offset + 2
	for now := sim.now; now < sim.now.Add(sim.settings.LeadershipTimeout); now = now.Add(400 * time.Millisecond) {
		m.TableRead(now, nil, end)
		m.changed = true
		for _, command := range m.Step(now) {
			assert.NotEqual(t, AppendTable, command.Kind)
		}
	}
	assert.False(t, m.IsLeader(confirmed.Add(sim.settings.LeadershipTimeout)))
}
