package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tarragonpoint/tarragonpoint/internal/config"
	"github.com/tarragonpoint/tarragonpoint/internal/lease"
	"github.com/tarragonpoint/tarragonpoint/internal/message"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/platform"
	"github.com/tarragonpoint/tarragonpoint/internal/record"
)

// A member must not renew a lease after it stated that it stopped, because the requester then takes the slots away.
func TestStatementEndsRenewals(t *testing.T) {
	r := newRig(t, "b")
	r.run(3 * time.Second)
	r.receive(r.stopQuery())
	r.peerDown = true
	r.extended(r.first)
	r.run(2 * lease.Bound)
	require.True(t, r.node.targets[r.first].acting)
	require.NotEmpty(t, r.renewed, "renewals that only read the clock continue")
	require.False(t, r.extended(r.first))
	r.receive(message.Message{StopRelease: &message.StopRelease{Target: r.first, Sequence: 1}})
	r.run(2 * lease.RenewInterval)
	require.True(t, r.extended(r.first), "a released member renews the lease again")
}

// No takeover may happen while a member that was removed without its own statement may still hold the lease.
func TestRemovedMembersAreQueried(t *testing.T) {
	r := newRig(t, "a")
	r.peerDown = true
	r.read(record.AssignStream, rigBase+1, record.Record{MemberRemove: &record.MemberRemove{Cell: rigZone, VM: "b", Incarnation: 1, CellEpoch: rigEpoch}})
	r.run(4 * time.Second)
	r.unresponsive[r.first] = true
	r.run(3 * lease.Bound)
	require.Nil(t, r.reassignedBy(record.EvidenceLeaseExpired))
	r.replyStopped("b")
	r.run(TickInterval)
	require.NotNil(t, r.reassignedBy(record.EvidenceLeaseExpired))
}

// A planner outside a cell must not take over slots because of the VM list while the cell has members: if they are only
// unreachable, they may have failed the slots over to other targets of the cell.
func TestOutsideTakeoverNeedsEmptyCell(t *testing.T) {
	const distant = model.TargetID("distant")
	r := newRig(t, "a")
	r.run(3 * time.Second)
	r.addOtherZone(distant)
	vms := []platform.VM{{ID: model.VMID(r.first)}, {ID: model.VMID(spareTarget)}, {ID: "b"}, {ID: "c"}}
	r.step(VMListRead{List: platform.VMListReply{Version: 1, VMs: append(vms, platform.VM{ID: model.VMID(distant)})}})
	for range 3 {
		r.run(terminationConfirm)
		r.step(VMListRead{List: platform.VMListReply{Version: 2, VMs: vms}})
	}
	require.True(t, r.node.isPlanner())
	require.True(t, r.node.watch.isTerminated(model.VMID(distant)))
	require.Nil(t, r.reassignedBy(record.EvidenceVMTerminated))
	r.read(record.AssignStream, rigBase+3, record.Record{VMTerminated: &record.VMTerminated{VM: "c", Incarnation: 1}})
	require.NotNil(t, r.reassignedBy(record.EvidenceVMTerminated))
}

// addOtherZone adds a zone with a single member "c" and a target that gets slot 0.
func (r *rig) addOtherZone(id model.TargetID) {
	const other = model.Zone("zone-b")
	changed := r.inventory()
	changed.Zones[other] = config.Zone{Name: other, Region: "region"}
	changed.Targets[id] = config.Target{ID: id, Service: rigService, Zone: other, VM: model.VMID(id), Address: "127.0.0.1:20009"}
	patch, err := config.Diff(r.node.config.State(), changed, "test")
	require.NoError(r.t, err)
	r.read(record.ConfigStream, 2, record.Record{ConfigPatch: &patch})
	member := record.Member{VM: "c", Incarnation: 1, Zone: other, Address: "c:1"}
	move := record.Move{Slot: rigSlot(0), BaseEpoch: rigBase, To: id}
	reassign := record.Reassign{Cell: rigZone, CellEpoch: rigEpoch, Evidence: record.EvidenceRevoked, Moves: []record.Move{move}}
	r.read(record.AssignStream, rigBase+1, record.Record{MemberJoin: &record.MemberJoin{Cell: other, Member: member}},
		record.Record{Reassign: &reassign})
}
