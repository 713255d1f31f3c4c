package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tarragonpoint/tarragonpoint/internal/lease"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

// Frequent changes of one target must not delay the full rounds: the statuses of all unchanged targets would expire at
// every entry VM.
func TestChangesDoNotDelayFullRounds(t *testing.T) {
	n := NewNode(Settings{VM: "a"})
	n.knownPeers["b"] = "127.0.0.1:1"
	n.targetIDs = []model.TargetID{"busy", "quiet"}
	for _, id := range n.targetIDs {
		n.targets[id] = &targetState{id: id, keeper: lease.NewKeeper("a"), acting: true}
		n.targetIDs = append(n.targetIDs, id)
	}
	const step = 100 * time.Millisecond
	sentAt := model.Instant(step)
	for n.now = sentAt; n.now < model.Instant(3*statusTTL); n.now = n.now.Add(step) {
		n.pendingStatuses["busy"] = true
		n.effects = nil
		n.sendStatuses()
		for _, effect := range n.effects {
			for _, sent := range effect.(Send).Message.StatusUpdate.Statuses {
				if sent.Target == "quiet" {
					sentAt = n.now
				}
			}
		}
		require.LessOrEqual(t, n.now.Sub(sentAt), statusInterval)
	}
}
