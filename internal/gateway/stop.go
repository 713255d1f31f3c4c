package gateway

import (
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/result"
)

const (
	// stopWorkFactor is the multiple of its expected time that a request must have before the VM stops. Few requests take
	// longer.
	stopWorkFactor = 2.5
	// stopDeliveryMargin is how long before the last response the target's own deadline for a request ends, so that its
	// response still arrives.
	stopDeliveryMargin = 100 * time.Millisecond
	// stopRetryAfter is the retry delay sent to callers of a stopping VM. Another VM can take their requests at once.
	stopRetryAfter = 50 * time.Millisecond
)

// limitByStop ends the deadline of a request before this VM stops. It returns the rejection of a request for which no time is
// left, and false then.
func (g *gateway) limitByStop(now model.Instant, j *job) (callerResponse, bool) {
	end, stopping := g.lastDeadline()
	if !stopping {
		return callerResponse{}, true
	}
	if end <= now {
		return rejectStopping(), false
	}
	j.deadline = min(j.deadline, end)
	return callerResponse{}, true
}

// fitsBeforeStop reports whether a request with the given expected time is very likely to end before this VM stops. One that
// does not is rejected instead of sent, because its target's work would be cut off.
func (g *gateway) fitsBeforeStop(now model.Instant, expected time.Duration) bool {
	end, stopping := g.lastDeadline()
	return !stopping || float64(expected)*stopWorkFactor <= float64(end.Sub(now))
}

// lastDeadline returns the latest deadline that a request can have, and false if this VM is not stopping.
func (g *gateway) lastDeadline() (model.Instant, bool) {
	last := model.Instant(g.lastResponseAt.Load())
	return last.Add(-stopDeliveryMargin), last != 0
}

func rejectStopping() callerResponse {
	return reject(result.Draining, "no time for the request before this VM stops", stopRetryAfter)
}
