package proof

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/route"
)

const (
	// coldConcurrency, coldInitial and coldStart equal the settings of the service in newWorldWithLayout.
	coldConcurrency = 4
	coldInitial     = 1
	coldStart       = time.Second
	// coldReportDelay is one renewal interval plus the latency of its messages. After this time all entry VMs know that
	// a target has become cold.
	coldReportDelay = 500*time.Millisecond + 250*time.Millisecond
	// coldTolerance covers clocks that are 1 % fast and the discrete steps of the ramp.
	coldTolerance = 60 * time.Millisecond
	// lessorTakeoverTime is the time after the failure of an entry VM in which a target may have no lessor, so that no
	// entry VM detects that the target has become cold.
	lessorTakeoverTime = 3 * time.Second
)

// coldCapacity returns the number of concurrent requests that a target can handle the given time after it became cold.
func coldCapacity(elapsed time.Duration) int {
	return coldInitial + int(int64(coldConcurrency-coldInitial)*int64(elapsed)/int64(coldStart))
}

// sendLimit returns the number of concurrent requests that an entry VM may send to a target according to its routing
// table. A VM that has a cold status or no status for a target sends to it only as its lessor.
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

// checkCold requires that all entry VMs together send no more to a cold target than it can handle, from coldReportDelay
// until coldStart after it became cold.
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
			w.fatal("at %v %s may receive %d concurrent requests, %v after it became cold, and its limit is %d\n%s",
				w.now, id, sum, elapsed, limit, w.describe())
		}
	}
}

// TestColdTargets guards against cold targets that are overloaded because several entry VMs send to them at once, or
// because their next lessor treats them as warm.
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
				// A target that already reports itself as cold cannot report that it has become cold again.
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

// awaitNewLessor waits until lessorTakeoverTime has passed since an entry VM failed: until then a target whose lessor
// ran there may have no lessor.
func (w *world) awaitNewLessor(failedAt time.Duration) {
	if failedAt > 0 && w.now-failedAt < lessorTakeoverTime {
		w.runFor(lessorTakeoverTime-(w.now-failedAt), w.checkCold)
	}
}
