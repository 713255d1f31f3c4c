package dispatch

import (
	"context"
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/message"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/result"
)

// Handle runs a request to its end. It returns by the request's deadline.
func (d *Dispatcher) Handle(ctx context.Context, request Request) Response {
	started := d.Clock.Now()
	answer := answerOf(d.handle(ctx, &request))
	answer = d.conclude(ctx, &request, answer)
	d.Observer.Request(request.Tenant, request.Service, answer.Code, answer.Outcome, d.Clock.Now().Sub(started))
	return answer
}

// handle admits a request and runs its attempts.
func (d *Dispatcher) handle(ctx context.Context, request *Request) message.ForwardReply {
	switch d.life.enter() {
	case entryStopping:
		return refusal("", result.Draining)
	case entryFull:
		return refusal("", result.Overloaded)
	}
	defer d.life.leave()
	if code := d.check(request); code != result.OK {
		return refusal("", code)
	}
	fingerprint := d.fingerprint(request.Tenant, request.Service, request.Method, request.Path, request.Body)
	leave, allowed := d.Quarantine.Enter(d.Clock.Now(), fingerprint)
	if !allowed {
		return refusal("", result.Quarantined)
	}
	quarantined := newPlace(leave)
	defer quarantined.release()
	release, code := d.Admission.Acquire(request.Tenant, request.Service)
	if code != result.OK {
		return refusal("", code)
	}
	defer release()
	d.Retry.Deposit(request.Service)
	e := &execution{d: d, request: request, place: quarantined, tried: map[model.TargetID]bool{}}
	e.deadline = d.Clock.Now().Add(d.remaining(request))
	e.holdUntil = d.Clock.Now().Add(holdLimit)
	return e.run(ctx)
}

// execution is the state of one request at the VM that received it. One goroutine uses it.
type execution struct {
	d         *Dispatcher
	request   *Request
	place     *place
	deadline  model.Instant
	holdUntil model.Instant
	// tried holds the targets of earlier attempts of a request without a key.
	tried map[model.TargetID]bool
	// mayHaveRun is set once an attempt ended as unknown. The request is then never reported as not run.
	mayHaveRun bool
}

// run sends attempts until one decides the request.
func (e *execution) run(ctx context.Context) message.ForwardReply {
	last := refusal("", result.DeadlinePassed)
	for e.timeLeft() > 0 && ctx.Err() == nil {
		if code := e.d.check(e.request); code != result.OK {
			return e.final(refusal("", code))
		}
		p, code := e.d.resolve(e.d.current.Load(), e.request, e.tried)
		if code == result.NoTarget && len(e.tried) > 0 {
			break
		}
		last = refusal("", code)
		if code == result.OK {
			last = e.attempt(ctx, p)
		}
		if code == result.NoTarget || !e.again(last, p) {
			break
		}
		e.d.Observer.Retry(e.request.Service, last.Code)
		if last.Outcome == result.NotRun && (p.slot != nil || p.target == nil) {
			e.pause(ctx)
		}
	}
	return e.final(last)
}

// timeLeft returns the time for attempts. A non-idempotent request keeps a part of its time for closing its ID.
func (e *execution) timeLeft() time.Duration {
	left := e.deadline.Sub(e.d.Clock.Now())
	if !e.request.Idempotent {
		left -= closeReserve
	}
	return left
}

func (e *execution) attempt(ctx context.Context, p plan) message.ForwardReply {
	if p.slot == nil {
		e.tried[p.target.ID] = true
	}
	reply := e.race(ctx, p)
	if reply.Outcome == result.Unknown {
		e.mayHaveRun = true
	}
	return reply
}

// again reports whether another attempt is allowed after a reply, and pays for it.
func (e *execution) again(reply message.ForwardReply, p plan) bool {
	switch retryOf(reply, p.slot != nil, e.request.Idempotent) {
	case retryHold:
		return e.d.Clock.Now() < e.holdUntil
	case retryBudgeted:
		return e.d.Retry.Withdraw(e.request.Service)
	default:
		return false
	}
}

// pause waits for the next attempt of a held request.
func (e *execution) pause(ctx context.Context) {
	timer := time.NewTimer(min(holdInterval, max(0, e.timeLeft())))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// final corrects the outcome of the last reply by what earlier attempts may have done.
func (e *execution) final(reply message.ForwardReply) message.ForwardReply {
	if e.mayHaveRun && reply.Outcome == result.NotRun {
		reply.Outcome = result.Unknown
	}
	return reply
}
