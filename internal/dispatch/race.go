package dispatch

import (
	"context"
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/message"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/result"
)

// race is the set of concurrent attempts of one request. The first response wins.
type race struct {
	e       *execution
	plan    plan
	results chan message.ForwardReply
	// started counts all attempts; running counts those without a result.
	started int
	running int
	// strictest is the result to return if no attempt gets a response: the first one with an unknown outcome, otherwise
	// the latest one.
	strictest message.ForwardReply
}

// race runs one attempt. For an idempotent request it starts further attempts when the connection is unresponsive or
// the hedging delay has passed.
func (e *execution) race(ctx context.Context, p plan) message.ForwardReply {
	r := &race{e: e, plan: p, results: make(chan message.ForwardReply, maxAttempts)}
	ctx, cancelAll := context.WithCancel(ctx)
	defer cancelAll()
	deadline := time.NewTimer(e.deadline.Sub(e.d.Clock.Now()))
	defer deadline.Stop()
	r.launch(ctx, p)
	unresponsive, hedge := r.timers()
	defer unresponsive.Stop()
	defer hedge.Stop()
	for r.running > 0 {
		select {
		case reply := <-r.results:
			if r.recordResult(reply) {
				return reply
			}
		case <-unresponsive.C:
			r.replaceUnresponsive(ctx)
			unresponsive.Reset(r.unresponsiveTimeout())
		case <-hedge.C:
			r.hedge(ctx)
		case <-deadline.C:
			return codeReply("", result.DeadlineMissed)
		case <-ctx.Done():
			return codeReply("", result.DeadlineMissed)
		}
	}
	return r.strictest
}

// timers returns the timers for replacing an unresponsive attempt and for hedging. They never fire for a non-idempotent
// request.
func (r *race) timers() (unresponsive, hedge *time.Timer) {
	unresponsive = time.NewTimer(r.unresponsiveTimeout())
	delay := r.e.d.Hedger.Delay(r.e.request.Service)
	hedge = time.NewTimer(max(delay, 0))
	if delay <= 0 || !r.e.request.Idempotent {
		hedge.Stop()
	}
	if !r.e.request.Idempotent {
		unresponsive.Stop()
	}
	return unresponsive, hedge
}

// unresponsiveTimeout returns the time without a response after which a connection to a target of the service is
// considered unresponsive.
func (d *Dispatcher) unresponsiveTimeout(service model.Service) time.Duration {
	return max(unresponsiveFloor, unresponsiveFactor*d.Hedger.P99(service))
}

func (r *race) unresponsiveTimeout() time.Duration {
	return r.e.d.unresponsiveTimeout(r.e.request.Service)
}

// launch starts one attempt. An attempt of a non-idempotent request that has been sent is not canceled when its caller
// disconnects.
func (r *race) launch(ctx context.Context, p plan) {
	wanted := ctx
	if !r.e.request.Idempotent {
		ctx = r.e.d.base
	}
	r.started++
	r.running++
	d, deadline, request := r.e.d, r.e.deadline, *r.e.request
	d.lifecycle.retain()
	quarantine := r.e.quarantine
	quarantine.retain()
	go func() {
		defer d.lifecycle.leave()
		defer quarantine.release()
		r.results <- d.attempt(ctx, wanted, &request, p, deadline)
	}()
}

// recordResult records the result of one attempt and reports whether it ends the race.
func (r *race) recordResult(reply message.ForwardReply) bool {
	r.running--
	if reply.Outcome == result.Ran || reply.Code == result.TargetFailed {
		return true
	}
	// The zero value, before the first result, has the outcome Unknown and the code OK.
	if r.strictest.Outcome != result.Unknown || r.strictest.Code == result.OK {
		r.strictest = reply
	}
	return false
}

// replaceUnresponsive starts another attempt in parallel to an unresponsive one, if the target's lease is renewed and
// the retry budget allows it. The first attempt keeps running, because it may be a long request, which would never
// complete if each attempt were canceled. When the race ends, the connections of the other attempts are closed.
// Attempts at a cold target are not replaced, because they may be queued at the lessor's gate.
func (r *race) replaceUnresponsive(ctx context.Context) {
	status := r.plan.target.Status
	if r.started >= maxAttempts || !status.Serving || r.e.d.isCold(r.plan.target) || !r.e.d.Retry.Withdraw(r.e.request.Service) {
		return
	}
	if r.launchAnother(ctx) {
		r.e.d.Observer.Retry(r.e.request.Service, result.OutcomeUnknown)
	}
}

// hedge starts a second attempt in parallel to the first if the hedging budget allows it.
func (r *race) hedge(ctx context.Context) {
	if r.started < maxAttempts && r.e.d.Hedger.Allow(r.e.request.Service) {
		r.launchAnother(ctx)
	}
}

// launchAnother starts an attempt at the current owner of the key. A request without a key goes to a target that has
// not been tried, or to any target if there is none left.
func (r *race) launchAnother(ctx context.Context) bool {
	v := r.e.d.current.Load()
	p, code := r.e.d.resolve(v, r.e.request, r.e.tried)
	if code == result.NoTarget {
		p, code = r.e.d.resolve(v, r.e.request, map[model.TargetID]bool{})
	}
	if code != result.OK {
		return false
	}
	if p.slot == nil {
		r.e.tried[p.target.ID] = true
	}
	r.plan = p
	r.launch(ctx, p)
	return true
}
