package control

import (
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/cell"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/record"
)

const (
	// standInCount is the number of VMs of other zones that join a cell that has no member of its own zone left.
	standInCount = 2
	// minRejoin and maxRejoin bound the delay between a removal and the next join.
	minRejoin = 500 * time.Millisecond
	maxRejoin = 16 * time.Second
	// rejoinResetAfter is the time without a removal after which the delay is reset.
	rejoinResetAfter = time.Minute
)

// isMember reports whether this process is a member of a cell under its current incarnation.
func (n *Node) isMember(zone model.Zone) bool {
	c, ok := n.assign.state.Cells[zone]
	if !ok {
		return false
	}
	member, ok := c.Members[n.settings.VM]
	return ok && member.Incarnation == n.incarnation
}

// maintainMembership joins this VM's own cell, removes unresponsive members, records terminated VMs and joins empty
// cells.
func (n *Node) maintainMembership() {
	n.updateReady()
	n.finishLeaving()
	if n.leaving || !n.streams[record.AssignStream].synced {
		return
	}
	n.renewIncarnation()
	n.join(n.settings.Zone)
	n.removeUnresponsive()
	n.recordTerminatedVMs()
	n.standIn()
}

// renewIncarnation takes a new incarnation after this VM was removed, so that it can rejoin.
func (n *Node) renewIncarnation() {
	highest := model.Incarnation(0)
	for _, c := range n.assign.state.Cells {
		if removed, ok := c.Removed[n.settings.VM]; ok {
			highest = max(highest, removed.Incarnation)
		}
	}
	if highest >= n.incarnation {
		n.incarnation = highest + 1
		n.rejoin.removed(n.now)
		n.emit(Notice{Kind: NoticeRemoved})
	}
}

// rejoinDelay limits how often a removed VM rejoins, with exponential backoff. Two members that can reach the log but
// not each other keep removing each other, and would flood the log with records without a delay.
type rejoinDelay struct {
	delay     time.Duration
	at        model.Instant
	removedAt model.Instant
}

func (r *rejoinDelay) removed(now model.Instant) {
	if now.Sub(r.removedAt) >= rejoinResetAfter {
		r.delay = 0
	}
	r.removedAt = now
	r.delay = min(max(minRejoin, 2*r.delay), maxRejoin)
	r.at = now.Add(r.delay)
}

func (n *Node) join(zone model.Zone) {
	if n.isMember(zone) || n.now < n.rejoin.at {
		return
	}
	join := record.MemberJoin{Cell: zone, Member: record.Member{
		VM:          n.settings.VM,
		Incarnation: n.incarnation,
		Zone:        n.settings.Zone,
		Address:     n.settings.Address,
	}}
	joined := func() bool {
		return n.isMember(zone) || n.leaving || join.Member.Incarnation != n.incarnation
	}
	n.submit(record.AssignStream, "join "+string(zone), record.Record{MemberJoin: &join}, joined)
}

// removeUnresponsive removes members of this VM's cells that have not sent a heartbeat for cell.RemoveAfter. Only the
// first member that is not suspected does so, which keeps members from appending concurrent removals.
func (n *Node) removeUnresponsive() {
	for _, zone := range sortedKeys(n.assign.state.Cells) {
		if !n.isMember(zone) || n.firstAlive(zone) != n.settings.VM {
			continue
		}
		for _, member := range n.assign.state.Members(zone) {
			if member.VM == n.settings.VM {
				continue
			}
			n.detector.Expect(member.VM, n.now)
			if n.detector.SinceHeartbeat(member.VM, n.now) >= cell.RemoveAfter {
				n.remove(zone, member)
				break
			}
		}
	}
}

func (n *Node) remove(zone model.Zone, member record.Member) {
	epoch := n.assign.state.CellEpoch(zone)
	remove := record.MemberRemove{Cell: zone, VM: member.VM, Incarnation: member.Incarnation, CellEpoch: epoch}
	stale := func() bool { return n.assign.state.CellEpoch(zone) != epoch }
	if n.submit(record.AssignStream, "remove "+string(zone), record.Record{MemberRemove: &remove}, stale) {
		n.emit(Notice{Kind: NoticeMemberUnresponsive, VM: member.VM})
	}
}

// firstAlive returns the first member of a cell that this VM does not suspect, or "" if there is none.
func (n *Node) firstAlive(zone model.Zone) model.VMID {
	for _, member := range n.assign.state.Members(zone) {
		if n.isAlive(member.VM) {
			return member.VM
		}
	}
	return ""
}

// isAlive reports whether a member of one of this VM's cells is not suspected.
func (n *Node) isAlive(vm model.VMID) bool {
	return vm == n.settings.VM || !n.detector.IsSuspected(vm, n.now)
}

// recordTerminatedVMs records entry VMs that were removed from the VM list, so that their statements need not be
// awaited.
func (n *Node) recordTerminatedVMs() {
	if !n.isPlanner() && n.firstAlive(n.settings.Zone) != n.settings.VM {
		return
	}
	for _, zone := range sortedKeys(n.assign.state.Cells) {
		members := append(n.assign.state.Members(zone), n.assign.state.Removed(zone)...)
		for _, member := range members {
			n.recordTerminatedVM(member)
		}
	}
}

