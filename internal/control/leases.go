package control

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tarragonpoint/tarragonpoint/internal/cell"
	"github.com/tarragonpoint/tarragonpoint/internal/config"
	"github.com/tarragonpoint/tarragonpoint/internal/lease"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/record"
	"github.com/tarragonpoint/tarragonpoint/internal/route"
	"github.com/tarragonpoint/tarragonpoint/internal/target"
)

// lessorStatusTTL is the time for which a received status identifies the lessor: one full round of statuses plus a
// margin of 1 s for a lost or late message.
const lessorStatusTTL = statusInterval + time.Second

// targetState is the control state of one configured target. The target's cell is one that this VM is, or may become, a
// member of.
type targetState struct {
	id     model.TargetID
	config config.Target
	keeper *lease.Keeper
	ramp   ramp
	// acting is true while this VM is the acting lessor.
	acting       bool
	term         model.Term
	unresponsive bool
	// withheld is the share of its normal requests that this VM withholds from the target, in percent.
	withheld int

	// ranked holds the members of the cell rankedZone by rank, as of its epoch rankedEpoch.
	ranked      []model.VMID
	rankedZone  model.Zone
	rankedEpoch model.Offset

	grants        []target.Grant
	grantsVersion uint64
	// grantsAt is the assign offset for which grants were computed; 0 if they must be recomputed.
	grantsAt model.Offset

	takeover *takeover
	// stopCommitments holds, by requester, the takeovers for which this VM stated that it does not renew the lease.
	// Each requester relies on its own commitment.
	stopCommitments map[model.VMID]*stopCommitment
	// exclusive collects the statements that allow this VM to act as the lessor of a target that does not check terms.
	exclusive *takeover

	// proposal is the pending proposal of overrides for the slots of this target, while it has failed and the log is
	// down.
	proposal *proposal

	moves          map[model.Slot]*slotMove
	revokeSequence uint64
	revokeInFlight bool
	revokeAt       model.Instant
}

// onConfig updates the target states to match the configuration.
func (n *Node) onConfig() {
	state := n.config.State()
	for id, configured := range state.Targets {
		known, ok := n.targets[id]
		if !ok || known.config.Address != configured.Address {
			known = &targetState{id: id, keeper: lease.NewKeeper(n.settings.VM), moves: map[model.Slot]*slotMove{}}
			n.targets[id] = known
		}
		known.config = configured
	}
	for id := range n.targets {
		if _, ok := state.Targets[id]; !ok {
			delete(n.targets, id)
			delete(n.statuses, id)
		}
	}
	n.targetIDs = sortedKeys(n.targets)
}

func (n *Node) zoneOf(id model.TargetID) model.Zone { return n.targets[id].config.Zone }

// maintainLeases decides for each target whether this VM acts as its lessor, and sends the renewals that are due.
func (n *Node) maintainLeases() {
	ranks := map[model.Zone][]record.Member{}
	for _, id := range n.targetIDs {
		state := n.targets[id]
		zone := state.config.Zone
		members, known := ranks[zone]
		if !known {
			members = n.assign.state.Members(zone)
			ranks[zone] = members
		}
		n.decideRole(state, members)
		if state.acting {
			n.registerIncarnation(state)
			n.renew(state)
		}
	}
}

// decideRole sets whether this VM acts as the lessor of a target, and under which term.
func (n *Node) decideRole(state *targetState, members []record.Member) {
	acting, term := n.role(state, members)
	if acting && !state.acting && term.Rank > 0 {
		n.emit(Notice{Kind: NoticeActingAsLessor, Target: state.id})
	}
	if acting != state.acting || term != state.term {
		n.dirty = true
		n.pendingStatuses[state.id] = true
	}
	state.acting = acting
	state.term = term
}

func (n *Node) role(state *targetState, members []record.Member) (acting bool, term model.Term) {
	zone := state.config.Zone
	if n.leaving || !n.isMember(zone) || !n.isSynced(zone) {
		return false, model.Term{}
	}
	ranked := n.ranking(state, members)
	own := slices.Index(ranked, n.settings.VM)
	term = model.Term{Epoch: n.assign.state.CellEpoch(zone), Rank: uint16(own)}
	if n.service(state).Fencing == route.FencingUnchecked {
		return own == 0 && n.isExclusive(state), term
	}
	// A VM that claimed a term in this epoch keeps it until the target refuses it. The target may have accepted the
	// claim although the response was lost, and then refuses all lower terms.
	if claimed := state.keeper.Claimed(); claimed.Epoch == term.Epoch {
		return true, claimed
	}
	if refused := state.keeper.Refused(); refused.Epoch == term.Epoch && term.Less(refused) {
		holder := ranked[int(refused.Rank)%len(ranked)]
		if n.isAlive(holder) {
			return false, term
		}
		term.Rank = nextRank(refused.Rank, uint16(own), uint16(len(ranked)))
	}
	if state.acting && state.keeper.RespondedWithin(n.now, lease.Duration) {
		return true, term
	}
	if n.hasOtherLessor(state, members) {
		return false, term
	}
	return !slices.ContainsFunc(ranked[:own], func(vm model.VMID) bool { return n.mayActAsLessor(vm, zone) }), term
}

