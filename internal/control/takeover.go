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
	// suspectFailures is the number of consecutive failed renewals after which a target counts as unresponsive.
	suspectFailures = 3
	// queryInterval is the minimum time between two rounds of stop queries, or of override proposals, to the same
	// members.
	queryInterval = 200 * time.Millisecond
	// resendInterval is the time after which an unreleased stop statement, or the query about an undecided override, is
	// sent again.
	resendInterval = time.Second
	// maxMovesPerRecord is the maximum number of moves in a Reassign record or an override proposal.
	maxMovesPerRecord = 1024
)

// takeover collects statements that a target's lease is no longer renewed. They are needed from all members of the cell
// and from removed members that may still act, and are valid for one cell epoch only.
type takeover struct {
	epoch     model.Offset
	sequence  uint64
	queriedAt model.Instant
	// leasesEndBy maps each VM that stated that it stopped renewing to the time when its leases have expired.
	leasesEndBy map[model.VMID]model.Instant
}

// stopCommitment is this VM's commitment to another member not to renew a target's lease.
type stopCommitment struct {
	epoch    model.Offset
	sequence uint64
	// sentAt is when the statement was last sent.
	sentAt model.Instant
	// releasedAt is the assign offset that must be folded before the commitment ends. It is only valid if isReleased is
	// set.
	releasedAt model.Offset
	isReleased bool
}

func (n *Node) newTakeover(zone model.Zone) *takeover {
	n.sequence++
	return &takeover{
		epoch:       n.assign.state.CellEpoch(zone),
		sequence:    n.sequence,
		leasesEndBy: map[model.VMID]model.Instant{},
	}
}

// takeOver reassigns the slots of unresponsive or terminated targets once there is evidence that the targets can no
// longer act.
func (n *Node) takeOver() {
	for _, id := range n.targetIDs {
		state := n.targets[id]
		n.endReleased(state)
		n.resendStatements(state)
		if !state.acting && !n.outbox.has(takeoverPurpose(id)) {
			n.release(state)
		}
		if !n.hasSlotsToReassign(id) {
			continue
		}
		if n.logUp && n.takeOverTerminated(state) || !state.acting {
			continue
		}
		n.takeOverExpired(state)
	}
}

// hasSlotsToReassign reports whether slotsToReassign returns any slot. It is called for every target in each step, so
// it collects and sorts the slots only if overrides may have moved all of them away.
func (n *Node) hasSlotsToReassign(id model.TargetID) bool {
	if n.assign.state.OwnedCount(id) > len(n.overrides) {
		return true
	}
	if len(n.overrides) == 0 {
		return false
	}
	return len(n.slotsToReassign(id)) > 0
}

// takeOverExpired takes over from an unresponsive target of one of this VM's cells once its lease has expired.
func (n *Node) takeOverExpired(state *targetState) {
	if !n.isFailed(state) || len(state.stopCommitments) > 0 {
		n.abortProposal(state)
		return
	}
	if state.takeover == nil {
		state.takeover = n.newTakeover(state.config.Zone)
		state.keeper.Stop()
	}
	n.sendStopQueries(state, state.takeover)
	if !n.isLeaseExpired(state, state.takeover) {
		return
	}
	if n.logUp {
		n.abortProposal(state)
		n.reassignFrom(state, record.EvidenceLeaseExpired)
		return
	}
	n.failOver(state)
}

// takeOverTerminated takes over from a target whose VM has been removed from the VM list. The planner may do so from
// outside the target's cell, but only if the cell has neither members nor removed members that may still act: members
// that are merely unreachable may have failed the slots over to other targets of the cell.
func (n *Node) takeOverTerminated(state *targetState) bool {
	if !n.watch.isTerminated(state.config.VM) || state.keeper.RespondedWithin(n.now, lease.Duration) {
		return false
	}
	if status := n.currentStatus(state.id); status != nil && status.Serving {
		return false
	}
	if !state.acting && (!n.isPlanner() || n.hasMembers(state.config.Zone)) {
		return false
	}
	return n.reassignFrom(state, record.EvidenceVMTerminated)
}

// hasMembers reports whether a cell has members, or removed members that are not known to be terminated.
func (n *Node) hasMembers(zone model.Zone) bool {
	return len(n.assign.state.Members(zone))+len(n.assign.state.Removed(zone)) > 0
}

