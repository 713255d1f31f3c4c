package proof

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tarragonpoint/tarragonpoint/internal/config"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/record"
	"github.com/tarragonpoint/tarragonpoint/internal/route"
)

// newOutOfServiceWorld returns a world of two regions with two zones each, so that the slots of every class can move
// out of a zone.
func newOutOfServiceWorld(seed int64, fatal func(string, ...any)) *world {
	w := newWorldWithLayout(seed, layout{zones: 4, vmsPerZone: 2, targetsPerZone: 3, homeTenants: true, fencing: route.FencingChecked}, fatal)
	w.runFor(15*time.Second, w.checkOwners)
	return w
}

// ownedSlots returns the number of slots that a target owns, and requires that all entry VMs agree on it.
func (w *world) ownedSlots(t *testing.T, id model.TargetID) int {
	count := -1
	for _, name := range w.vmNames() {
		owned := w.vms[name].node.Assignments().OwnedCount(id)
		require.True(t, count < 0 || count == owned, "%s counts %d slots of %s, others %d", name, owned, id, count)
		count = owned
	}
	return count
}

// requireNewWork requires that every entry VM sends new work to a target if want is true, and that none does otherwise.
func (w *world) requireNewWork(t *testing.T, id model.TargetID, want bool, when string) {
	for _, name := range w.vmNames() {
		require.Equal(t, want, acceptsNewWork(w.vms[name].table, id), "%s: %s sends new work to %s", when, name, id)
	}
}

// TestZoneOutOfServiceAndBack guards against targets in a zone that is out of service that keep their slots or receive
// new work, and against a zone that remains out of service after operators put it back.
func TestZoneOutOfServiceAndBack(t *testing.T) {
	t.Parallel()
	for seed := range int64(4) {
		w := newOutOfServiceWorld(seed, t.Fatalf)
		letter := w.zoneLetters()[seed]
		zone := model.Zone("zone-" + letter)
		w.setZone(zone, true)
		w.runFor(logPollEvery*3, w.checkOwners)
		w.runFor(serviceChangeLimit, w.checkOwners)
		for i := range 3 {
			id := model.TargetID(fmt.Sprintf("target-%s%d", letter, i))
			w.requireNewWork(t, id, false, "zone out")
			require.Zero(t, w.ownedSlots(t, id), "seed %d: %s keeps slots", seed, id)
		}
		require.Equal(t, w.slotCount(), w.servedSlots(), "seed %d: all slots are served in other zones", seed)
		w.setZone(zone, false)
		w.runFor(configLimit, w.checkOwners)
		for i := range 3 {
			w.requireNewWork(t, model.TargetID(fmt.Sprintf("target-%s%d", letter, i)), true, "zone back")
		}
	}
}

func (w *world) setZone(zone model.Zone, out bool) {
	w.publishConfig(func(s *config.State) {
		changed := s.Zones[zone]
		changed.OutOfService = out
		s.Zones[zone] = changed
	})
}

// TestLeavingTarget guards against a leaving target that receives new work or keeps slots. It covers each source that
// can report a target as leaving: the VM list, the configuration and the target itself.
func TestLeavingTarget(t *testing.T) {
	t.Parallel()
	causes := map[string]func(w *world, id model.TargetID){
		"vm list": func(w *world, id model.TargetID) { w.listLag = 0; w.toggleLeaving(w.targets[id]) },
		"config": func(w *world, id model.TargetID) {
			w.publishConfig(func(s *config.State) {
				changed := s.Targets[id]
				changed.Drain = true
				s.Targets[id] = changed
			})
		},
		"target": func(w *world, id model.TargetID) { w.targets[id].draining = true },
	}
	for name, leave := range causes {
		for seed := range int64(3) {
			w := newOutOfServiceWorld(seed, t.Fatalf)
			id := w.targetIDs()[w.random.Intn(len(w.targets))]
			leave(w, id)
			w.runFor(vmPollEvery+coldReportDelay, w.checkOwners)
			w.runFor(serviceChangeLimit, w.checkOwners)
			w.requireNewWork(t, id, false, name)
			require.Zero(t, w.ownedSlots(t, id), "seed %d, %s: %s keeps slots", seed, name, id)
		}
	}
}

// TestConcurrentConfigChanges guards against two changes with the same base that both take effect or are both rejected,
// and against an entry VM that does not receive a change although a peer has it.
func TestConcurrentConfigChanges(t *testing.T) {
	t.Parallel()
	for seed := range int64(4) {
		w := newOutOfServiceWorld(seed, t.Fatalf)
		for _, name := range w.vmNames()[:2] {
			w.cut[[2]string{name, "log"}] = true
			w.cut[[2]string{"log", name}] = true
		}
		first, second := w.publishConcurrentPatches()
		w.runFor(configLimit, w.checkOwners)
		for _, name := range w.vmNames() {
			tenants := w.vms[name].table.Tenants
			require.NotNil(t, tenants[first], "%s lacks the first change", name)
			require.Nil(t, tenants[second], "%s has the second change", name)
			require.Equal(t, w.currentConfig().Version, w.vms[name].table.ConfigVersion, name)
		}
	}
}

// expireOldRecords drops records older than the retention, like a log that does not interpret snapshots.
func (w *world) expireOldRecords(stream record.Stream) {
	times := w.log.acceptedAt[stream]
	for len(w.log.streams[stream]) > 0 && w.now-times[w.log.lastDropped[stream]] >= w.settings.retention {
		w.log.streams[stream] = w.log.streams[stream][1:]
		w.log.lastDropped[stream]++
	}
}

// TestRetention guards against assignments and configuration that expire in the log because no snapshot covers them in
// time, and are then missing when all entry VMs restart at once.
func TestRetention(t *testing.T) {
	t.Parallel()
	for _, between := range []time.Duration{150 * time.Second, 70 * time.Second, 20 * time.Second} {
		w := newWorld(1, 2, 2, 3, t.Fatalf)
		o := newOracle(w)
		for next := between; w.now < 5*time.Minute; {
			w.runFor(time.Second, w.checkOwners)
			w.expireOldRecords(record.AssignStream)
			w.expireOldRecords(record.ConfigStream)
			o.checkStates()
			if w.now >= next {
				next += between
				highest := o.ledger.highestOffset
				w.restartAll()
				w.runFor(startupTime, w.checkOwners)
				w.awaitServed(o, w.now, recoveryLimit, fmt.Sprintf("after all restarted, every %v", between))
				o.checkStates()
				o.ledger.requireFolded(highest)
			}
		}
	}
}
