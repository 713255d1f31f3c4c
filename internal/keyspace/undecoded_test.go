package keyspace

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against two holders of a key: a VM that claims leadership after a record that it cannot decode does not know who holds
// keys under that record, so it must not grant them until every such hold has ended.
func TestClaimAfterUndecodedRecordWaitsForUnknownHolders(t *testing.T) {
	sim := newSimulation(16, 1, 2)
	sim.run(2 * time.Second)
	m := New(sim.settings, "next", "next", sim.random.Uint64)
	m.SetView(sim.view())
	m.SetElected(true)
	m.TableRead(sim.now, nil, sim.vms[0].manager.Table().Offset+1)
	end := sim.now.Add(sim.settings.contactBound() + sim.settings.holdBound())
	for now := sim.now; now < end; now = now.Add(leaderStep) {
		m.TableRead(now, nil, m.nextOffset)
		for _, command := range m.Step(now) {
			require.NotEqual(t, GrantKeys, command.Kind, "%s after the claim, of %s", now.Sub(sim.now), command.Target.Incarnation.ID)
			if command.Kind == AppendTable {
				m.Appended(now, now, command.Append.Clone())
			}
		}
	}
	assert.True(t, m.IsLeader(end))
}

// Verifies that no key has two holders while VMs cannot decode some records, as in a rolling upgrade.
func TestOneHolderWithUndecodedRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(rapid.Uint64().Draw(t, "seed"), 3, 5)
		sim.disorders[olderVersions] = true
		sim.run(2 * time.Second)
		steps := rapid.IntRange(3, 25).Draw(t, "steps")
		for i := 0; i < steps; i++ {
			sim.faultOf(t, []string{"island", "roll", "roll", "vm-kill", "lapse", "zone-lapse", "path"})
			sim.run(time.Duration(rapid.IntRange(1, 200).Draw(t, "pause")) * simulationStep)
			if sim.violation != "" {
				t.Fatalf("after %d steps: %s", i+1, sim.violation)
			}
			sim.restartVMs()
		}
	})
}
