package assign

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/record"
)

// foldedCell returns a state in which a member joined at offset 1 and the slot got an owner at offset 2.
func foldedCell(t *testing.T) (*State, model.Slot) {
	slot := benchSlot(0)
	state := New()
	member := record.Member{VM: "a", Incarnation: 1, Zone: benchZone}
	require.Equal(t, Applied, state.apply(1, record.Record{MemberJoin: &record.MemberJoin{Cell: benchZone, Member: member}}))
	require.Equal(t, Applied, state.apply(2, reassignOf(slot, 1, 0, "old")))
	return state, slot
}

func reassignOf(slot model.Slot, cellEpoch, base model.Offset, to model.TargetID) record.Record {
	moves := []record.Move{{Slot: slot, BaseEpoch: base, To: to}}
	return record.Record{Reassign: &record.Reassign{Cell: benchZone, CellEpoch: cellEpoch, Evidence: record.EvidenceLeaseExpired, Moves: moves}}
}

// Guards against a takeover that is based on the statements of an earlier set of members: a member that has joined
// since may renew the lease.
func TestReassignNeedsTheCellEpoch(t *testing.T) {
	state, slot := foldedCell(t)
	joined := record.MemberJoin{Cell: benchZone, Member: record.Member{VM: "b", Incarnation: 1, Zone: benchZone}}
	require.Equal(t, Applied, state.apply(3, record.Record{MemberJoin: &joined}))
	require.Equal(t, VoidEpoch, state.apply(4, reassignOf(slot, 1, 2, "new")))
	require.Equal(t, Ownership{Owner: "old", Epoch: 2}, state.Slots[slot])
	require.Equal(t, Applied, state.apply(5, reassignOf(slot, 3, 2, "new")))
}

// Guards against a late or repeated record that reassigns a slot from an owner that its evidence does not cover.
func TestReassignNeedsTheBaseEpoch(t *testing.T) {
	state, slot := foldedCell(t)
	require.Equal(t, Applied, state.apply(3, reassignOf(slot, 1, 2, "new")))
	require.Equal(t, VoidEpoch, state.apply(4, reassignOf(slot, 1, 2, "other")))
	require.Equal(t, Ownership{Owner: "new", Epoch: 3}, state.Slots[slot])
}
