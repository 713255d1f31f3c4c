package keyspace

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Under any series of faults no key has two holders and fences rise; after the faults every key is held again.
func TestOneHolderUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"), 3, 5)
		w.run(2 * time.Second)
		steps := rapid.IntRange(3, 25).Draw(t, "steps")
		for i := 0; i < steps; i++ {
			w.fault(t)
			w.run(time.Duration(rapid.IntRange(1, 200).Draw(t, "pause")) * 20 * time.Millisecond)
			if w.broken != "" {
				t.Fatalf("after %d steps: %s", i+1, w.broken)
			}
		}
		w.heal()
		w.run(w.settings.contactBound() + 3*w.settings.holdBound() + 5*time.Second)
		if w.broken != "" {
			t.Fatalf("after healing: %s", w.broken)
		}
		// A key may be on the move between two targets at any one moment.
		for wait := 0; w.unheld() > 0; wait++ {
			if wait == 50 {
				t.Fatalf("%d keys have no holder after all faults have ended: %s", w.unheld(), w.describe())
			}
			w.run(100 * time.Millisecond)
		}
	})
}

// fault starts or ends one fault.
func (w *world) fault(t *rapid.T) {
	vm := rapid.IntRange(0, len(w.vms)-1).Draw(t, "vm")
	target := rapid.IntRange(0, len(w.targets)-1).Draw(t, "target")
	on := rapid.Bool().Draw(t, "on")
	faults := map[string]func(){
		"store":      func() { w.storeDown = on },
		"store-cut":  func() { w.storeCut[vm] = on },
		"path":       func() { w.pathCut[[2]int{vm, target}] = on },
		"path-all":   func() { w.cutAll(vm, on) },
		"vm-kill":    func() { w.killVM(vm, on) },
		"vm-pause":   func() { w.vms[vm].paused = on },
		"kill":       func() { w.targets[target].up, w.targets[target].registered = false, on },
		"restart":    func() { w.restartTarget(w.targets[target], false) },
		"reuse":      func() { w.restartTarget(w.targets[target], true) },
		"lapse":      func() { w.targets[target].registered = on },
		"slow":       func() { w.slow = on },
		"resign":     func() { w.resign(vm) },
		"all-healed": w.heal,
	}
	names := slices.Sorted(maps.Keys(faults))
	faults[rapid.SampledFrom(names).Draw(t, "fault")]()
}

func (w *world) cutAll(vm int, on bool) {
	for j := range w.targets {
		w.pathCut[[2]int{vm, j}] = on
	}
}

func (w *world) killVM(vm int, restart bool) {
	w.vms[vm].up = false
	if restart {
		w.startVM(vm)
	}
}

func (w *world) resign(vm int) {
	if w.vms[vm].up {
		w.vms[vm].manager.Resign()
		w.vms[vm].leaving = true
	}
}

// A grant sent while the next table was being written reached its target after the next owner had the keys under a
// higher fence: seen on skyframe trouble-3.
func TestGrantSentDuringWriteIsReleasedFirst(t *testing.T) {
	w := newWorld(1, 1, 2)
	w.run(time.Second)
	m := w.vms[0].manager
	r := m.table.Ranges[0]
	owner := r.Owner
	var other Holder
	for _, candidate := range w.view().Candidates {
		if candidate.Incarnation != owner.Incarnation {
			other = candidate.Holder
		}
	}
	m.holdUntil = nil
	m.flightsByLives = nil
	draft := m.draft()
	p := newPlanner(m, w.now, draft)
	moved := draft.Ranges[0]
	p.reassign(&moved, other)
	require.Equal(t, other, moved.Owner)
	assert.True(t, contains(moved.Previous, owner.Incarnation), "the owner may have been sent a grant since the draft was planned")
}

// A leader that is cut off from the store renews grants until its office has run out, and no longer.
func TestLeaderCutFromStoreStopsAfterOffice(t *testing.T) {
	w := newWorld(2, 1, 3)
	w.run(2 * time.Second)
	require.Zero(t, w.unheld())
	w.storeDown = true
	w.run(w.settings.LeadershipTimeout - time.Second)
	assert.Zero(t, w.unheld(), "keys stay held while the store is away for less than the office")
	w.run(time.Second + w.settings.holdBound() + time.Second)
	assert.Len(t, w.keys, w.unheld())
	w.storeDown = false
	w.run(3 * time.Second)
	assert.Zero(t, w.unheld())
	assert.Empty(t, w.broken)
}

// The keys of a target that falls silent are held by another one once its grants have run out.
func TestSilentTargetLosesKeysAfterHold(t *testing.T) {
	w := newWorld(3, 2, 4)
	w.run(2 * time.Second)
	require.Zero(t, w.unheld())
	w.targets[1].up = false
	w.run(w.settings.holdBound() + w.settings.RenewEvery + 3*w.settings.CommandTimeout + time.Second)
	assert.Zero(t, w.unheld())
	assert.Empty(t, w.broken)
}
