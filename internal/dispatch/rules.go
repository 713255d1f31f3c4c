package dispatch

import (
	"time"

	"github.com/joomcode/errorx"

	"github.com/tarragonpoint/tarragonpoint/internal/message"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/result"
	"github.com/tarragonpoint/tarragonpoint/internal/route"
	"github.com/tarragonpoint/tarragonpoint/internal/target"
)

// wallAt converts an instant of this process's monotonic clock to the wall clock.
func (d *Dispatcher) wallAt(instant model.Instant) time.Time {
	return d.Clock.Wall().Add(instant.Sub(d.Clock.Now()))
}

// codeReply returns the reply of an attempt that ended with the given code, with the code's outcome and HTTP status.
func codeReply(attempt string, code result.Code) message.ForwardReply {
	info := result.Lookup(code)
	return message.ForwardReply{Attempt: attempt, Code: code, Outcome: info.Outcome, Status: info.HTTPStatus}
}

// responseOf converts a reply to the response to the caller.
func responseOf(reply message.ForwardReply) Response {
	return Response{
		Code: reply.Code, Outcome: reply.Outcome, Status: reply.Status, Header: reply.Header, Body: reply.Body,
		Target: reply.Target, Fence: reply.Fence,
	}
}

// classify converts the result of target.Client.Do to a reply. The outcome is "ran" only for a response that is no
// refusal, and "not run" only for a refusal with a known reason or for a request that was not sent.
func classify(attempt string, keyed bool, response target.Response, err error) message.ForwardReply {
	switch {
	case err == nil && response.NotRun == "":
		return message.ForwardReply{
			Attempt: attempt, Code: result.OK, Outcome: result.Ran, Status: response.Status,
			Header: response.Header, Body: response.Body,
		}
	case err == nil:
		return codeReply(attempt, refusalCode(response.NotRun))
	case errorx.IsOfType(err, target.ErrNotSent) && keyed:
		return codeReply(attempt, result.OwnerUnavailable)
	case errorx.IsOfType(err, target.ErrNotSent):
		return codeReply(attempt, result.NoTarget)
	case errorx.IsOfType(err, target.ErrTimeout):
		return codeReply(attempt, result.DeadlineMissed)
	default:
		return codeReply(attempt, result.OutcomeUnknown)
	}
}

func refusalCode(reason target.RefusalReason) result.Code {
	switch reason {
	case target.RefusedNotOwner, target.RefusedTerm:
		return result.OwnerUnavailable
	case target.RefusedShed:
		return result.Overloaded
	case target.RefusedDraining:
		return result.Draining
	case target.RefusedDeadline:
		return result.DeadlinePassed
	default:
		return result.OutcomeUnknown
	}
}

// retryKind is the rule by which the VM that received a request may retry it after a reply.
type retryKind uint8

const (
	retryNever retryKind = iota
	// retryHold waits for an ownership change. It takes nothing from the retry budget, because the request is known not
	// to have run.
	retryHold
	// retryBudgeted takes one retry from the retry budget.
	retryBudgeted
)

// retryKindOf returns how a request may be retried after a reply. A request that may have run is retried only if it is
// idempotent and did not crash a target.
func retryKindOf(reply message.ForwardReply, keyed, idempotent bool) retryKind {
	switch reply.Outcome {
	case result.Ran:
		return retryNever
	case result.Unknown:
		if idempotent && reply.Code == result.OutcomeUnknown {
			return retryBudgeted
		}
		return retryNever
	}
	switch reply.Code {
	case result.OwnerUnavailable, result.PeerUnavailable:
		return retryHold
	case result.Draining:
		if keyed {
			return retryHold
		}
		return retryBudgeted
	case result.Overloaded, result.NoTarget:
		return retryBudgeted
	default:
		return retryNever
	}
}

// mayServe reports whether a tenant's request may be sent to a region now: the tenant is active, its class is still the
// one that the request was resolved with, and the region is known and among its home regions.
func mayServe(table *route.Table, tenant model.Tenant, class model.Class, region model.Region) bool {
	known := table.Tenants[tenant]
	if known == nil || known.Suspended || known.Class != class || region == "" {
		return false
	}
	return known.Class.Allows(region)
}
