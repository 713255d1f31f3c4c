package entry

import (
	"sync"
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/route"
)

// maxStatusWait is the maximum time for which a new VM waits for statuses before it reports that it is ready. Lessors
// send all statuses every 2 s; a target without a running lessor never gets one.
const maxStatusWait = 3 * time.Second

// readiness decides whether the load balancer may send requests to this VM. A VM that has folded the log still rejects
// requests for targets whose lessors have not sent it a status yet.
type readiness struct {
	mutex sync.Mutex
	// servingSince is the time at which the routing table first permitted this VM to serve.
	servingSince model.Instant
	isServing    bool
	isComplete   bool
}

// isReady reports whether the VM may serve and has had, once, a status of each target in service or has waited for
// maxStatusWait.
func (r *readiness) isReady(now model.Instant, table *route.Table) bool {
	if !table.Ready {
		return false
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if !r.isServing {
		r.isServing, r.servingSince = true, now
	}
	r.isComplete = r.isComplete || hasAllStatuses(table) || now.Sub(r.servingSince) >= maxStatusWait
	return r.isComplete
}

func hasAllStatuses(table *route.Table) bool {
	for _, target := range table.Targets {
		if target.InService && target.Status == nil {
			return false
		}
	}
	return true
}
