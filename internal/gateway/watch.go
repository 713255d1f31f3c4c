package gateway

import (
	"sync"

	"github.com/tarragonpoint/tarragonpoint/internal/hub"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

// watchDuration is how long the leader relays every report of a target that a VM could not reach: three report
// intervals of a VM, whose reports each name the target again while it stays unreachable.
const watchDuration = 3 * hub.ReportInterval

// watchList holds the targets that at least one VM could not reach. The VM uses such a target again after the target's
// next report, so the leader relays reports of these targets even if they change nothing in its own registry.
type watchList struct {
	mu    sync.Mutex
	until map[model.TargetID]model.Instant
}

func newWatchList() *watchList { return &watchList{until: map[model.TargetID]model.Instant{}} }

// add watches targets for watchDuration.
func (w *watchList) add(now model.Instant, ids []model.TargetID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, until := range w.until {
		if now >= until {
			delete(w.until, id)
		}
	}
	for _, id := range ids {
		w.until[id] = now.Add(watchDuration)
	}
}

// has reports whether a target is watched.
func (w *watchList) has(now model.Instant, id model.TargetID) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return now < w.until[id]
}
