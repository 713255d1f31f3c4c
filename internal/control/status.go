package control

import (
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/lease"
	"github.com/tarragonpoint/tarragonpoint/internal/message"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/route"
)

const (
	// statusInterval is the time between two full rounds of statuses, which compensate for lost updates.
	statusInterval = 2 * time.Second
	// statusTTL is the time after which a status that was not refreshed counts as not serving: three rounds.
	statusTTL = 3 * statusInterval
	// statusDelay batches changes of several targets into one message.
	statusDelay = 50 * time.Millisecond
)

// knownStatus is the last status of a target, received from its lessor.
type knownStatus struct {
	status     route.Status
	receivedAt model.Instant
	// servedAt is when the latest status with Serving set was received; it is only valid if served is true.
	servedAt model.Instant
	served   bool
}

// storeStatus replaces the status of a target and keeps the time when it last served.
func (n *Node) storeStatus(id model.TargetID, status route.Status) {
	kept := &knownStatus{status: status, receivedAt: n.now, servedAt: n.now, served: status.Serving}
	if known, ok := n.statuses[id]; ok && !status.Serving {
		kept.servedAt = known.servedAt
		kept.served = known.served
	}
	n.statuses[id] = kept
}

// servedRecently reports whether a target serves or did so within the span.
func (n *Node) servedRecently(id model.TargetID, span time.Duration) bool {
	known, ok := n.statuses[id]
	return ok && known.served && n.now.Sub(known.servedAt) < span
}

// currentStatus returns the status of a target, or nil if none is known. A status that was not refreshed for statusTTL
// is returned as not serving.
func (n *Node) currentStatus(id model.TargetID) *route.Status {
	known, ok := n.statuses[id]
	if !ok {
		return nil
	}
	status := known.status
	if n.now.Sub(known.receivedAt) >= statusTTL {
		status.Serving = false
	}
	return &status
}

// onStatusUpdate stores statuses received from lessors. Older terms and sequences are dropped, unless the known status
// was not refreshed for statusTTL: its sender may have failed, and its term may never have reached the target.
func (n *Node) onStatusUpdate(update message.StatusUpdate) {
	for _, reported := range update.Overrides {
		if hint, known := n.hints[reported.Slot]; !known || hint.Override != reported {
			n.dirty = true
			n.ownersChanged = true
		}
		n.hints[reported.Slot] = overrideHint{Override: reported, at: n.now}
	}
	for _, received := range update.Statuses {
		known, ok := n.statuses[received.Target]
		current := ok && n.now.Sub(known.receivedAt) < statusTTL
		if current && !supersedes(received.Status, known.status) {
			continue
		}
		if !ok || !sameRouting(known.status, received.Status) {
			n.dirty = true
		}
		n.storeStatus(received.Target, received.Status)
	}
}

func supersedes(received, known route.Status) bool {
	if received.Term != known.Term {
		return known.Term.Less(received.Term)
	}
	return received.Sequence > known.Sequence || received.Lessor != known.Lessor
}

// sameRouting reports whether two statuses lead to the same routing. Withheld affects only placement.
func sameRouting(a, b route.Status) bool {
	a.Sequence = b.Sequence
	a.Term = b.Term
	a.Withheld = b.Withheld
	return a == b
}

// sendStatuses sends changed statuses after statusDelay, and all statuses every statusInterval.
func (n *Node) sendStatuses() {
	full := n.fullStatusAt == 0 || n.now.Sub(n.fullStatusAt) >= statusInterval
	if !full && (len(n.pendingStatuses) == 0 || n.now.Sub(n.statusAt) < statusDelay) {
		return
	}
	var update message.StatusUpdate
	for _, id := range n.targetIDs {
		state := n.targets[id]
		if !state.acting || !(full || n.pendingStatuses[id]) {
			continue
		}
		status := n.ownStatus(state)
		n.storeStatus(id, status)
		update.Statuses = append(update.Statuses, message.TargetStatus{Target: id, Status: status})
		update.Overrides = append(update.Overrides, n.committedTo(id)...)
	}
	n.statusAt = n.now
	if full {
		n.fullStatusAt = n.now
	}
	n.pendingStatuses = map[model.TargetID]bool{}
	if len(update.Statuses) == 0 {
		return
	}
	for _, vm := range sortedKeys(n.knownPeers) {
		n.send(vm, message.Message{StatusUpdate: &update})
	}
}

// ownStatus returns the status of a target of which this VM is the lessor. Its term is the highest one sent to the
// target. With a term that this VM only intends to use, the status would supersede those of the lessor that the target
// accepts.
func (n *Node) ownStatus(state *targetState) route.Status {
	n.sequence++
	response := state.keeper.Response()
	service := n.service(state)
	_, holding := state.keeper.Holding(n.now)
	return route.Status{
		Incarnation: response.Incarnation,
		Sequence:    n.sequence,
		Term:        state.keeper.Claimed(),
		Serving:     holding && state.keeper.RespondedWithin(n.now, lease.Duration) && !state.unresponsive,
		Cold:        state.ramp.cold,
		Draining:    response.Draining,
		Limit:       state.ramp.limit(n.now, service),
		Load:        response.Load,
		Lessor:      n.settings.VM,
		Withheld:    state.withheld,
	}
}
