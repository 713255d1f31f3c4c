package control

import (
	"maps"
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/config"
	"github.com/tarragonpoint/tarragonpoint/internal/lease"
	"github.com/tarragonpoint/tarragonpoint/internal/message"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/record"
)

const (
	// suspectFailures is the number of failed renewals in a row after which a target counts as silent.
	suspectFailures = 3
	// askInterval is the time between two rounds of stop queries.
	askInterval = 200 * time.Millisecond
	// remindInterval is the time between two copies of the same statement.
	remindInterval = time.Second
	// maxMovesPerRecord bounds the size of a Reassign record.
	maxMovesPerRecord = 1024
)

// takeover collects the statements of all members, and of removed members that may still act, that they do not renew a
// target's lease. The statements hold for one cell epoch.
type takeover struct {
	epoch    model.Offset
	sequence uint64
	askedAt  model.Instant
	// endsBy is, for each VM that stated that it stopped, when its leases have run out.
	endsBy map[model.VMID]model.Instant
}

// stopPromise is this VM's own statement to another member.
type stopPromise struct {
	epoch    model.Offset
	sequence uint64
	// remindedAt is when the statement was last sent.
	remindedAt model.Instant
	// releasedAt is the assign offset from which the statement ends; it counts if isReleased.
	releasedAt model.Offset
	isReleased bool
}

func (n *Node) newTakeover(zone model.Zone) *takeover {
	n.sequence++
	return &takeover{
		epoch:    n.assign.state.CellEpoch(zone),
		sequence: n.sequence,
		endsBy:   map[model.VMID]model.Instant{},
	}
}

// takeOver moves slots away from targets that do not answer, once there is evidence that they cannot act any more.
func (n *Node) takeOver() {
	for _, id := range n.targetIDs {
		state := n.targets[id]
		n.endReleased(state)
		n.remindStop(state)
		if !state.acting && !n.outbox.has(takeoverPurpose(id)) {
			n.release(state)
		}
		if !n.needsRescue(id) {
			continue
		}
		if n.logUp && n.takeOverGone(state) || !state.acting {
			continue
		}
		n.takeOverLapsed(state)
	}
}

// needsRescue reports whether slotsToRescue has any slot. It is asked for every target in each step, so it collects and sorts
// the slots only if overrides may have taken all of them.
func (n *Node) needsRescue(id model.TargetID) bool {
	if n.assign.state.OwnedCount(id) > len(n.overrides) {
		return true
	}
	if len(n.overrides) == 0 {
		return false
	}
	return len(n.slotsToRescue(id)) > 0
}

// takeOverLapsed handles a target of an own cell that has been silent.
func (n *Node) takeOverLapsed(state *targetState) {
	if !n.isLost(state) || len(state.stopFor) > 0 {
		n.abortProposal(state)
		return
	}
	if state.takeover == nil {
		state.takeover = n.newTakeover(state.config.Zone)
		state.keeper.Stop()
	}
	n.ask(state, state.takeover)
	if !n.isLapsed(state, state.takeover) {
		return
	}
	if n.logUp {
		n.abortProposal(state)
		n.reassignFrom(state, record.EvidenceLapsed)
		return
	}
	n.failOver(state)
}

// takeOverGone handles a target whose VM the list no longer has. Outside the target's cell that needs a cell whose members
// are all gone: members that are only cut off may have failed the slots over among their targets.
func (n *Node) takeOverGone(state *targetState) bool {
	if !n.watch.isGone(state.config.VM) || state.keeper.AnsweredWithin(n.now, lease.Duration) {
		return false
	}
	if status := n.currentStatus(state.id); status != nil && status.Serving {
		return false
	}
	if !state.acting && (!n.isPlanner() || n.hasMembers(state.config.Zone)) {
		return false
	}
	return n.reassignFrom(state, record.EvidenceGone)
}

// hasMembers reports whether a cell has members, or removed members that are not known to be gone.
func (n *Node) hasMembers(zone model.Zone) bool {
	return len(n.assign.state.Members(zone))+len(n.assign.state.Removed(zone)) > 0
}

