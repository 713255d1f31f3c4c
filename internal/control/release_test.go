package control

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tarragonpoint/tarragonpoint/internal/lease"
	"github.com/tarragonpoint/tarragonpoint/internal/message"
)

// A member must not renew a target's lease with old grants after its release. This happened when the requester had
// folded a record that moved some of the slots and the member had not (two owners, TestTwoRegionsUnderFaults seed
// 30051).
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

// A late query must not replace the commitment for a newer takeover, and the release of one requester must not end the
// commitment to another.
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
