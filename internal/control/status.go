package control

import (
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/lease"
	"github.com/tarragonpoint/tarragonpoint/internal/message"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/route"
)

const (
	// statusInterval is the time between two full rounds of statuses, which make up for lost updates.
	statusInterval = 2 * time.Second
	// statusTTL is the time after which a status that was not renewed counts as not serving: three rounds.
	statusTTL = 3 * statusInterval
	// statusDelay gathers changes of several targets into one message.
	statusDelay = 50 * time.Millisecond
)

// knownStatus is the last status of a target from its lessor.
type knownStatus struct {
	status     route.Status
	receivedAt model.Instant
	// servedAt is when the latest status came that said that the target serves; served is true if there was one.
	servedAt model.Instant
	served   bool
}

// storeStatus replaces the status of a target.
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

// currentStatus returns the status of a target; one that was not renewed for statusTTL is not serving.
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

// onStatusUpdate takes statuses from their lessor. Older terms and sequences are dropped, unless the known status was not
// renewed for statusTTL: its sender may be lost and its term may never have reached the target.
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

// sameRouting reports whether two statuses lead to the same routing. Withheld counts only for placement.
func sameRouting(a, b route.Status) bool {
	a.Sequence = b.Sequence
	a.Term = b.Term
	a.Withheld = b.Withheld
	return a == b
}

// sendStatuses sends changed statuses soon and all of them from time to time.
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

// ownStatus returns the status of a target for which this VM acts. Its term is the highest one sent to the target: with a
// term that this VM only intends to use, the status would hide those of the lessor that the target obeys.
func (n *Node) ownStatus(state *targetState) route.Status {
	n.sequence++
	reply := state.keeper.Reply()
	service := n.service(state)
	_, holding := state.keeper.Holding(n.now)
	return route.Status{
		Incarnation: reply.Incarnation,
		Sequence:    n.sequence,
		Term:        state.keeper.Claimed(),
		Serving:     holding && state.keeper.AnsweredWithin(n.now, lease.Duration) && !state.unresponsive,
		Cold:        state.ramp.cold,
		Draining:    reply.Draining,
		Limit:       state.ramp.limit(n.now, service),
		Load:        reply.Load,
		Lessor:      n.settings.VM,
		Withheld:    state.withheld,
	}
}
