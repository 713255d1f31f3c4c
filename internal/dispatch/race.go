package dispatch

import (
	"context"
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/message"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/result"
)

// race is the set of attempts that run at the same time for one request.
type race struct {
	e       *execution
	plan    plan
	results chan message.ForwardReply
	// started counts all attempts, running those without a result.
	started int
	running int
	// worst is the most careful outcome of the attempts that ended without an answer.
	worst message.ForwardReply
}

// race runs one attempt; for an idempotent request it adds others when the connection is silent or hedging is due.
func (e *execution) race(ctx context.Context, p plan) message.ForwardReply {
	r := &race{e: e, plan: p, results: make(chan message.ForwardReply, maxAttempts)}
	ctx, cancelAll := context.WithCancel(ctx)
	defer cancelAll()
	deadline := time.NewTimer(e.deadline.Sub(e.d.Clock.Now()))
	defer deadline.Stop()
	r.launch(ctx, p)
	silence, hedge := r.timers()
	defer silence.Stop()
	defer hedge.Stop()
	for r.running > 0 {
		select {
		case reply := <-r.results:
			if r.decides(reply) {
				return reply
			}
		case <-silence.C:
			r.replaceSilent(ctx)
			silence.Reset(r.silence())
		case <-hedge.C:
			r.hedge(ctx)
		case <-deadline.C:
			return refusal("", result.DeadlineMissed)
		case <-ctx.Done():
			return refusal("", result.DeadlineMissed)
		}
	}
	return r.worst
}

// timers returns the timers for silence and hedging. They never fire for a non-idempotent request.
func (r *race) timers() (silence, hedge *time.Timer) {
	silence = time.NewTimer(r.silence())
	delay := r.e.d.Hedger.Delay(r.e.request.Service)
	hedge = time.NewTimer(max(delay, 0))
	if delay <= 0 || !r.e.request.Idempotent {
		hedge.Stop()
	}
	if !r.e.request.Idempotent {
		silence.Stop()
	}
	return silence, hedge
}

// silence returns the time without an answer after which a connection to a target of the service counts as silent.
func (d *Dispatcher) silence(service model.Service) time.Duration {
	return max(silenceFloor, silenceFactor*d.Hedger.P99(service))
}

func (r *race) silence() time.Duration { return r.e.d.silence(r.e.request.Service) }

// launch starts one attempt. An attempt of a non-idempotent request outlives its caller.
func (r *race) launch(ctx context.Context, p plan) {
	if !r.e.request.Idempotent {
		ctx = r.e.d.base
	}
	r.started++
	r.running++
	d, deadline, request := r.e.d, r.e.deadline, *r.e.request
	d.life.hold()
	held := r.e.place
	held.hold()
	go func() {
		defer d.life.leave()
		defer held.release()
		r.results <- d.attempt(ctx, &request, p, deadline)
	}()
}

// decides takes the result of one attempt and reports whether it ends the race.
func (r *race) decides(reply message.ForwardReply) bool {
	r.running--
	if reply.Outcome == result.Ran || reply.Code == result.TargetFailed {
		return true
	}
	if r.worst.Outcome != result.Unknown || r.worst.Code == result.OK {
		r.worst = reply
	}
	return false
}

// replaceSilent starts another attempt beside the silent one, if the target's lease is renewed and the budget allows it. The
// first answer wins: what looks silent may be a long request, which would never end if each attempt were canceled. The
// connections of the others are closed when the race ends. An attempt at a cold target may wait at the lessor's gate.
func (r *race) replaceSilent(ctx context.Context) {
	status := r.plan.target.Status
	if r.started >= maxAttempts || !status.Serving || r.e.d.isCold(r.plan.target) || !r.e.d.Retry.Withdraw(r.e.request.Service) {
		return
	}
	if r.another(ctx) {
		r.e.d.Observer.Retry(r.e.request.Service, result.OutcomeUnknown)
	}
}

// hedge starts a second attempt and leaves the first running.
func (r *race) hedge(ctx context.Context) {
	if r.started < maxAttempts && r.e.d.Hedger.Allow(r.e.request.Service) {
		r.another(ctx)
	}
}

// another starts an attempt at the current owner of the key, or at another target, or at the same one if there is none.
func (r *race) another(ctx context.Context) bool {
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
