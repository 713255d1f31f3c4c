package proof

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tarragonpoint/tarragonpoint/internal/control"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/route"
)

const (
	// stopLimit is the time within which other entry VMs take over the targets of one that stops as planned.
	stopLimit = time.Second
	// longOutage is the duration of the log outage in TestLongLogOutage.
	longOutage = time.Minute
	// startupTime is enough for a new world to assign all slots.
	startupTime = 6 * time.Second
)

// hasLease reports whether a running target holds a valid lease by its own clock.
func (t *fakeTarget) hasLease() bool { return t.alive && t.clock() < t.leaseUntil }

// checkLeases fails if a running target holds no valid lease.
func (w *world) checkLeases() {
	for id, t := range w.targets {
		if t.alive && !t.hasLease() {
			w.fatal("at %v the lease of %s has expired\n%s", w.now, id, w.describe())
		}
	}
}

// lessorsOf returns the running entry VMs that consider themselves the lessor of a target.
func (w *world) lessorsOf(id model.TargetID) []string {
	var names []string
	for _, name := range w.vmNames() {
		vm := w.vms[name]
		if !vm.alive || vm.table == nil {
			continue
		}
		if lease, ok := vm.table.Leases[id]; ok && w.localNow(vm) < lease.LocalEnd {
			names = append(names, name)
		}
	}
	return names
}

func newStopWorld(seed int64, fatal func(string, ...any)) *world {
	w := newWorldWithLayout(seed, layout{zones: 4, vmsPerZone: 2, targetsPerZone: 2, homeTenants: true, fencing: route.FencingChecked}, fatal)
	w.noLateMessages = true
	w.runFor(startupTime, w.checkOwners)
	return w
}

// TestPlannedStop guards against a planned stop that lets leases expire or leaves targets without a lessor, with the
// log available and unavailable.
func TestPlannedStop(t *testing.T) {
	t.Parallel()
	for seed := range int64(16) {
		w := newStopWorld(seed, t.Fatalf)
		vm := w.vms[w.vmNames()[seed%int64(len(w.vms))]]
		w.log.up = seed%4 != 3
		if !w.log.up {
			w.runFor(4*time.Second, w.checkLeases)
		}
		w.step(vm, control.Leave{})
		w.runFor(stopLimit, w.checkLeases)
		for _, id := range w.targetIDs() {
			others := w.lessorsOf(id)
			require.NotContains(t, others, vm.name, "seed %d: a stopped entry VM holds a lease", seed)
			require.Len(t, others, 1, "seed %d: %s has one other lessor within %v, log up: %v\n%s",
				seed, id, stopLimit, w.log.up, w.describe())
		}
		w.runFor(4*time.Second, w.checkLeases)
	}
}

// TestLongLogOutage guards against leases that expire while the log is down and one member of each cell is running.
func TestLongLogOutage(t *testing.T) {
	t.Parallel()
	for seed := range int64(6) {
		w := newStopWorld(seed, t.Fatalf)
		w.log.up = false
		check := func() { w.checkOwners(); w.checkLeases() }
		w.runFor(5*time.Second, check)
		names := w.vmNames()
		for zone := 0; zone < len(names); zone += 2 {
			w.killVM(w.vms[names[zone+w.random.Intn(2)]])
			w.runFor(time.Duration(w.random.Int63n(int64(longOutage/8))), check)
		}
		failed := w.targets[w.targetIDs()[w.random.Intn(len(w.targets))]]
		w.killTarget(failed)
		w.runFor(longOutage, check)
		require.Less(t, w.servedSlots(), w.slotCount(), "no target takes over slots while the log is down")
		w.log.up = true
		w.healAll()
		w.awaitServed(newOracle(w), w.now, recoveryLimit, "after the outage")
	}
}