func (n *Node) recordTerminatedVM(member record.Member) {
	if member.VM == n.settings.VM || n.isReachable(member.VM) || !n.watch.isTerminated(member.VM) {
		return
	}
	terminated := record.VMTerminated{VM: member.VM, Incarnation: member.Incarnation}
	recorded := func() bool { return !n.mayAct(terminated) }
	if n.submit(record.AssignStream, "gone "+string(member.VM), record.Record{VMTerminated: &terminated}, recorded) {
		n.emit(Notice{Kind: NoticeVMTerminated, VM: member.VM})
	}
}

// mayAct reports whether a cell still lists the incarnation, or an earlier one, as a member or as removed.
func (n *Node) mayAct(terminated record.VMTerminated) bool {
	for _, c := range n.assign.state.Cells {
		if member, ok := c.Members[terminated.VM]; ok && member.Incarnation <= terminated.Incarnation {
			return true
		}
		if removed, ok := c.Removed[terminated.VM]; ok && removed.Incarnation <= terminated.Incarnation {
			return true
		}
	}
	return false
}

// standIn joins cells of other zones that have no member of their own zone and no removed member that may still act. It
// leaves them when a member of their own zone has joined.
func (n *Node) standIn() {
	for _, zone := range n.zonesWithTargets() {
		if zone == n.settings.Zone {
			continue
		}
		if n.isMember(zone) {
			n.leaveStandIn(zone)
			continue
		}
		if n.isListed(zone) {
			n.leaveCell(zone)
			continue
		}
		members := n.assign.state.Members(zone)
		if len(members) >= standInCount || n.hasOwnMember(zone) || len(n.assign.state.Removed(zone)) > 0 {
			continue
		}
		if n.isStandInFor(zone) {
			n.join(zone)
		}
	}
}

func (n *Node) hasOwnMember(zone model.Zone) bool {
	for _, member := range n.assign.state.Members(zone) {
		if member.Zone == zone {
			return true
		}
	}
	return false
}

func (n *Node) leaveStandIn(zone model.Zone) {
	if n.hasOwnMember(zone) {
		n.leaveCell(zone)
	}
}

// isListed reports whether a cell lists this VM under any incarnation. A cell that still lists the predecessor of a
// restarted process seems to have a lessor, because the VM sends heartbeats, although it does not act as a lessor.
func (n *Node) isListed(zone model.Zone) bool {
	c, ok := n.assign.state.Cells[zone]
	if !ok {
		return false
	}
	_, listed := c.Members[n.settings.VM]
	return listed
}

// leaveCell removes the listed incarnation of this VM from a cell. The VM renews no lease there any more.
func (n *Node) leaveCell(zone model.Zone) {
	epoch := n.assign.state.CellEpoch(zone)
	leave := record.MemberRemove{
		Cell:        zone,
		VM:          n.settings.VM,
		Incarnation: n.assign.state.Cells[zone].Members[n.settings.VM].Incarnation,
		CellEpoch:   epoch,
		Stopped:     true,
	}
	stale := func() bool { return n.assign.state.CellEpoch(zone) != epoch }
	n.submit(record.AssignStream, "leave "+string(zone), record.Record{MemberRemove: &leave}, stale)
}

// isStandInFor reports whether this VM is among the first standInCount reachable VMs of the cell's region, or of any
// region if the cell's region has none.
func (n *Node) isStandInFor(zone model.Zone) bool {
	region := n.config.State().RegionOf(zone)
	same, others := n.reachableVMs(region)
	if len(same) == 0 {
		same = others
	}
	for i, vm := range same {
		if vm == n.settings.VM && i < standInCount {
			return true
		}
	}
	return false
}

// reachableVMs returns the reachable members of all cells, sorted by VM and split into those in the region and the
// others.
func (n *Node) reachableVMs(region model.Region) (same, others []model.VMID) {
	zones := map[model.VMID]model.Zone{}
	for _, c := range n.assign.state.Cells {
		for vm, member := range c.Members {
			zones[vm] = member.Zone
		}
	}
	for _, vm := range sortedKeys(zones) {
		if !n.isReachable(vm) {
			continue
		}
		if n.config.State().RegionOf(zones[vm]) == region {
			same = append(same, vm)
		} else {
			others = append(others, vm)
		}
	}
	return same, others
}

// isPlanner reports whether this VM has the lowest ID of all reachable members of all cells. That member plans
// placement and takes snapshots.
func (n *Node) isPlanner() bool {
	if n.leaving || !n.logUp || !n.isMember(n.settings.Zone) {
		return false
	}
	for _, c := range n.assign.state.Cells {
		for vm := range c.Members {
			if vm < n.settings.VM && n.isReachable(vm) {
				return false
			}
		}
	}
	return true
}

// onLeave starts a planned stop: this VM stops renewing leases and records its leave in the log, so that other members
// can act as lessors immediately.
func (n *Node) onLeave() {
	n.leaving = true
	n.dirty = true
	n.heartbeatAt = 0
	n.remoteHeartbeatAt = 0
	for _, state := range n.targets {
		state.keeper.Stop()
	}
}

// finishLeaving leaves all cells. It emits Left once no cell lists this process.
func (n *Node) finishLeaving() {
	if !n.leaving || n.left {
		return
	}
	for _, zone := range sortedKeys(n.assign.state.Cells) {
		if n.isMember(zone) {
			n.leaveCell(zone)
			return
		}
	}
	n.left = true
	n.emit(Left{})
}
