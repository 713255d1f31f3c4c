package control

import (
	"maps"
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/cell"
	"github.com/tarragonpoint/tarragonpoint/internal/message"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/record"
)

const (
	// remoteHeartbeatInterval is the time between two heartbeats to VMs of other cells. It is longer than within a cell
	// because these heartbeats serve only to exchange fold offsets and to choose the planner.
	remoteHeartbeatInterval = time.Second
	// remoteUnreachableAfter is the time without a heartbeat after which a VM of another cell counts as unreachable.
	remoteUnreachableAfter = 3500 * time.Millisecond
	// fetchInterval is the minimum time between two requests to peers for records of a stream.
	fetchInterval = 200 * time.Millisecond
	// peerReplyWait is the time for which a starting VM waits for replies from peers while the log is down.
	peerReplyWait = 5 * time.Second
)

// peer holds the last heartbeat of another entry VM.
type peer struct {
	heartbeat       message.Heartbeat
	lastHeartbeatAt model.Instant
}

func (n *Node) onPeerMessage(received PeerMessage) {
	m := received.Message
	switch {
	case m.Heartbeat != nil:
		n.onHeartbeat(received.From, *m.Heartbeat)
	case m.StatusUpdate != nil:
		n.onStatusUpdate(*m.StatusUpdate)
	case m.StopQuery != nil:
		n.onStopQuery(received.From, *m.StopQuery)
	case m.StopStatement != nil:
		n.onStopStatement(received.From, *m.StopStatement)
	case m.StopRelease != nil:
		n.onStopRelease(received.From, *m.StopRelease)
	case m.FetchRecords != nil:
		n.onFetch(received.From, *m.FetchRecords)
	case m.Records != nil:
		n.onRecords(*m.Records)
	case m.MoveRequest != nil:
		n.startMoves(m.MoveRequest.Moves)
	case m.HotKeys != nil:
		n.hot.report(n.now, received.From, *m.HotKeys)
	default:
		n.onOverrideMessage(received.From, m)
	}
}

// onOverrideMessage handles the messages with which members agree on overrides.
func (n *Node) onOverrideMessage(from model.VMID, m message.Message) {
	switch {
	case m.SyncQuery != nil:
		n.onSyncQuery(from, *m.SyncQuery)
	case m.SyncReply != nil:
		n.onSyncReply(from, *m.SyncReply)
	case m.OverridePrepare != nil:
		n.onOverridePrepare(from, *m.OverridePrepare)
	case m.OverrideAccept != nil:
		n.onOverrideAccept(from, *m.OverrideAccept)
	case m.OverrideQuery != nil:
		n.onOverrideQuery(from, *m.OverrideQuery)
	case m.OverrideDecision != nil:
		n.onOverrideDecision(from, *m.OverrideDecision)
	}
}

func (n *Node) onHeartbeat(from model.VMID, heartbeat message.Heartbeat) {
	n.peers[from] = &peer{heartbeat: heartbeat, lastHeartbeatAt: n.now}
	if heartbeat.Leaving {
		n.onPeerLeaving(from)
	} else {
		n.detector.RecordHeartbeat(from, n.now)
	}
	n.fetchIfBehind(from, record.ConfigStream, heartbeat.ConfigOffset)
	n.fetchIfBehind(from, record.AssignStream, heartbeat.AssignOffset)
}

// onPeerLeaving marks a leaving VM as suspected. Other members then act as lessors of its targets before the leases
// expire, even if the record of its leave cannot be appended to the log. Further heartbeats of the VM do not delay its
// removal.
func (n *Node) onPeerLeaving(vm model.VMID) {
	if n.isAlive(vm) {
		n.detector.RecordLeave(vm, n.now)
	}
}

// fetchIfBehind requests missing records from a peer that has folded more than this VM.
func (n *Node) fetchIfBehind(from model.VMID, name record.Stream, offset model.Offset) {
	s := n.streams[name]
	s.end = max(s.end, offset)
	if offset <= s.fold.Offset() {
		return
	}
	if s.fetchedAt != 0 && n.now.Sub(s.fetchedAt) < fetchInterval {
		return
	}
	s.fetchedAt = n.now
	request := message.FetchRecords{Stream: name, From: s.fold.Offset() + 1}
	n.send(from, message.Message{FetchRecords: &request})
}

