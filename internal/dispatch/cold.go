package dispatch

import (
	"sync"
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/route"
)

// coldReportTTL is how long a target counts as cold after a response that reported it. The lessor detects the cold
// start at its next renewal, within 500 ms, and the status that it sends arrives within another 500 ms.
const coldReportTTL = time.Second

// coldReports holds the targets that recently reported a cold start in their own responses.
type coldReports struct {
	mu    sync.Mutex
	until map[model.TargetID]model.Instant
}

func (c *coldReports) record(id model.TargetID, now model.Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.until == nil {
		c.until = map[model.TargetID]model.Instant{}
	}
	c.until[id] = now.Add(coldReportTTL)
}

func (c *coldReports) contains(id model.TargetID, now model.Instant) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	end, reported := c.until[id]
	if reported && now >= end {
		delete(c.until, id)
		return false
	}
	return reported
}

// isCold reports whether a target is in a cold start according to its status or its latest responses. Only the lessor
// may send to a cold target.
func (d *Dispatcher) isCold(t *route.Target) bool {
	return t.Status.Cold || d.coldReports.contains(t.ID, d.Clock.Now())
}
