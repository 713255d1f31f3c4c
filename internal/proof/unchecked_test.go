package proof

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/route"
)

// checkSenders fails if two processes consider themselves the only sender to a target, or if the senders of two targets
// would send requests for the same key.
func (w *world) checkSenders() {
	lessors := map[model.TargetID]string{}
	keys := map[model.Slot]model.TargetID{}
	for name, vm := range w.vms {
		if !vm.alive || vm.table == nil {
			continue
		}
		for id, lease := range vm.table.Leases {
			if w.localNow(vm) >= lease.LocalEnd {
				continue
			}
			if other, twice := lessors[id]; twice {
				w.fatal("at %v both %s and %s send to %s\n%s", w.now, name, other, id, w.describe())
			}
			lessors[id] = name
			w.checkDeadline(vm, id, lease)
			w.checkKeys(vm, id, lease, keys)
		}
	}
}

// checkDeadline requires that a lease that its sender considers valid is still valid by the target's clock.
func (w *world) checkDeadline(vm *entryVM, id model.TargetID, lease route.Lease) {
	t := w.targets[id]
	if t.alive && t.incarnation == lease.Incarnation && t.clock() >= lease.ValidUntil {
		w.fatal("at %v %s considers the lease of %s valid, which expired at %v, target clock %v",
			w.now, vm.name, id, lease.ValidUntil, t.clock())
	}
}

// checkKeys adds the slots for which a lessor would send requests to keys, and fails if one is already there with
// another target.
func (w *world) checkKeys(vm *entryVM, id model.TargetID, lease route.Lease, keys map[model.Slot]model.TargetID) {
	for slot, held := range lease.Slots {
		owner, known := vm.table.Owners[slot]
		if !known || owner.Target.ID != id || owner.Fence != held.Fence {
			continue
		}
		if other, twice := keys[slot]; twice && other != id {
			w.fatal("at %v slot %v is sent to %s and %s\n%s", w.now, slot, id, other, w.describe())
		}
		keys[slot] = id
	}
}

// TestUncheckedTargetsUnderFaults guards against two senders to a target that checks neither terms nor fences.
func TestUncheckedTargetsUnderFaults(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		size := layout{zones: 2, vmsPerZone: 3, targetsPerZone: 2, fencing: route.FencingUnchecked}
		w := newWorldWithLayout(rapid.Int64().Draw(t, "seed"), size, t.Fatalf)
		o := newOracle(w)
		w.runFor(startupTime, w.checkSenders)
		actions := w.actions(t, w.checkSenders)
		actions[""] = o.afterStep
		t.Repeat(actions)
	})
}