// ask sends stop queries to all members of the cell that have not answered.
func (n *Node) ask(state *targetState, t *takeover) {
	if t.askedAt != 0 && n.now.Sub(t.askedAt) < askInterval {
		return
	}
	t.askedAt = n.now
	zone := state.config.Zone
	query := message.StopQuery{Cell: zone, CellEpoch: t.epoch, Target: state.id, Sequence: t.sequence}
	for _, vm := range n.mayRenew(zone) {
		if _, stated := t.endsBy[vm]; !stated {
			n.send(vm, message.Message{StopQuery: &query})
		}
	}
}

// mayRenew returns the other VMs that may renew leases in a cell.
func (n *Node) mayRenew(zone model.Zone) []model.VMID {
	var vms []model.VMID
	for _, member := range append(n.assign.state.Members(zone), n.assign.state.Removed(zone)...) {
		if member.VM != n.settings.VM {
			vms = append(vms, member.VM)
		}
	}
	return vms
}

// isLapsed reports whether nobody can hold a renewed lease of the target any more: all who may renew stated that they
// stopped, their leases and those of this VM and its predecessor have run out, and the cell has been unchanged for as long.
func (n *Node) isLapsed(state *targetState, t *takeover) bool {
	zone := state.config.Zone
	if t.epoch != n.assign.state.CellEpoch(zone) {
		return false
	}
	if n.now < n.ownEndsBy(state) || n.now < n.cellChanged[zone].Add(lease.Bound) {
		return false
	}
	for _, vm := range n.mayRenew(zone) {
		endsBy, stated := t.endsBy[vm]
		if !stated || n.now < endsBy {
			return false
		}
	}
	return true
}

// ownEndsBy returns when leases renewed by this process, or by an earlier process of this VM, have run out. Instants count
// from the start of this process.
func (n *Node) ownEndsBy(state *targetState) model.Instant {
	return max(state.keeper.EndsBy(), model.Instant(lease.Bound))
}

// reassignFrom appends new owners for the slots of a target. It reports whether a record was submitted.
func (n *Node) reassignFrom(state *targetState, evidence record.Evidence) bool {
	if n.outbox.has(takeoverPurpose(state.id)) {
		return true
	}
	moves := n.destinations(state.id, func(config.Target) bool { return true })
	if len(moves) == 0 {
		return false
	}
	if len(moves) > maxMovesPerRecord {
		moves = moves[:maxMovesPerRecord]
	}
	return n.reassign(state.config.Zone, takeoverPurpose(state.id), evidence, moves)
}

// takeoverPurpose is the outbox purpose of records that take slots from a target.
func takeoverPurpose(id model.TargetID) string { return "from " + string(id) }

func (n *Node) reassign(zone model.Zone, purpose string, evidence record.Evidence, moves []record.Move) bool {
	epoch := n.assign.state.CellEpoch(zone)
	r := record.Reassign{Cell: zone, CellEpoch: epoch, Evidence: evidence, Moves: moves}
	obsolete := func() bool {
		if n.assign.state.CellEpoch(zone) != epoch {
			return true
		}
		for _, move := range moves {
			if n.assign.state.Slots[move.Slot].Epoch != move.BaseEpoch {
				return true
			}
		}
		return false
	}
	return n.submit(record.AssignStream, purpose, record.Record{Reassign: &r}, obsolete)
}

// cancelTakeover ends a takeover when the target answers, unless a record that rests on it may already be in the log.
func (n *Node) cancelTakeover(state *targetState) {
	if !n.outbox.has(takeoverPurpose(state.id)) && !n.isLost(state) {
		n.release(state)
	}
}

// onStopQuery answers whether this VM renews a target's lease. Of two members that take over at the same time the one
// with the lower name goes on.
func (n *Node) onStopQuery(from model.VMID, query message.StopQuery) {
	statement := message.StopStatement{
		Cell:      query.Cell,
		CellEpoch: n.assign.state.CellEpoch(query.Cell),
		Target:    query.Target,
		Sequence:  query.Sequence,
	}
	state, known := n.targets[query.Target]
	yields := known && (state.takeover == nil || from < n.settings.VM)
	if statement.CellEpoch != query.CellEpoch || !yields || n.keepsServing(state) {
		n.send(from, message.Message{StopStatement: &statement})
		return
	}
	if earlier, stated := state.stopFor[from]; stated && query.Sequence < earlier.sequence {
		// A late query must not replace the statement for a newer takeover: its release would end both.
		return
	}
	n.release(state)
	promise := &stopPromise{epoch: query.CellEpoch, sequence: query.Sequence, remindedAt: n.now}
	if state.stopFor == nil {
		state.stopFor = map[model.VMID]*stopPromise{}
	}
	state.stopFor[from] = promise
	state.exclusive = nil
	state.keeper.Stop()
	n.dirty = true
	n.send(from, message.Message{StopStatement: n.statementFor(state, promise)})
}