// sendStopQueries sends stop queries to all members that may renew leases in the cell and have not stated that they
// stopped.
func (n *Node) sendStopQueries(state *targetState, t *takeover) {
	if t.queriedAt != 0 && n.now.Sub(t.queriedAt) < queryInterval {
		return
	}
	t.queriedAt = n.now
	zone := state.config.Zone
	query := message.StopQuery{Cell: zone, CellEpoch: t.epoch, Target: state.id, Sequence: t.sequence}
	for _, vm := range n.possibleRenewers(zone) {
		if _, stated := t.leasesEndBy[vm]; !stated {
			n.send(vm, message.Message{StopQuery: &query})
		}
	}
}

// possibleRenewers returns the other VMs that may renew leases in a cell: its members and its removed members.
func (n *Node) possibleRenewers(zone model.Zone) []model.VMID {
	var vms []model.VMID
	for _, member := range append(n.assign.state.Members(zone), n.assign.state.Removed(zone)...) {
		if member.VM != n.settings.VM {
			vms = append(vms, member.VM)
		}
	}
	return vms
}

// isLeaseExpired reports whether no VM can hold a renewed lease of the target any more: all possible renewers stated
// that they stopped, their leases and those of this VM and its predecessor process have expired, and the members of the
// cell have not changed for lease.Bound.
func (n *Node) isLeaseExpired(state *targetState, t *takeover) bool {
	zone := state.config.Zone
	if t.epoch != n.assign.state.CellEpoch(zone) {
		return false
	}
	if n.now < n.ownLeasesEndBy(state) || n.now < n.cellChanged[zone].Add(lease.Bound) {
		return false
	}
	for _, vm := range n.possibleRenewers(zone) {
		endsBy, stated := t.leasesEndBy[vm]
		if !stated || n.now < endsBy {
			return false
		}
	}
	return true
}

// ownLeasesEndBy returns when all leases renewed by this process, or by an earlier process of this VM, have expired.
// The bound for an earlier process is lease.Bound, because instants count from the start of this process.
func (n *Node) ownLeasesEndBy(state *targetState) model.Instant {
	return max(state.keeper.EndsBy(), model.Instant(lease.Bound))
}

// reassignFrom submits a record that assigns the slots of a target to new owners. It reports whether such a record is
// submitted or already pending.
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

// takeoverPurpose returns the outbox purpose of records that take slots from a target.
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

// cancelTakeover ends a takeover when the target responds again, unless a record based on the takeover may already be
// in the log.
func (n *Node) cancelTakeover(state *targetState) {
	if !n.outbox.has(takeoverPurpose(state.id)) && !n.isFailed(state) {
		n.release(state)
	}
}

// onStopQuery replies whether this VM has stopped renewing a target's lease. If two members take over from the same
// target at the same time, the one with the lower VM ID continues and the other yields.
func (n *Node) onStopQuery(from model.VMID, query message.StopQuery) {
	statement := message.StopStatement{
		Cell:      query.Cell,
		CellEpoch: n.assign.state.CellEpoch(query.Cell),
		Target:    query.Target,
		Sequence:  query.Sequence,
	}
	state, known := n.targets[query.Target]
	yields := known && (state.takeover == nil || from < n.settings.VM)
	if statement.CellEpoch != query.CellEpoch || !yields || n.mustKeepRenewing(state) {
		n.send(from, message.Message{StopStatement: &statement})
		return
	}
	if earlier, stated := state.stopCommitments[from]; stated && query.Sequence < earlier.sequence {
		// A delayed query must not replace the commitment for a newer takeover: its release would end both.
		return
	}
	n.release(state)
	commitment := &stopCommitment{epoch: query.CellEpoch, sequence: query.Sequence, sentAt: n.now}
	if state.stopCommitments == nil {
		state.stopCommitments = map[model.VMID]*stopCommitment{}
	}
	state.stopCommitments[from] = commitment
	state.exclusive = nil
	state.keeper.Stop()
	n.dirty = true
	n.send(from, message.Message{StopStatement: n.statementFor(state, commitment)})
}

