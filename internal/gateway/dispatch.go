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
	ends    model.Instant
	meta    platform.Meta
	request *http.Request
	uri     string
	path    string
	body    []byte
	// route and service are decided anew before each attempt, by the configuration then in force.
	route   *fleet.Route
	version uint64
	service model.Service
	tried   []fleet.Incarnation
	sends   int
	// mayHaveRun is true once an attempt ended without word that it did not run.
	mayHaveRun bool
}

func (j *job) left(now model.Instant) time.Duration { return j.ends.Sub(now) }

// reply is what a caller gets.
type reply struct {
	code result.Code
	// answer is a target's answer that is passed on; nil for an answer of this VM.
	answer *platform.Answer
	// retryAfter tells the caller when to come back; 0 if it should not.
	retryAfter time.Duration
	reason     string
	target     model.TargetID
	// estimate is the one that decided; nil if none did.
	estimate *picker.Estimate
	age      time.Duration
	err      error
}

func refuse(code result.Code, reason string, retryAfter time.Duration) reply {
	return reply{code: code, reason: reason, retryAfter: retryAfter}
}

// dispatch serves a request. ctx ends when the caller has left. A request of which an attempt may have run is never
// answered as not run.
func (g *gateway) dispatch(ctx context.Context, j *job) reply {
	answer := g.dispatchAttempts(ctx, j)
	if j.mayHaveRun && answer.answer == nil && result.Lookup(answer.code).Outcome == result.NotRun {
		answer.code = result.OutcomeUnknown
		answer.retryAfter = 0
	}
	return answer
}

// dispatchAttempts places and sends a request until it has an answer or is given up.
func (g *gateway) dispatchAttempts(ctx context.Context, j *job) reply {
	counted := model.Service("")
	for {
		if ctx.Err() != nil {
			return refuse(result.DeadlinePassed, "caller left", 0)
		}
		if failed, ok := g.resolve(j); !ok {
			return failed
		}
		if counted != j.service {
			counted = j.service
			g.budget(j.service).Request(g.clock.Now())
		}
		change := g.state.change()
		place := g.choose(j)
		switch place.verdict {
		case placeRefused:
			return place.reply
		case placeWait:
			if !g.await(ctx, change, place.wait) {
				return refuse(result.DeadlinePassed, "caller left", 0)
			}
			continue
		}
		done, final := g.attempt(ctx, j, place)
		if final {
			return done
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
func (g *gateway) resolve(j *job) (reply, bool) {
	config := g.state.config.Load()
	if config == nil {
		return refuse(result.NotReady, "no configuration yet", notReadyRetry), false
	}
	route := config.Route(j.request.Host, j.path)
	if route == nil {
		return refuse(result.UnknownService, "no route", 0), false
	}
	now := g.clock.Now()
	if route.Timeout > 0 {
		j.ends = min(j.ends, j.arrived.Add(route.Timeout))
	}
	if j.left(now) <= 0 {
		return refuse(result.DeadlinePassed, "deadline passed before it was sent", 0), false
	}
	if j.route == nil || j.version != config.Version || !hasBackend(route, j.service) {
		if j.route == nil || !hasBackend(route, j.service) {
			j.service = g.split.choose(route)
		}
		j.route = route
		j.version = config.Version
	}
	if config.Services[j.service].Keyed && j.meta.Key < 0 {
		return refuse(result.KeyRequired, "no key", 0), false
	}
	return reply{}, true
}

func hasBackend(route *fleet.Route, service model.Service) bool {
	for _, backend := range route.Backends {
		if backend.Service == service {
			return true
		}
	}
	return false
}
