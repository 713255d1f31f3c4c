package control

import (
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/platform"
)

const (
	// terminationConfirm is the minimum time between the first and the last reading of the VM list that lack a VM
	// before the VM counts as terminated.
	terminationConfirm = time.Second
	// unseenConfirm is the corresponding time for a VM that this process has never seen in the list. The list lags, so
	// a new VM may not be listed yet.
	unseenConfirm = 30 * time.Second
)

// vmWatch tracks the platform's list of VMs.
type vmWatch struct {
	version uint64
	listed  map[model.VMID]platform.VM
	// absentSince holds, for each VM that was listed before and is absent now, the first reading that lacked it.
	absentSince   map[model.VMID]model.Instant
	seen          map[model.VMID]bool
	readOnce      bool
	firstRead     model.Instant
	lastRead      model.Instant
	peerAddresses map[model.VMID]string
	changed       bool
}

func newVMWatch() *vmWatch {
	return &vmWatch{
		listed:        map[model.VMID]platform.VM{},
		absentSince:   map[model.VMID]model.Instant{},
		seen:          map[model.VMID]bool{},
		peerAddresses: map[model.VMID]string{},
	}
}

// read processes one reading. Readings older than the last one are dropped.
func (w *vmWatch) read(now model.Instant, list platform.VMListReply) {
	if list.Version < w.version {
		return
	}
	if !w.readOnce {
		w.readOnce = true
		w.firstRead = now
	}
	w.version = list.Version
	w.lastRead = now
	w.listed = make(map[model.VMID]platform.VM, len(list.VMs))
	w.peerAddresses = map[model.VMID]string{}
	for _, vm := range list.VMs {
		w.listed[vm.ID] = vm
		w.seen[vm.ID] = true
		delete(w.absentSince, vm.ID)
		if vm.PeerAddress != "" {
			w.peerAddresses[vm.ID] = vm.PeerAddress
		}
	}
	for vm := range w.seen {
		_, listed := w.listed[vm]
		if _, absent := w.absentSince[vm]; !listed && !absent {
			w.absentSince[vm] = now
		}
	}
	w.changed = true
}

// isTerminated reports whether readings of the list that are far enough apart agree that a VM is absent.
func (w *vmWatch) isTerminated(vm model.VMID) bool {
	if _, listed := w.listed[vm]; listed || !w.readOnce {
		return false
	}
	if !w.seen[vm] {
		return w.lastRead.Sub(w.firstRead) >= unseenConfirm
	}
	return w.lastRead.Sub(w.absentSince[vm]) >= terminationConfirm
}

// isLeaving reports whether the list reports a VM as leaving.
func (w *vmWatch) isLeaving(vm model.VMID) bool {
	return w.listed[vm].State == platform.VMLeaving
}

func (n *Node) onVMList(read VMListRead) {
	n.watch.read(n.now, read.List)
	n.dirty = true
}
