package proof

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tarragonpoint/tarragonpoint/internal/target"
)

func targetAddress(text string) target.Address { return target.Address(text) }

// TestSlotsAreAssignedAndFailOver guards against a control loop that never assigns slots, or does not fail them over
// when their owner ends.
func TestSlotsAreAssignedAndFailOver(t *testing.T) {
	t.Parallel()
	w := newWorld(1, 2, 2, 3, t.Fatalf)
	w.runFor(6*time.Second, w.checkOwners)
	require.Equal(t, slotsPerCell, w.servedSlots(), "all slots are served after the start")
	owners := w.currentOwners()
	for _, owner := range owners {
		w.targets[owner].alive = false
		break
	}
	start := w.now
	for w.servedSlots() < slotsPerCell && w.now-start < 10*time.Second {
		w.runFor(50*time.Millisecond, w.checkOwners)
	}
	t.Logf("served again after %v", w.now-start)
	require.LessOrEqual(t, w.now-start, 3*time.Second)
}
