package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tarragonpoint/tarragonpoint/internal/message"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/record"
)

// Guards against a starting VM that serves, while the log is down, before it has folded what its peers have.
func TestReadyNeedsWhatPeersHave(t *testing.T) {
	known := newRig(t, "a")
	r := newRig(t, "a")
	r.node = NewNode(Settings{VM: "a", Zone: rigZone, Incarnation: 2, NewID: record.NewID})
	r.logDown, r.peerDown = true, true
	r.now = model.Instant(time.Second)
	beat := known.heartbeat()
	r.hear(message.Message{Heartbeat: &beat})
	r.hear(message.Message{Records: &message.Records{Stream: record.ConfigStream, Entries: known.node.streams[record.ConfigStream].tail}})
	r.run(2 * peerWait)
	require.False(t, r.node.ready)
	r.hear(message.Message{Records: &message.Records{Stream: record.AssignStream, Entries: known.node.streams[record.AssignStream].tail}})
	require.True(t, r.node.ready)
}

// Guards against others that wait until a VM that stops as planned has been silent before they act for its targets.
func TestLeavingPeerIsFollowedAtOnce(t *testing.T) {
	r := newRig(t, "b")
	r.run(3 * time.Second)
	require.False(t, r.node.targets[r.first].acting)
	beat := r.heartbeat()
	beat.Leaving = true
	r.hear(message.Message{Heartbeat: &beat})
	require.True(t, r.node.targets[r.first].acting)
}

// Guards against a late snapshot of a peer that takes the fold back, and with it owners and members.
func TestOlderSnapshotIsIgnored(t *testing.T) {
	r := newRig(t, "a")
	snapshot, err := r.node.assign.Snapshot()
	require.NoError(t, err)
	r.read(record.AssignStream, rigBase+1, r.up(heir, 1, 2))
	r.hear(message.Message{Records: &message.Records{Stream: record.AssignStream, Snapshot: &snapshot}})
	require.Equal(t, rigBase+1, r.node.assign.Offset())
	require.Equal(t, model.Incarnation(2), r.node.assign.state.Incarnations[heir])
}