func (n *Node) statementFor(state *targetState, commitment *stopCommitment) *message.StopStatement {
	return &message.StopStatement{
		Cell:      state.config.Zone,
		CellEpoch: commitment.epoch,
		Target:    state.id,
		Stopped:   true,
		Remaining: max(0, n.ownLeasesEndBy(state).Sub(n.now)),
		Sequence:  commitment.sequence,
	}
}

// mustKeepRenewing reports whether this VM must not state that it stopped: either it holds the lease and the target
// responds, or a record based on its own takeover may be in the log.
func (n *Node) mustKeepRenewing(state *targetState) bool {
	if n.outbox.has(takeoverPurpose(state.id)) {
		return true
	}
	return state.acting && !n.isFailed(state) && state.keeper.RespondedWithin(n.now, lease.Duration)
}

func (n *Node) onStopStatement(from model.VMID, statement message.StopStatement) {
	state, known := n.targets[statement.Target]
	if !known || !statement.Stopped {
		return
	}
	for _, t := range []*takeover{state.takeover, state.exclusive} {
		if t != nil && t.epoch == statement.CellEpoch && t.sequence == statement.Sequence {
			t.leasesEndBy[from] = n.now.Add(statement.Remaining)
			return
		}
	}
	n.sendRelease(from, statement.Target, statement.Sequence)
}

// isExclusive collects the statements that allow this VM to act as the lessor of a target that does not check terms. It
// reports whether it has received all of them and all leases of the other VMs and of an earlier process of this VM have
// expired.
func (n *Node) isExclusive(state *targetState) bool {
	if len(state.stopCommitments) > 0 {
		return false
	}
	zone := state.config.Zone
	if state.exclusive == nil || state.exclusive.epoch != n.assign.state.CellEpoch(zone) {
		state.exclusive = n.newTakeover(zone)
	}
	n.sendStopQueries(state, state.exclusive)
	for _, vm := range n.possibleRenewers(zone) {
		endsBy, stated := state.exclusive.leasesEndBy[vm]
		if !stated || n.now < endsBy {
			return false
		}
	}
	return n.now >= model.Instant(lease.Bound)
}

// resendStatements periodically repeats this VM's stop statements. A requester that has abandoned its takeover, and
// whose release message was lost, then sends the release again.
func (n *Node) resendStatements(state *targetState) {
	for _, requester := range sortedKeys(state.stopCommitments) {
		commitment := state.stopCommitments[requester]
		if n.now.Sub(commitment.sentAt) >= resendInterval {
			commitment.sentAt = n.now
			n.send(requester, message.Message{StopStatement: n.statementFor(state, commitment)})
		}
	}
}

// release ends the takeover of a target and releases the members that stated that they stopped for it.
func (n *Node) release(state *targetState) {
	if state.takeover == nil {
		return
	}
	n.abortProposal(state)
	for _, vm := range sortedKeys(state.takeover.leasesEndBy) {
		n.sendRelease(vm, state.id, state.takeover.sequence)
	}
	state.takeover = nil
	state.keeper.Resume()
	state.keeper.RenewNow(n.now)
	n.pendingStatuses[state.id] = true
}

func (n *Node) onStopRelease(from model.VMID, released message.StopRelease) {
	state, known := n.targets[released.Target]
	if !known {
		return
	}
	if commitment, stated := state.stopCommitments[from]; stated && commitment.sequence == released.Sequence {
		commitment.isReleased = true
		commitment.releasedAt = released.AssignOffset
		n.endReleased(state)
	}
}

// endReleased ends the commitments that their requesters released, once this VM has folded as far as the requester had.
func (n *Node) endReleased(state *targetState) {
	before := len(state.stopCommitments)
	maps.DeleteFunc(state.stopCommitments, func(_ model.VMID, commitment *stopCommitment) bool {
		return commitment.isReleased && n.assign.Offset() >= commitment.releasedAt
	})
	if before > 0 && len(state.stopCommitments) == 0 && state.takeover == nil {
		state.keeper.Resume()
		state.keeper.RenewNow(n.now)
	}
}

func (n *Node) sendRelease(to model.VMID, id model.TargetID, sequence uint64) {
	released := message.StopRelease{Target: id, Sequence: sequence, AssignOffset: n.assign.Offset()}
	n.send(to, message.Message{StopRelease: &released})
}
