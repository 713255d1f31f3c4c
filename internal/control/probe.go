package control

import (
	"maps"
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/record"
)

// appendProofTTL is the time for which a confirmed append shows that the assign stream accepts records. A slot whose
// revocation starts within it has no owner until the log is back if the log fails before the move is appended.
const appendProofTTL = 100 * time.Millisecond

// heldMove is a requested move that waits for the log. It is dropped after moveRequestTTL, when the planner requests it
// again or has decided otherwise.
type heldMove struct {
	move  record.Move
	since model.Instant
}

// logAccepts reports whether the assign stream confirmed an append within appendProofTTL and has not failed since.
// Successful reads do not show that, and those of the config stream say nothing about the assign stream.
func (n *Node) logAccepts() bool {
	return n.appendedBy != 0 && n.now.Sub(n.appendedBy) <= appendProofTTL
}

// onAssignAppend handles the completion of any append to the assign stream. After a confirmed one it starts the held
// moves.
func (n *Node) onAssignAppend(confirmed bool) {
	if !confirmed {
		n.appendedBy = 0
		return
	}
	n.appendedBy = n.now
	n.probedAt = 0
	var moves []record.Move
	for _, slot := range sortedSlots(n.heldMoves) {
		moves = append(moves, n.heldMoves[slot].move)
	}
	clear(n.heldMoves)
	n.startMoves(moves)
}

// probeForHeldMoves appends a probe every appendRetry while moves are held and the log counts as up.
func (n *Node) probeForHeldMoves() {
	maps.DeleteFunc(n.heldMoves, func(_ model.Slot, held heldMove) bool { return n.now.Sub(held.since) >= moveRequestTTL })
	if len(n.heldMoves) == 0 || !n.logUp || (n.probedAt != 0 && n.now.Sub(n.probedAt) < appendRetry) {
		return
	}
	n.probedAt = n.now
	n.emit(Append{Stream: record.AssignStream, Record: record.Record{ID: n.settings.NewID(), Probe: &record.Probe{}}})
}
