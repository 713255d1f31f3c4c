package proof

import (
	"fmt"
	"strings"

	"github.com/tarragonpoint/tarragonpoint/internal/record"
)

// describe formats the state of the world for the message of a failed check.
func (w *world) describe() string {
	var text strings.Builder
	for _, id := range w.targetIDs() {
		t := w.targets[id]
		fmt.Fprintf(&text, "%s alive=%v frozen=%v incarnation=%d term=%v lease left=%v granted=%v revoked=%v\n",
			id, t.alive, t.frozen, t.incarnation, t.term, t.leaseUntil.Sub(t.clock()), t.granted, t.revoked)
	}
	shown := false
	for _, name := range w.vmNames() {
		vm := w.vms[name]
		state := vm.node.Assignments()
		fmt.Fprintf(&text, "%s alive=%v paused=%v left=%v offset=%d config=%d",
			name, vm.alive, vm.paused, vm.left, state.Offset, vm.node.Config().Version)
		for zone, cell := range state.Cells {
			fmt.Fprintf(&text, " %s@%d members=%v removed=%v", zone, cell.Epoch, cell.Members, cell.Removed)
		}
		fmt.Fprintf(&text, "\n")
		if vm.alive && vm.table != nil && !shown {
			shown = true
			for id, target := range vm.table.Targets {
				fmt.Fprintf(&text, "   %s inservice=%v status=%+v lease=%v\n",
					id, target.InService, target.Status, vm.table.Leases[id].Term)
			}
		}
	}
	entries := w.log.streams[record.AssignStream]
	for _, entry := range entries[max(0, len(entries)-12):] {
		r := entry.Record
		fmt.Fprintf(&text, "%d join=%+v remove=%+v terminated=%+v up=%+v reassign=%+v split=%+v\n",
			entry.Offset, r.MemberJoin, r.MemberRemove, r.VMTerminated, r.TargetUp, r.Reassign, r.Split)
	}
	return text.String()
}
