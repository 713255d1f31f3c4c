package keyspace

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Verifies that targets get keys under increasing fences while they restart under their IDs, leaders are paused or cut off in the
// meantime, and VMs learn of the restarts late.
func TestFencesIncreaseWhileTargetsRestart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 3).Draw(t, "vms"), 4)
		sim.stepEvery = leaderStep
		sim.disorders[lateViews] = true
		sim.disorders[manyConnections] = rapid.Bool().Draw(t, "many-connections")
		sim.run(2 * time.Second)
		steps := rapid.IntRange(1, 6).Draw(t, "steps")
		for i := 0; i < steps; i++ {
			if rapid.Bool().Draw(t, "lost") {
				if leader := sim.leader(); leader >= 0 {
					sim.storeCut[leader], sim.relayCut[leader] = true, true
				}
			}
			sim.pauseLeader(time.Duration(rapid.IntRange(1, 200).Draw(t, "paused")) * leaderStep)
			sim.run(time.Duration(rapid.IntRange(1, 50).Draw(t, "before")) * leaderStep)
			for range rapid.IntRange(1, 3).Draw(t, "restarts") {
				sim.restartTarget(sim.targets[rapid.IntRange(0, len(sim.targets)-1).Draw(t, "target")], false)
			}
			sim.run(time.Duration(rapid.IntRange(75, 250).Draw(t, "pause")) * leaderStep)
			if sim.violation != "" {
				t.Fatalf("after %d steps: %s", i+1, sim.violation)
			}
			sim.storeCut, sim.relayCut = map[int]bool{}, map[int]bool{}
		}
	})
}