// hasOtherLessor reports whether another member recently reported that it holds the target's lease. That member
// continues as lessor when the members of the cell change, because a new lessor would start without the at-most-once
// table.
func (n *Node) hasOtherLessor(state *targetState, members []record.Member) bool {
	known, ok := n.statuses[state.id]
	if !ok || !known.status.Serving || n.now.Sub(known.receivedAt) >= lessorStatusTTL {
		return false
	}
	lessor := known.status.Lessor
	for _, member := range members {
		if member.VM == lessor {
			return lessor != n.settings.VM && n.mayActAsLessor(lessor, state.config.Zone)
		}
	}
	return false
}

// ranking returns the members of a target's cell by rank. The result is cached until the cell's epoch changes, as it
// does with every change of the members.
func (n *Node) ranking(state *targetState, members []record.Member) []model.VMID {
	zone := state.config.Zone
	epoch := n.assign.state.CellEpoch(zone)
	if state.rankedZone != zone || state.rankedEpoch != epoch {
		state.ranked = cell.Rank(state.id, members)
		state.rankedZone = zone
		state.rankedEpoch = epoch
	}
	return state.ranked
}

// nextRank returns the lowest rank above refused that belongs to the member with rank own among count members. Ranks of
// count and above let a member act again after a member with a higher rank failed within the same cell epoch.
func nextRank(refused, own, count uint16) uint16 {
	rank := refused - refused%count + own
	if rank <= refused {
		rank += count
	}
	return rank
}

func (n *Node) service(state *targetState) config.Service {
	return n.config.State().Services[state.config.Service]
}

// registerIncarnation records a new incarnation of a target, after which it can be granted slots. While the old
// incarnation may still hold a lease, registration waits: no VM can have renewed that lease after the first response of
// the new incarnation.
func (n *Node) registerIncarnation(state *targetState) {
	incarnation, firstSeen := state.keeper.Incarnation()
	registered := n.assign.state.Incarnations[state.id]
	if incarnation == 0 || incarnation == registered {
		return
	}
	if n.hasSlotsToReassign(state.id) && n.now.Sub(firstSeen) < lease.Bound {
		return
	}
	zone := state.config.Zone
	up := record.TargetUp{
		Cell:        zone,
		CellEpoch:   n.assign.state.CellEpoch(zone),
		Target:      state.id,
		Previous:    registered,
		Incarnation: incarnation,
	}
	obsolete := func() bool {
		return n.assign.state.Incarnations[up.Target] != up.Previous || n.assign.state.CellEpoch(zone) != up.CellEpoch
	}
	n.submit(record.AssignStream, "up "+string(state.id), record.Record{TargetUp: &up}, obsolete)
}

func (n *Node) renew(state *targetState) {
	n.refreshGrants(state)
	if state.takeover == nil && len(state.stopCommitments) == 0 {
		state.keeper.Resume()
	}
	call, due := state.keeper.Next(n.now, lease.Directive{
		Active:     true,
		Term:       state.term,
		Registered: n.assign.state.Incarnations[state.id],
		Grants:     state.grants,
		Version:    state.grantsVersion,
	})
	if !due {
		return
	}
	n.emit(Renew{
		Target:   state.id,
		Address:  state.config.Address,
		Sequence: call.Sequence,
		Request:  call.Request,
		Fresh:    call.Fresh,
	})
}

// refreshGrants recomputes the grants of a target if needed: its slots except those being revoked.
func (n *Node) refreshGrants(state *targetState) {
	if state.grantsAt == n.assign.Offset() && state.grantsAt != 0 {
		return
	}
	state.grantsAt = n.assign.Offset()
	before := state.grantsVersion
	state.grants = nil
	for _, slot := range n.slotsOf(state.id) {
		if _, moving := state.moves[slot]; moving {
			continue
		}
		grant := target.Grant{Slot: slot, Fence: model.Fence(n.assign.state.Slots[slot].Epoch)}
		if !slot.IsSplit() {
			grant.Excluded = n.assign.state.Splits[slot]
		}
		state.grants = append(state.grants, grant)
	}
	state.grantsVersion = versionOf(state.grants)
	if state.grantsVersion != before {
		state.keeper.RenewNow(n.now)
	}
}

// versionOf returns a version for a set of grants, derived from its content so that different lessors compute the same
// value. It is never 0.
func versionOf(grants []target.Grant) uint64 {
	encoded, err := record.Encode(grants)
	if err != nil {
		return 1
	}
	return max(1, xxhash.Sum64(encoded))
}

func (n *Node) onRenewDone(done RenewDone) {
	state, ok := n.targets[done.Target]
	if !ok {
		return
	}
	if done.Response == nil {
		state.keeper.HandleFailure(n.now, done.Sequence)
		n.detectUnresponsive(state)
		return
	}
	state.withheld = done.Withheld
	changed := state.keeper.HandleResponse(n.now, done.Sequence, *done.Response)
	if state.unresponsive {
		state.unresponsive = false
		changed = true
		n.emit(Notice{Kind: NoticeTargetRecovered, Target: state.id})
	}
	n.cancelTakeover(state)
	n.regrantRevoked(state)
	state.ramp.observe(n.now, state, n.service(state), n.statuses[state.id], done.Response.Cold)
	if changed {
		n.dirty = true
		n.pendingStatuses[state.id] = true
	}
}

func (n *Node) detectUnresponsive(state *targetState) {
	if state.unresponsive || state.keeper.Failures() < suspectFailures {
		return
	}
	state.unresponsive = true
	n.dirty = true
	n.pendingStatuses[state.id] = true
	n.emit(Notice{Kind: NoticeTargetUnresponsive, Target: state.id})
}
