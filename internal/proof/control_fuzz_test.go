package proof

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/tarragonpoint/tarragonpoint/internal/config"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/route"
)

const (
	// recoveryLimit is the time within which all slots are served again after all faults have ended. If all members of
	// a cell that knew its overrides have failed, their successors wait until the VM list confirms their termination,
	// which takes 30 s for VMs that the successors never saw in the list.
	recoveryLimit = 40 * time.Second
	// quietTime lets a VM that started late confirm the termination of VMs that it never saw in the VM list, which
	// takes 30 s. Until then a further failure counts as a second concurrent one.
	quietTime = 35 * time.Second
	// failoverLimit is the time within which a key is served again after a single failure.
	failoverLimit = 3 * time.Second
	// configLimit is the time within which a configuration takes effect on all entry VMs.
	configLimit = 9 * time.Second
)

// oracle holds the state that the checks keep between steps.
type oracle struct {
	w           *world
	versions    map[string]model.Offset
	generations map[string]int
	states      map[model.Offset]string
	ledger      *ledger
}

func newOracle(w *world) *oracle {
	return &oracle{w: w, versions: map[string]model.Offset{}, generations: map[string]int{}, states: map[model.Offset]string{}, ledger: newLedger(w)}
}

// check runs after every event.
func (o *oracle) check() { o.w.checkOwners() }

// afterStep runs after every action of a fuzz test.
func (o *oracle) afterStep(*rapid.T) {
	faultSteps.Add(1)
	o.checkStates()
}

// checkStates checks the VMs that run and have a ready routing table: their configurations (checkVersion), their
// assignments (ledger.check) and their targets in service (checkInService). It also requires that all of them have the
// same state at the same offset.
func (o *oracle) checkStates() {
	for _, name := range o.w.vmNames() {
		vm := o.w.vms[name]
		if !vm.alive || vm.table == nil || !vm.table.Ready {
			continue
		}
		o.checkVersion(vm)
		o.ledger.check(vm)
		o.checkInService(vm)
		state := string(encodedAssignments(vm))
		offset := vm.node.Assignments().Offset
		if known, ok := o.states[offset]; ok && known != state {
			o.w.fatal("%s has a different state at offset %d", name, offset)
		}
		o.states[offset] = state
	}
}

// checkVersion requires that a process never reverts to an older configuration, and that a restarted process does not
// begin to serve with an older configuration than its predecessor while a reachable peer has a newer one.
func (o *oracle) checkVersion(vm *entryVM) {
	version := vm.table.ConfigVersion
	sameProcess := o.generations[vm.name] == vm.generation
	if version < o.versions[vm.name] && (sameProcess || o.w.reachesNewer(vm, version)) {
		o.w.fatal("%s reverted from configuration %d to %d", vm.name, o.versions[vm.name], version)
	}
	o.generations[vm.name] = vm.generation
	o.versions[vm.name] = version
}

// reachesNewer reports whether a running peer that is reachable in both directions has a newer configuration. While
// messages are dropped at random, it counts no peer as reachable.
func (w *world) reachesNewer(vm *entryVM, version model.Offset) bool {
	if w.dropOneIn > 0 {
		return false
	}
	for _, name := range w.vmNames() {
		other := w.vms[name]
		cut := w.cut[[2]string{vm.name, name}] || w.cut[[2]string{name, vm.name}]
		if other.alive && !other.paused && !cut && other.node.Config().Version > version {
			return true
		}
	}
	return false
}

// TestControlUnderFaults exposes several entry VMs to random faults. It guards against two owners of a key,
// configuration that reverts to an older version, states that differ at the same offset, and a system that does not
// recover.
func TestControlUnderFaults(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		w, o := runRandomFaults(t, layout{zones: 2, vmsPerZone: 3, targetsPerZone: 3, fencing: route.FencingChecked})
		w.checkRecovery(o)
	})
}

// TestTwoRegionsUnderFaults adds tenants with home regions. It guards against slots of a class that leave its region.
func TestTwoRegionsUnderFaults(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		w, o := runRandomFaults(t, layout{zones: 4, vmsPerZone: 2, targetsPerZone: 2, homeTenants: true, fencing: route.FencingChecked})
		w.checkRecovery(o)
	})
}

// runRandomFaults returns a world of the given size after random faults.
func runRandomFaults(t *rapid.T, size layout) (*world, *oracle) {
	w := newWorldWithLayout(rapid.Int64().Draw(t, "seed"), size, t.Fatalf)
	o := newOracle(w)
	w.runFor(5*time.Second, o.check)
	actions := w.actions(t, o.check)
	actions[""] = o.afterStep
	t.Repeat(actions)
	return w, o
}

// checkRecovery ends all faults and requires that all slots are served again, first after the faults and then after one
// more failure.
func (w *world) checkRecovery(o *oracle) {
	w.healAll()
	highest := o.ledger.highestOffset
	w.publishConfig(func(s *config.State) { restoreService(s) })
	published := w.currentConfig().Version
	start := w.now
	w.runFor(configLimit, o.check)
	for _, name := range w.vmNames() {
		if vm := w.vms[name]; vm.terminated {
			continue
		} else if vm.table == nil || vm.table.ConfigVersion < published {
			w.fatal("%s does not have configuration %d after %v", name, published, configLimit)
		}
	}
	limit := recoveryLimit
	if w.hasUnlistedTermination() {
		limit += quietTime
	}
	w.awaitServed(o, start, limit, "after all faults ended")
	o.ledger.requireFolded(highest)
	w.runFor(quietTime, o.check)
	w.awaitServed(o, w.now, failoverLimit, "before the single failure")
	w.failOneProcess()
	w.awaitServed(o, w.now, failoverLimit, "after a single failure")
}

// hasUnlistedTermination reports whether a running process started so late that it never saw a terminated VM in the VM
// list. Such a process waits until the list can no longer be out of date.
func (w *world) hasUnlistedTermination() bool {
	for _, vm := range w.vms {
		for name, other := range w.vms {
			if vm.alive && other.terminated && !vm.listed[model.VMID(name)] {
				return true
			}
		}
		for id, t := range w.targets {
			if vm.alive && t.terminated && !vm.listed[model.VMID(id)] {
				return true
			}
		}
	}
	return false
}

func restoreService(s *config.State) {
	for name, zone := range s.Zones {
		zone.OutOfService = false
		s.Zones[name] = zone
	}
	for id, configured := range s.Targets {
		configured.Drain = false
		s.Targets[id] = configured
	}
}

// failOneProcess ends one process: that of a target or that of an entry VM.
func (w *world) failOneProcess() {
	if w.random.Intn(2) == 0 {
		names := w.vmNames()
		if vm := w.vms[names[w.random.Intn(len(names))]]; vm.alive {
			w.killVM(vm)
			return
		}
	}
	ids := w.targetIDs()
	for {
		if t := w.targets[ids[w.random.Intn(len(ids))]]; t.alive {
			w.killTarget(t)
			return
		}
	}
}

func (w *world) awaitServed(o *oracle, start time.Duration, limit time.Duration, when string) {
	for w.servedSlots() < w.slotCount() {
		if w.now-start > limit {
			w.fatal("%s only %d of %d slots are served within %v\n%s", when, w.servedSlots(), w.slotCount(), limit, w.describe())
			return
		}
		w.runFor(25*time.Millisecond, o.check)
	}
}
