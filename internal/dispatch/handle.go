package dispatch

import (
	"context"
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/message"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/result"
)

// Handle processes a request and returns its final response by the request's deadline.
func (d *Dispatcher) Handle(ctx context.Context, request Request) Response {
	started := d.Clock.Now()
	response := responseOf(d.handle(ctx, &request))
	response = d.finalResponse(ctx, &request, response)
	d.Observer.Request(request.Tenant, request.Service, response.Code, response.Outcome, d.Clock.Now().Sub(started))
	return response
}

// handle admits a request and runs its attempts.
func (d *Dispatcher) handle(ctx context.Context, request *Request) message.ForwardReply {
	switch d.lifecycle.enter() {
	case enterStopping:
		return codeReply("", result.Draining)
	case enterFull:
		return codeReply("", result.Overloaded)
	}
	defer d.lifecycle.leave()
	if code := d.validate(request); code != result.OK {
		return codeReply("", code)
	}
	fingerprint := d.fingerprint(request.Tenant, request.Service, request.Method, request.Path, request.Body)
	leave, allowed := d.Quarantine.Enter(d.Clock.Now(), fingerprint)
	if !allowed {
		return codeReply("", result.Quarantined)
	}
	e := &execution{d: d, request: request, fingerprint: fingerprint, tried: map[model.TargetID]bool{}}
	e.quarantine = newQuarantineEntry(leave)
	defer func() { e.quarantine.release() }()
	release, code := d.Admission.Acquire(request.Tenant, request.Service)
	if code != result.OK {
		return codeReply("", code)
	}
	defer release()
	d.Retry.Deposit(request.Service)
	e.deadline = d.Clock.Now().Add(d.timeToDeadline(request))
	e.holdUntil = d.Clock.Now().Add(holdLimit)
	return e.run(ctx)
}

// execution is the state of one request at the VM that received it. It is used by a single goroutine.
type execution struct {
	d           *Dispatcher
	request     *Request
	fingerprint uint64
	quarantine  *quarantineEntry
	deadline    model.Instant
	holdUntil   model.Instant
	// tried is the set of targets that earlier attempts of a request without a key used.
	tried map[model.TargetID]bool
	// mayHaveRun is set once the outcome of an attempt is unknown. The request is then never reported as not run.
	mayHaveRun bool
}

// run makes attempts until one gives a final result or no further attempt is allowed.
func (e *execution) run(ctx context.Context) message.ForwardReply {
	last := codeReply("", result.DeadlinePassed)
	for e.timeLeft() > 0 && ctx.Err() == nil {
		if code := e.d.validate(e.request); code != result.OK {
			return e.finalReply(codeReply("", code))
		}
		p, code := e.d.resolve(e.d.current.Load(), e.request, e.tried)
		if code == result.NoTarget && len(e.tried) > 0 {
			break
		}
		last = codeReply("", code)
		if code == result.OK {
			last = e.attempt(ctx, p)
		}
		if code == result.NoTarget || !e.allowRetry(last, p) {
			break
		}
		e.d.Observer.Retry(e.request.Service, last.Code)
		if last.Outcome == result.NotRun && (p.slot != nil || p.target == nil) {
			e.waitToRetry(ctx)
		}
		if !e.readmit() {
			return e.finalReply(codeReply("", result.Quarantined))
		}
	}
	return e.finalReply(last)
}

// readmit checks the quarantine again before a further attempt, since the request may have crashed targets while it
// waited. It reports whether the request may still run.
func (e *execution) readmit() bool {
	e.quarantine.release()
	leave, allowed := e.d.Quarantine.Enter(e.d.Clock.Now(), e.fingerprint)
	if !allowed {
		leave = func() {}
	}
	e.quarantine = newQuarantineEntry(leave)
	return allowed
}

// timeLeft returns the time that remains for attempts. A non-idempotent request reserves closeReserve for closing its
// ID.
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

// allowRetry reports whether another attempt is allowed after a reply. It charges the retry budget where one applies.
func (e *execution) allowRetry(reply message.ForwardReply, p plan) bool {
	switch retryKindOf(reply, p.slot != nil, e.request.Idempotent) {
	case retryHold:
		return e.d.Clock.Now() < e.holdUntil
	case retryBudgeted:
		return e.d.Retry.Withdraw(e.request.Service)
	default:
		return false
	}
}

// waitToRetry waits for holdInterval, at most until the time for attempts or ctx ends.
func (e *execution) waitToRetry(ctx context.Context) {
	timer := time.NewTimer(min(holdInterval, max(0, e.timeLeft())))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// finalReply changes the outcome of the last reply from "not run" to "unknown" if an earlier attempt may have run.
func (e *execution) finalReply(reply message.ForwardReply) message.ForwardReply {
	if e.mayHaveRun && reply.Outcome == result.NotRun {
		reply.Outcome = result.Unknown
	}
	return reply
}
