package keyspace

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Verifies that no key has two holders while targets send earlier responses to grants once more and alter responses.
func TestOneHolderUnderFalseResponses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(rapid.Uint64().Draw(t, "seed"), 2, 5)
		sim.run(2 * time.Second)
		steps := rapid.IntRange(3, 25).Draw(t, "steps")
		for i := 0; i < steps; i++ {
			sim.falseResponses = true
			sim.faultOf(t, []string{"kill", "lapse", "path", "path-all", "resign", "restart", "reuse", "slow", "unusable", "vm-kill"})
			sim.run(time.Duration(rapid.IntRange(1, 200).Draw(t, "pause")) * 20 * time.Millisecond)
			if sim.violation != "" {
				t.Fatalf("after %d steps: %s", i+1, sim.violation)
			}
			sim.restartVMs()
		}
	})
}
