package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/fleet"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/picker"
	"github.com/tarragonpoint/tarragonpoint/internal/result"
	"github.com/tarragonpoint/tarragonpoint/platform"
)

// job is one request of a caller.
type job struct {
	arrived model.Instant
	// ends is when the caller, or the operators' timeout, gives up.
	deadline model.Instant
	meta     platform.CallerHeaders
	request  *http.Request
	uri      string
	path     string
	body     []byte
	// route and service are decided anew before each attempt, by the configuration then in force.
	route   *fleet.Route
	version uint64
	service model.Service
	tried   []fleet.Incarnation
	sends   int
	// mayHaveRun is true once an attempt ended without word that it did not run.
	mayHaveRun bool
}

func (j *job) timeLeft(now model.Instant) time.Duration { return j.deadline.Sub(now) }

// reply is what a caller gets.
type callerResponse struct {
	code result.Code
	// answer is a target's answer that is passed on; nil for an answer of this VM.
	targetResponse *platform.Response
	// retryAfter tells the caller when to come back; 0 if it should not.
	retryAfter time.Duration
	reason     string
	target     model.TargetID
	// estimate is the one that decided; nil if none did.
	estimate *picker.Estimate
	age      time.Duration
	err      error
}

func reject(code result.Code, reason string, retryAfter time.Duration) callerResponse {
	return callerResponse{code: code, reason: reason, retryAfter: retryAfter}
}

// dispatch serves a request. ctx ends when the caller has left. A request of which an attempt may have run is never
// answered as not run.
func (g *gateway) dispatch(ctx context.Context, j *job) callerResponse {
	response := g.dispatchAttempts(ctx, j)
	if j.mayHaveRun && response.targetResponse == nil && result.Lookup(response.code).Outcome == result.NotRun {
		response.code = result.OutcomeUnknown
		response.retryAfter = 0
	}
	return response
}

// dispatchAttempts places and sends a request until it has an answer or is given up.
func (g *gateway) dispatchAttempts(ctx context.Context, j *job) callerResponse {
	counted := model.Service("")
	for {
		if ctx.Err() != nil {
			return reject(result.DeadlinePassed, "caller left", 0)
		}
		if rejected, ok := g.resolve(j); !ok {
			return rejected
		}
		if counted != j.service {
			counted = j.service
			g.budget(j.service).Request(g.clock.Now())
		}
		change := g.state.change()
		chosen := g.chooseTarget(j)
		switch chosen.action {
		case actionReject:
			return chosen.response
		case actionWait:
			if !g.await(ctx, change, chosen.wait) {
				return reject(result.DeadlinePassed, "caller left", 0)
			}
			continue
		}
		response, final := g.attempt(ctx, j, chosen)
		if final {
			return response
		}
	}
}

// await waits for a change of the state. It returns false if ctx ends first.
func (g *gateway) await(ctx context.Context, change <-chan struct{}, limit time.Duration) bool {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-change:
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	return true
}

// resolve finds the route and the service of a request in the newest configuration.
func (g *gateway) resolve(j *job) (callerResponse, bool) {
	config := g.state.config.Load()
	if config == nil {
		return reject(result.NotReady, "no configuration yet", notReadyRetryAfter), false
	}
	route := config.Route(j.request.Host, j.path)
	if route == nil {
		return reject(result.UnknownService, "no route", 0), false
	}
	now := g.clock.Now()
	if route.Timeout > 0 {
		j.deadline = min(j.deadline, j.arrived.Add(route.Timeout))
	}
	if j.timeLeft(now) <= 0 {
		return reject(result.DeadlinePassed, "deadline passed before it was sent", 0), false
	}
	if j.route == nil || j.version != config.Version || !hasBackend(route, j.service) {
		if j.route == nil || !hasBackend(route, j.service) {
			j.service = g.split.choose(route)
		}
		j.route = route
		j.version = config.Version
	}
	if config.Services[j.service].Keyed && j.meta.Key < 0 {
		return reject(result.KeyRequired, "no key", 0), false
	}
	return callerResponse{}, true
}

func hasBackend(route *fleet.Route, service model.Service) bool {
	for _, backend := range route.Backends {
		if backend.Service == service {
			return true
		}
	}
	return false
}
