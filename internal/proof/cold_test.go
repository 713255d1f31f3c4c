package proof

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/route"
)

const (
	coldConcurrency = 4
	coldInitial     = 1
	coldStart       = time.Second
	// coldNotice is one renewal interval and the delay of its messages, after which a cold turn is known everywhere.
	coldReportDelay = 500*time.Millisecond + 250*time.Millisecond
	// coldClock covers clocks that are fast by 1 % and the steps of the ramp.
	coldTolerance = 60 * time.Millisecond
	// lessorGap is the time after the loss of an entry VM during which nobody may know of a cold turn.
	lessorTakeoverTime = 3 * time.Second
)

// bears returns the number of concurrent requests that a target bears, a time after it turned cold.
func coldCapacity(elapsed time.Duration) int {
	return coldInitial + int(int64(coldConcurrency-coldInitial)*int64(elapsed)/int64(coldStart))
}

// sent returns the number of concurrent requests that an entry VM may send to a target, as its table says. A VM that
// counts a target as cold, or has no status of it, sends only as its lessor.
func (w *world) sendLimit(vm *entryVM, id model.TargetID) int {
	if lease, ok := vm.table.Leases[id]; ok && w.localNow(vm) < lease.LocalEnd {
		return lease.Limit
	}
	known := vm.table.Targets[id]
	if !vm.table.Ready || known == nil || known.Status == nil || !known.Status.Serving || known.Status.Cold {
		return 0
	}
	return coldConcurrency
}

func (w *world) localNow(vm *entryVM) model.Instant {
	return model.Instant(float64(w.now-vm.startedAt) * vm.rate)
}

// checkCold requires that all entry VMs together send no more to a cold target than it bears.
func (w *world) checkCold() {
	for id, t := range w.targets {
		elapsed := w.now - t.coldSince
		if !t.alive || t.coldSince == 0 || elapsed < coldReportDelay || elapsed >= coldStart {
			continue
		}
		sum := 0
		for _, vm := range w.vms {
			if vm.alive && vm.table != nil {
				sum += w.sendLimit(vm, id)
			}
		}
		if limit := coldCapacity(elapsed + coldTolerance); sum > limit {
			w.fatal("at %v %s gets %d requests, %v after it turned cold, and bears %d\n%s", w.now, id, sum, elapsed, limit, w.describe())
		}
	}
}

// TestColdTargets guards against a cold target that several entry VMs load at once, or that its next lessor takes for warm.
func TestColdTargets(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		w := newWorldWithLayout(rapid.Int64().Draw(t, "seed"), layout{zones: 2, vmsPerZone: 3, targetsPerZone: 2, fencing: route.FencingChecked}, t.Fatalf)
		w.noLateMessages = true
		w.runFor(12*time.Second, w.checkOwners)
		vmFailedAt := time.Duration(0)
		t.Repeat(map[string]func(*rapid.T){
			"coldTurn": func(t *rapid.T) {
				w.awaitNewLessor(vmFailedAt)
				// A target that reports that it is cold cannot report a second turn.
				if chosen := w.pickTarget(t); !chosen.cold {
					chosen.becomeCold()
				}
			},
			"warm": func(t *rapid.T) {
				chosen := w.pickTarget(t)
				w.runFor(2*coldStart, w.checkCold)
				chosen.cold = false
				w.runFor(coldReportDelay, w.checkCold)
			},
			"restart": func(t *rapid.T) { w.awaitNewLessor(vmFailedAt); w.restartTarget(w.pickTarget(t)) },
			"loseVM": func(t *rapid.T) {
				w.runFor(coldReportDelay, w.checkCold)
				w.restartVM(w.pickVM(t))
				vmFailedAt = w.now
			},
			"pass": func(t *rapid.T) { w.runFor(rapid.SampledFrom(spans).Draw(t, "span"), w.checkCold) },
		})
	})
}

// calmSince lets the time pass during which nobody may be the lessor of a target whose lessor was lost.
func (w *world) awaitNewLessor(failedAt time.Duration) {
	if failedAt > 0 && w.now-failedAt < lessorTakeoverTime {
		w.runFor(lessorTakeoverTime-(w.now-failedAt), w.checkCold)
	}
}
