package proof

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func (w *world) cutBothWays(a, b string) {
	w.cut[[2]string{a, b}] = true
	w.cut[[2]string{b, a}] = true
}

// TestTakeoverNeedsStatements guards against a lessor that takes over the slots of a target that is unreachable only
// from this lessor, while another member of the cell, from which it receives no messages, renews the target's lease.
func TestTakeoverNeedsStatements(t *testing.T) {
	t.Parallel()
	for seed := range int64(4) {
		w := newWorld(seed, 2, 2, 2, t.Fatalf)
		w.noLateMessages = true
		w.runFor(startupTime, w.checkOwners)
		id := w.targetIDs()[seed]
		lessors := w.lessorsOf(id)
		require.Len(t, lessors, 1)
		lessor := w.vms[lessors[0]]
		w.cutBothWays(lessor.name, string(id))
		for _, name := range w.vmNames() {
			if vm := w.vms[name]; vm.zone == lessor.zone && vm != lessor {
				w.isolate(name, string(id))
			}
		}
		w.runFor(12*time.Second, w.checkOwners)
		require.True(t, w.targets[id].hasLease(), "seed %d: the other member renews the lease", seed)
	}
}

// isolate partitions an endpoint from all others except one, in both directions.
func (w *world) isolate(name, except string) {
	for _, other := range w.endpoints() {
		if other != except && other != name {
			w.cutBothWays(name, other)
		}
	}
}
