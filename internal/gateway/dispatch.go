package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/bounds"
	"github.com/tarragonpoint/tarragonpoint/internal/fleet"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/picker"
	"github.com/tarragonpoint/tarragonpoint/internal/result"
	"github.com/tarragonpoint/tarragonpoint/internal/tenant"
	"github.com/tarragonpoint/tarragonpoint/platform"
)

// job is the state of one caller's request.
type job struct {
	arrived model.Instant
	// deadline is the earlier of the caller's deadline and the route's timeout.
	deadline      model.Instant
	callerHeaders platform.CallerHeaders
	request       *http.Request
	caller        *callerWatch
	uri           string
	path          string
	body          []byte
	// bodyMemory is the memory that body holds until the request is finished.
	bodyMemory *bounds.Reservation
	// isUnread is true while the body has not been read to its end.
	isUnread bool
	// route and service are resolved again before each attempt with the configuration of that moment.
	route   *fleet.Route
	version uint64
	service model.Service
	// tenant is the tenant of the request's API key in the configuration of that moment; nil if it has none.
	tenant *tenant.Tenant
	// needsTenant is true if that configuration has tenants.
	needsTenant bool
	// isDemand is true once the request counts towards the demand of its tenant, and isAdmitted once it has a token of its tenant's
	// quota.
	isDemand, isAdmitted bool
	// sends is the number of attempts made so far, including hedges; tried lists their targets.
	tried []fleet.Incarnation
	sends int
	// connections are those that carried an attempt and are still open; see platform.Call.
	connections []uint64
	// mayHaveRun is true once an attempt has failed or ended with an unknown outcome.
	mayHaveRun bool
	// identity is set by the first call of identify.
	identity *requestIdentity
	// unheld is true if the owner of the key stated after the last attempt that it does not hold it. waitedForOwner is true once
	// the request has waited for the owner of its key.
	unheld, waitedForOwner bool
	// broken is true once a target has closed the connection of an attempt without a response.
	broken bool
	// alone is true if the current attempt must not be hedged, because the request has crashed targets.
	alone bool
}

func (j *job) timeLeft(now model.Instant) time.Duration { return j.deadline.Sub(now) }

// callerResponse is the response to a caller and what is logged about it.
type callerResponse struct {
	code result.Code
	// targetResponse is the target's response to forward; nil if this VM responds itself.
	targetResponse *platform.Response
	// retryAfter is the delay after which the caller should retry; 0 if it should not.
	retryAfter time.Duration
	reason     string
	target     model.TargetID
	// estimate is the estimate on which the decision was based; nil if there was none.
	estimate *picker.Estimate
	// age is placement.age of the last attempt.
	age time.Duration
	// version is that of the configuration on which the decision was based, if it is not job.version; 0 otherwise.
	version uint64
	err     error
}

func reject(code result.Code, reason string, retryAfter time.Duration) callerResponse {
	return callerResponse{code: code, reason: reason, retryAfter: retryAfter}
}

// dispatch serves a request. ctx ends when the caller disconnects. A request of which an attempt may have run never
// gets a response that states that it did not run.
func (g *gateway) dispatch(ctx context.Context, j *job) callerResponse {
	response := g.dispatchAttempts(ctx, j)
	if j.mayHaveRun && response.targetResponse == nil && result.Lookup(response.code).Outcome == result.NotRun {
		response.code = result.OutcomeUnknown
		response.retryAfter = 0
	}
	return response
}

// dispatchAttempts chooses targets and sends a request until there is a response or no further attempt is allowed.
func (g *gateway) dispatchAttempts(ctx context.Context, j *job) callerResponse {
	counted := model.Service("")
	for {
		if ctx.Err() != nil {
			return reject(result.DeadlinePassed, "caller disconnected", 0)
		}
		if rejected, ok := g.resolve(j); !ok {
			return rejected
		}
		if counted != j.service {
			counted = j.service
			g.budget(j.service).Request(g.clock.Now())
		}
		if rejected, ok := g.blocked(g.clock.Now(), j); ok {
			return rejected
		}
		change := g.state.change()
		chosen := g.chooseTarget(j)
		switch chosen.action {
		case actionReject:
			return chosen.response
		case actionWait:
			if !g.await(ctx, change, chosen.wait) {
				return reject(result.DeadlinePassed, "caller disconnected", 0)
			}
			continue
		}
		if !g.fitsBeforeStop(g.clock.Now(), chosen.estimate.Total) {
			return rejectStopping()
		}
		before := g.clock.Now()
		if rejected, ok := g.admitQuota(ctx, j); !ok {
			return rejected
		}
		if g.clock.Now().Sub(before) > maxPlacementAge {
			continue
		}
		rejected, end, alone, ok := g.beginRun(g.clock.Now(), j)
		if !ok {
			return rejected
		}
		j.alone = alone
		response, final := g.attempt(ctx, j, chosen)
		end()
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
	if rejected, ok := j.authenticate(config, route); !ok {
		return rejected, false
	}
	if route == nil {
		rejected := reject(result.UnknownService, "no route", 0)
		rejected.version = config.Version
		return rejected, false
	}
	now := g.clock.Now()
	if route.Timeout > 0 {
		j.deadline = min(j.deadline, j.arrived.Add(route.Timeout))
	}
	if rejected, ok := g.limitByStop(now, j); !ok {
		return rejected, false
	}
	if j.timeLeft(now) <= 0 {
		return reject(result.DeadlinePassed, "deadline passed before the request was sent", 0), false
	}
	if j.route == nil || j.version != config.Version || !hasBackend(route, j.service) {
		if j.route == nil || !hasBackend(route, j.service) {
			j.service = g.split.choose(route)
		}
		j.route = route
		j.version = config.Version
	}
	if config.Services[j.service].Keyed && j.callerHeaders.Key < 0 {
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