func (n *Node) statementFor(state *targetState, promise *stopPromise) *message.StopStatement {
	return &message.StopStatement{
		Cell:      state.config.Zone,
		CellEpoch: promise.epoch,
		Target:    state.id,
		Stopped:   true,
		Remaining: max(0, n.ownEndsBy(state).Sub(n.now)),
		Sequence:  promise.sequence,
	}
}

// keepsServing reports whether this VM must not state that it stopped: it holds the lease and the target answers, or a
// record that rests on its own takeover may be in the log.
func (n *Node) keepsServing(state *targetState) bool {
	if n.outbox.has(takeoverPurpose(state.id)) {
		return true
	}
	return state.acting && !n.isLost(state) && state.keeper.AnsweredWithin(n.now, lease.Duration)
}

func (n *Node) onStopStatement(from model.VMID, statement message.StopStatement) {
	state, known := n.targets[statement.Target]
	if !known || !statement.Stopped {
		return
	}
	for _, t := range []*takeover{state.takeover, state.exclusive} {
		if t != nil && t.epoch == statement.CellEpoch && t.sequence == statement.Sequence {
			t.endsBy[from] = n.now.Add(statement.Remaining)
			return
		}
	}
	n.sendRelease(from, statement.Target, statement.Sequence)
}

// isExclusive collects the statements that let this VM act for a target that does not check terms, and reports whether it
// has them all.
func (n *Node) isExclusive(state *targetState) bool {
	if len(state.stopFor) > 0 {
		return false
	}
	zone := state.config.Zone
	if state.exclusive == nil || state.exclusive.epoch != n.assign.state.CellEpoch(zone) {
		state.exclusive = n.newTakeover(zone)
	}
	n.ask(state, state.exclusive)
	for _, vm := range n.mayRenew(zone) {
		endsBy, stated := state.exclusive.endsBy[vm]
		if !stated || n.now < endsBy {
			return false
		}
	}
	return n.now >= model.Instant(lease.Bound)
}

// remindStop repeats this VM's statement while its target answers, so that an asker that gave the takeover up, and whose
// release was lost, releases it again.
func (n *Node) remindStop(state *targetState) {
	for _, asker := range sortedKeys(state.stopFor) {
		promise := state.stopFor[asker]
		if n.now.Sub(promise.remindedAt) >= remindInterval {
			promise.remindedAt = n.now
			n.send(asker, message.Message{StopStatement: n.statementFor(state, promise)})
		}
	}
}

// release ends the takeover of a target and frees the members that stated that they stopped for it.
func (n *Node) release(state *targetState) {
	if state.takeover == nil {
		return
	}
	n.abortProposal(state)
	for _, vm := range sortedKeys(state.takeover.endsBy) {
		n.sendRelease(vm, state.id, state.takeover.sequence)
	}
	state.takeover = nil
	state.keeper.Resume()
	state.keeper.Hurry(n.now)
	n.pendingStats[state.id] = true
}

func (n *Node) onStopRelease(from model.VMID, released message.StopRelease) {
	state, known := n.targets[released.Target]
	if !known {
		return
	}
	if promise, stated := state.stopFor[from]; stated && promise.sequence == released.Sequence {
		promise.isReleased = true
		promise.releasedAt = released.AssignOffset
		n.endReleased(state)
	}
}

// endReleased ends the statements whose askers released them, once this VM has folded what the askers had.
func (n *Node) endReleased(state *targetState) {
	before := len(state.stopFor)
	maps.DeleteFunc(state.stopFor, func(_ model.VMID, promise *stopPromise) bool {
		return promise.isReleased && n.assign.Offset() >= promise.releasedAt
	})
	if before > 0 && len(state.stopFor) == 0 && state.takeover == nil {
		state.keeper.Resume()
		state.keeper.Hurry(n.now)
	}
}

func (n *Node) sendRelease(to model.VMID, id model.TargetID, sequence uint64) {
	released := message.StopRelease{Target: id, Sequence: sequence, AssignOffset: n.assign.Offset()}
	n.send(to, message.Message{StopRelease: &released})
}
