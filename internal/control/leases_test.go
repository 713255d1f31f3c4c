package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tarragonpoint/tarragonpoint/internal/lease"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/record"
)

// appendedUp reports whether the second incarnation of a target was recorded.
func (r *rig) appendedUp(id model.TargetID) bool {
	for _, appended := range r.appended {
		if up := appended.TargetUp; up != nil && up.Target == id && up.Incarnation == 2 {
			return true
		}
	}
	return false
}

// A lessor must not grant slots to a restarted target before every reader of the log has learned of the restart,
// because the target has lost the record of the slots that it gave up.
func TestUnregisteredIncarnationGetsNoSlots(t *testing.T) {
	r := newRig(t, "a")
	r.run(3 * time.Second)
	require.True(t, r.extended(r.first))
	r.restarted[r.first] = true
	r.run(lease.RenewInterval)
	r.extended(r.first)
	r.run(2 * lease.Bound)
	require.False(t, r.extended(r.first))
	r.read(record.AssignStream, rigBase+1, r.up(r.first, 1, 2))
	r.run(lease.RenewInterval)
	require.True(t, r.extended(r.first))
}

// A new incarnation must not be granted slots while a lessor or owner may still rely on the lease of the old one.
func TestNewIncarnationWaitsForTheOldLease(t *testing.T) {
	r := newRig(t, "a")
	r.run(3 * time.Second)
	r.restarted[r.first] = true
	r.run(lease.RenewInterval)
	_, firstSeen := r.node.targets[r.first].keeper.Incarnation()
	for r.now.Add(TickInterval) < firstSeen.Add(lease.Bound) {
		r.run(TickInterval)
		require.False(t, r.appendedUp(r.first))
	}
	r.run(2 * TickInterval)
	require.True(t, r.appendedUp(r.first))
}
