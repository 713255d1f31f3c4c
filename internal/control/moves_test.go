package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tarragonpoint/tarragonpoint/internal/config"
	"github.com/tarragonpoint/tarragonpoint/internal/record"
	"github.com/tarragonpoint/tarragonpoint/internal/target"
)

// drainFirst publishes a configuration that drains the first target.
func (r *rig) drainFirst() {
	changed := r.inventory()
	drained := changed.Targets[r.first]
	drained.Drain = true
	changed.Targets[r.first] = drained
	patch, err := config.Diff(r.node.config.State(), changed, "test")
	require.NoError(r.t, err)
	r.read(record.ConfigStream, 2, record.Record{ConfigPatch: &patch})
}

// runReading advances the time like run while the config stream responds.
func (r *rig) runReading(span time.Duration) {
	for end := r.now.Add(span); r.now < end; {
		r.step(LogRead{Stream: record.ConfigStream, End: r.node.config.Offset() + 1})
		r.run(TickInterval)
	}
}

// balance gives slot 1 to the spare target, so that the planner moves nothing.
func (r *rig) balance() {
	move := record.Move{Slot: rigSlot(1), BaseEpoch: rigBase, To: spareTarget}
	reassign := record.Reassign{Cell: rigZone, CellEpoch: rigEpoch, Evidence: record.EvidenceRevoked, Moves: []record.Move{move}}
	r.read(record.AssignStream, rigBase+1, record.Record{Reassign: &reassign})
}

// probes returns the probes that were appended.
func (r *rig) probes() []record.Record {
	var found []record.Record
	for _, appended := range r.appended {
		if appended.Probe != nil {
			found = append(found, appended)
		}
	}
	return found
}

// completeProbe delivers the outcome of the last appended probe.
func (r *rig) completeProbe(ok bool) {
	probes := r.probes()
	require.NotEmpty(r.t, probes)
	r.step(AppendDone{Stream: record.AssignStream, ID: probes[len(probes)-1].ID, OK: ok})
}

// served returns the number of slots for which "a" holds a lease of the first target.
func (r *rig) served() int { return len(r.node.buildTable().Leases[r.first].Slots) }

// Guards against slots that nobody serves until the log is back, because their owner was drained while only the assign
// stream was down: they were revoked first, and the moves could then not be appended.
func TestDrainDuringOutageOfAssignStreamRevokesNothing(t *testing.T) {
	r := newRig(t, "a")
	r.balance()
	r.runReading(5 * time.Second)
	r.logDown = true
	r.runReading(time.Second)
	r.drainFirst()
	for range 40 {
		r.runReading(250 * time.Millisecond)
		require.Empty(t, r.revoked)
		require.Equal(t, 1, r.served())
		if len(r.probes()) > 0 {
			r.completeProbe(false)
		}
	}
	r.logDown = false
	r.runReading(appendRetry)
	require.Empty(t, r.revoked, "a read does not show that the stream accepts records")
	r.completeProbe(true)
	require.Len(t, r.revoked, 1)
	require.Len(t, r.revoked[0].Request.Slots, 1)
	r.step(RevokeDone{Target: r.first, Sequence: r.revoked[0].Sequence, Response: &target.RevokeResponse{Accepted: true, Incarnation: 1}})
	require.Len(t, r.reassignedBy(record.EvidenceRevoked).Moves, 1)
}

// Guards against moves that rely on an append from before an outage, on one of the other stream, or that start although
// they were requested too long ago.
func TestMovesNeedRecentAppendToAssignStream(t *testing.T) {
	for name, broken := range map[string]func(r *rig){
		"too long ago":     func(r *rig) { r.run(appendProofTTL + TickInterval) },
		"failed append":    func(r *rig) { r.step(AppendDone{Stream: record.AssignStream}) },
		"failed read":      func(r *rig) { r.step(LogDown{Stream: record.AssignStream}) },
		"config stream":    func(r *rig) { r.node.appendedBy = 0; r.step(AppendDone{Stream: record.ConfigStream, OK: true}) },
		"nothing appended": func(r *rig) { r.node.appendedBy = 0 },
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, "a")
			r.balance()
			r.run(5 * time.Second)
			r.step(AppendDone{Stream: record.AssignStream, OK: true})
			require.True(t, r.node.logAccepts())
			broken(r)
			moves := []record.Move{{Slot: rigSlot(0), BaseEpoch: rigBase, To: spareTarget}}
			r.node.startMoves(moves)
			r.step(Tick{})
			require.Empty(t, r.revoked)
			require.Equal(t, 1, r.served())
			require.Len(t, r.node.heldMoves, 1)
			r.logDown = true
			r.run(moveRequestTTL)
			r.step(AppendDone{Stream: record.AssignStream, OK: true})
			require.Empty(t, r.revoked, "the planner may have decided otherwise")
		})
	}
}