func (n *Node) onFetch(from model.VMID, fetch message.FetchRecords) {
	s, ok := n.streams[fetch.Stream]
	if !ok {
		return
	}
	reply := message.Records{Stream: fetch.Stream}
	entries, kept := s.from(fetch.From)
	reply.Entries = entries
	if !kept {
		snapshot, err := s.fold.Snapshot()
		if err != nil {
			return
		}
		reply.Snapshot = &snapshot
	}
	n.send(from, message.Message{Records: &reply})
}

func (n *Node) onRecords(records message.Records) {
	s, ok := n.streams[records.Stream]
	if !ok {
		return
	}
	if records.Snapshot != nil {
		n.loadSnapshot(s, *records.Snapshot)
	}
	n.foldEntries(s, records.Entries)
}

func (n *Node) send(to model.VMID, m message.Message) {
	if to != n.settings.VM {
		n.emit(Send{To: to, Message: m})
	}
}

func (n *Node) heartbeat() message.Message {
	return message.Message{Heartbeat: &message.Heartbeat{
		Incarnation:  n.incarnation,
		ConfigOffset: n.config.Offset(),
		AssignOffset: n.assign.Offset(),
		Leaving:      n.leaving,
		Zone:         n.settings.Zone,
		Synced:       n.syncedCells(),
	}}
}

// sendHeartbeats sends frequent heartbeats to the other members of this VM's cells and infrequent ones to all other
// peers.
func (n *Node) sendHeartbeats() {
	local := n.cellPeers()
	if n.heartbeatAt == 0 || n.now.Sub(n.heartbeatAt) >= cell.HeartbeatInterval {
		n.heartbeatAt = n.now
		for _, vm := range sortedKeys(local) {
			n.send(vm, n.heartbeat())
		}
	}
	if n.remoteHeartbeatAt == 0 || n.now.Sub(n.remoteHeartbeatAt) >= remoteHeartbeatInterval {
		n.remoteHeartbeatAt = n.now
		for _, vm := range sortedKeys(n.knownPeers) {
			if !local[vm] {
				n.send(vm, n.heartbeat())
			}
		}
	}
}

// cellPeers returns the other members of the cells that this VM is a member of.
func (n *Node) cellPeers() map[model.VMID]bool {
	peers := map[model.VMID]bool{}
	for _, c := range n.assign.state.Cells {
		if _, member := c.Members[n.settings.VM]; !member {
			continue
		}
		for vm := range c.Members {
			if vm != n.settings.VM {
				peers[vm] = true
			}
		}
	}
	return peers
}

// updatePeers emits the addresses of all entry VMs known from the settings, the VM list and the log if they changed.
func (n *Node) updatePeers() {
	if !n.dirty && n.knownPeersCurrent() {
		return
	}
	known := maps.Clone(n.settings.Seeds)
	if known == nil {
		known = map[model.VMID]string{}
	}
	maps.Copy(known, n.watch.peerAddresses)
	for _, c := range n.assign.state.Cells {
		for vm, member := range c.Members {
			known[vm] = member.Address
		}
		for vm, member := range c.Removed {
			known[vm] = member.Address
		}
	}
	delete(known, n.settings.VM)
	if !maps.Equal(known, n.knownPeers) {
		n.knownPeers = known
		n.emit(SetPeers{Peers: maps.Clone(known)})
	}
}

func (n *Node) knownPeersCurrent() bool {
	return len(n.knownPeers) > 0 && !n.watch.changed
}

// isReachable reports whether another entry VM sent a heartbeat recently and is not leaving.
func (n *Node) isReachable(vm model.VMID) bool {
	if vm == n.settings.VM {
		return true
	}
	p, known := n.peers[vm]
	return known && !p.heartbeat.Leaving && n.now.Sub(p.lastHeartbeatAt) < remoteUnreachableAfter
}

// updateReady makes the VM ready once it has folded the log. While the log is down, the VM becomes ready no earlier
// than peerReplyWait after its start, and only when it has folded as much as its peers have reported.
func (n *Node) updateReady() {
	if n.ready || n.config.State().Version == 0 {
		return
	}
	assigned, configured := n.streams[record.AssignStream], n.streams[record.ConfigStream]
	if assigned.fold.Offset() < assigned.end || configured.fold.Offset() < configured.end {
		return
	}
	fromLog := assigned.synced && configured.synced
	fromPeers := len(n.peers) > 0 && n.now >= model.Instant(peerReplyWait)
	if fromLog || fromPeers {
		n.ready = true
		n.readyAt = n.now
		n.dirty = true
	}
}
