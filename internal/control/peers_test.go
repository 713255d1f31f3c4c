package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tarragonpoint/tarragonpoint/internal/message"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/record"
)

// While the log is down, a starting VM must not serve before it has folded the records that its peers have.
func TestReadyNeedsRecordsOfPeers(t *testing.T) {
	known := newRig(t, "a")
	r := newRig(t, "a")
	r.node = NewNode(Settings{VM: "a", Zone: rigZone, Incarnation: 2, NewID: record.NewID})
	r.logDown, r.peerDown = true, true
	r.now = model.Instant(time.Second)
	heartbeat := known.heartbeat()
	r.receive(message.Message{Heartbeat: &heartbeat})
	r.receive(message.Message{Records: &message.Records{Stream: record.ConfigStream, Entries: known.node.streams[record.ConfigStream].tail}})
	r.run(2 * peerReplyWait)
	require.False(t, r.node.ready)
	r.receive(message.Message{Records: &message.Records{Stream: record.AssignStream, Entries: known.node.streams[record.AssignStream].tail}})
	require.True(t, r.node.ready)
}

// When a VM announces a planned stop, other members must act as lessors of its targets at once, not only after the VM
// has been unresponsive.
func TestLeavingPeerIsReplacedAtOnce(t *testing.T) {
	r := newRig(t, "b")
	r.run(3 * time.Second)
	require.False(t, r.node.targets[r.first].acting)
	heartbeat := r.heartbeat()
	heartbeat.Leaving = true
	r.receive(message.Message{Heartbeat: &heartbeat})
	require.True(t, r.node.targets[r.first].acting)
}

// A late snapshot from a peer must not revert the fold, and with it owners and members, to an older state.
func TestOlderSnapshotIsIgnored(t *testing.T) {
	r := newRig(t, "a")
	snapshot, err := r.node.assign.Snapshot()
	require.NoError(t, err)
	r.read(record.AssignStream, rigBase+1, r.up(spareTarget, 1, 2))
	r.receive(message.Message{Records: &message.Records{Stream: record.AssignStream, Snapshot: &snapshot}})
	require.Equal(t, rigBase+1, r.node.assign.Offset())
	require.Equal(t, model.Incarnation(2), r.node.assign.state.Incarnations[spareTarget])
}
