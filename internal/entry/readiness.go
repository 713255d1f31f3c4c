package entry

import (
	"sync"
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/route"
)

// statusWait is the longest time for which a new VM waits for statuses before it reports that it is ready. Lessors send all
// statuses every 2 s; a target without a living lessor never has one.
const statusWait = 3 * time.Second

// readiness decides whether the balancer may send requests to this VM. A VM that has folded the log still refuses requests
// for targets whose lessors have not sent it a status yet.
type readiness struct {
	mutex sync.Mutex
	// servingSince is when the routing table first let this VM serve.
	servingSince model.Instant
	isServing    bool
	isComplete   bool
}

// isReady reports whether the VM may serve and has, or had once, a status of each target in service.
func (r *readiness) isReady(now model.Instant, table *route.Table) bool {
	if !table.Ready {
		return false
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if !r.isServing {
		r.isServing, r.servingSince = true, now
	}
	r.isComplete = r.isComplete || hasAllStatuses(table) || now.Sub(r.servingSince) >= statusWait
	return r.isComplete
}

func hasAllStatuses(table *route.Table) bool {
	for _, known := range table.Targets {
		if known.InService && known.Status == nil {
			return false
		}
	}
	return true
}
