package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tarragonpoint/tarragonpoint/internal/lease"
	"github.com/tarragonpoint/tarragonpoint/internal/message"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/record"
)

// overrideTo returns a committed override of slot 0 proposed by "b".
func overrideTo(to model.TargetID) message.Override {
	id := message.OverrideID{Proposer: "b", Sequence: 1}
	return message.Override{ID: id, Slot: rigSlot(0), Base: rigBase, To: to, Committed: true}
}

// An override must not take effect before every member has accepted it: a member that has not may have a pending record
// that gives the slot to another target.
func TestOverrideNeedsAllAccepts(t *testing.T) {
	r := newRig(t, "a")
	r.run(3 * time.Second)
	r.logDown = true
	r.run(logDownAfter)
	r.unresponsive[r.first] = true
	r.run(2 * lease.Bound)
	r.replyStopped("b")
	r.run(2 * lease.Bound)
	prepare := last(r, "b", func(m message.Message) *message.OverridePrepare { return m.OverridePrepare })
	require.NotNil(t, prepare)
	require.Empty(t, r.node.ownerOf(rigSlot(0)), "no target is granted the slot before all members have accepted")
	r.receive(message.Message{OverrideAccept: &message.OverrideAccept{ID: prepare.ID}})
	require.Equal(t, spareTarget, r.node.ownerOf(rigSlot(0)))
}

// A member must not accept an override while it may still renew the lease of the old owner.
func TestAcceptNeedsTheStatement(t *testing.T) {
	r := newRig(t, "b")
	r.run(3 * time.Second)
	accepted := func() *message.OverrideAccept {
		return last(r, "b", func(m message.Message) *message.OverrideAccept { return m.OverrideAccept })
	}
	prepare := message.OverridePrepare{ID: overrideTo(spareTarget).ID, Cell: rigZone, CellEpoch: rigEpoch, From: r.first,
		Moves: []record.Move{{Slot: rigSlot(0), BaseEpoch: rigBase, To: spareTarget}}}
	r.receive(message.Message{OverridePrepare: &prepare})
	require.Nil(t, accepted())
	require.Equal(t, r.first, r.node.ownerOf(rigSlot(0)))
	r.receive(r.stopQuery())
	r.receive(message.Message{OverridePrepare: &prepare})
	require.NotNil(t, accepted())
}

// A process that joined a cell must not grant a slot to its owner in the log if the other members gave the slot to
// another target while the log was down.
func TestJoinedProcessSynchronizesFirst(t *testing.T) {
	r := newJoiningRig(t)
	r.run(3 * time.Second)
	require.Empty(t, r.renewed)
	reply := r.syncReplyOfB(overrideTo(spareTarget))
	reply.SyncReply.Synced = true
	r.receive(reply)
	r.run(time.Second)
	require.True(t, r.extended(r.first))
	require.Equal(t, []model.Slot{rigSlot(1)}, r.node.slotsOf(r.first))
}

// A process whose cell has no member that knows the overrides must not grant a slot to its owner in the log before the
// leases under overrides that all members forgot have expired (two owners, TestRestartOfAllVMsThatKnowOverride).
func TestJoinedProcessAwaitsForgottenLeases(t *testing.T) {
	r := newJoiningRig(t)
	r.run(3 * time.Second)
	r.receive(r.syncReplyOfB())
	r.run(lease.Bound - TickInterval)
	require.Empty(t, r.renewed)
	r.run(time.Second)
	require.True(t, r.extended(r.first))
}

// newJoiningRig returns a rig with a new process of "a" that has folded the log, while "b" does not reply to its queries.
func newJoiningRig(t *testing.T) *rig {
	r := newRig(t, "a")
	r.node = NewNode(r.node.settings)
	r.unsynced = true
	fresh := newRig(t, "a")
	r.read(record.ConfigStream, 1, fresh.node.streams[record.ConfigStream].tail[0].Record)
	r.step(LogRead{Stream: record.AssignStream, Entries: fresh.node.streams[record.AssignStream].tail, End: rigBase + 1})
	r.renewed = nil
	return r
}

// syncReplyOfB returns the reply of "b" to the last sync query, without the knowledge of an earlier process of "b".
func (r *rig) syncReplyOfB(known ...message.Override) message.Message {
	query := last(r, "b", func(m message.Message) *message.SyncQuery { return m.SyncQuery })
	require.NotNil(r.t, query)
	return syncReply(*query, known...)
}

// An override must not outlive a newer record for its slot; the slot would have two owners.
func TestNewerRecordEndsOverride(t *testing.T) {
	r := newRig(t, "a")
	r.run(time.Second)
	r.node.learnOverride(overrideTo(spareTarget))
	require.Equal(t, spareTarget, r.node.ownerOf(rigSlot(0)))
	move := record.Move{Slot: rigSlot(0), BaseEpoch: rigBase, To: r.first}
	reassign := record.Reassign{Cell: rigZone, CellEpoch: rigEpoch, Evidence: record.EvidenceLeaseExpired, Moves: []record.Move{move}}
	entry := record.Entry{Offset: rigBase + 1, Record: record.Record{Reassign: &reassign}}
	r.node.handle(LogRead{Stream: record.AssignStream, Entries: []record.Entry{entry}, End: rigBase + 2})
	require.Equal(t, r.first, r.node.ownerOf(rigSlot(0)))
	r.step(Tick{})
	require.Empty(t, r.node.overrides)
}
