package control

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tarragonpoint/tarragonpoint/internal/lease"
	"github.com/tarragonpoint/tarragonpoint/internal/message"
)

// Guards against a member that renews a target's lease with old grants after it was released: the asker had folded a
// record that moved some of the slots, the member had not (two owners, TestTwoRegionsUnderFaults seed 30051).
func TestReleaseWaitsForTheFold(t *testing.T) {
	n := NewNode(Settings{VM: "b"})
	state := &targetState{id: "t", keeper: lease.NewKeeper("b")}
	n.targets["t"] = state
	n.onStopQuery("a", message.StopQuery{Target: "t", Sequence: 7})
	require.True(t, state.keeper.IsStopped())
	n.onStopRelease("a", message.StopRelease{Target: "t", Sequence: 7, AssignOffset: 1})
	require.True(t, state.keeper.IsStopped())
	n.assign.state.Offset = 1
	n.endReleased(state)
	require.False(t, state.keeper.IsStopped())
}

// Guards against a late query that replaces the statement for a newer takeover, and against one asker's release that ends
// the statement for another.
func TestStatementsAreKeptByRequester(t *testing.T) {
	n := NewNode(Settings{VM: "b"})
	state := &targetState{id: "t", keeper: lease.NewKeeper("b")}
	n.targets["t"] = state
	n.onStopQuery("a", message.StopQuery{Target: "t", Sequence: 9})
	n.onStopQuery("a", message.StopQuery{Target: "t", Sequence: 7})
	n.onStopRelease("a", message.StopRelease{Target: "t", Sequence: 7})
	require.True(t, state.keeper.IsStopped())
	n.onStopQuery("c", message.StopQuery{Target: "t", Sequence: 3})
	n.onStopRelease("c", message.StopRelease{Target: "t", Sequence: 3})
	require.True(t, state.keeper.IsStopped())
	n.onStopRelease("a", message.StopRelease{Target: "t", Sequence: 9})
	require.False(t, state.keeper.IsStopped())
}
