package gateway

import (
	"sync"

	"github.com/tarragonpoint/tarragonpoint/internal/hub"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

// watchTime is how long the leader passes on every report of a target that a VM could not reach: three reports of a VM,
// each of which names the target again while it stays unreachable.
const watchDuration = 3 * hub.ReportInterval

// watchList holds the targets that some VM could not reach. The VM uses such a target again after its next report, so
// the leader passes on reports of these targets that change nothing for itself.
type watchList struct {
	mu    sync.Mutex
	until map[model.TargetID]model.Instant
}

func newWatchList() *watchList { return &watchList{until: map[model.TargetID]model.Instant{}} }

// add watches targets for a while from now on.
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
