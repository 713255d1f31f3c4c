package dispatch

import (
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/message"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/result"
	"github.com/tarragonpoint/tarragonpoint/internal/route"
)

// Sender sends messages to other entry VMs. peer.Transport implements it.
type Sender interface {
	// Send queues one message without blocking. An error means that the message will not be delivered.
	Send(to model.VMID, outgoing message.Message) error
}

// Clock provides the monotonic and the wall clock.
type Clock interface {
	// Now returns the monotonic time.
	Now() model.Instant
	// Wall returns the wall-clock time.
	Wall() time.Time
}

// Chooser chooses targets for requests without a key.
type Chooser interface {
	// Choose returns one of the candidates, or nil to reject them all. candidates is not empty.
	Choose(table *route.Table, service *route.Service, candidates []*route.Target) *route.Target
	// Begin and End are called before and after each attempt that this VM sends to a target. The outcome result.NotRun
	// carries no information about the target: the attempt was refused or canceled, or its connection was unresponsive
	// while the target responded to others.
	Begin(target model.TargetID)
	End(target model.TargetID, latency time.Duration, outcome result.Outcome)
}

// RetryBudget limits retries to a fraction of the requests of a service.
type RetryBudget interface {
	// Deposit counts a request.
	Deposit(service model.Service)
	// Withdraw reports whether one more retry is allowed and counts it.
	Withdraw(service model.Service) bool
}

// Hedger decides when a slow idempotent request gets a second, concurrent attempt.
type Hedger interface {
	// Delay returns the time after which a second attempt starts; 0 disables hedging.
	Delay(service model.Service) time.Duration
	// Allow reports whether the hedging budget allows one more attempt and counts it.
	Allow(service model.Service) bool
	// P99 returns the 99th percentile of the service's latency; 0 if it is unknown.
	P99(service model.Service) time.Duration
}

// Admission enforces the rate and concurrency limits of tenants.
type Admission interface {
	// Allow counts a request before its body is read. It returns result.OK or the code of the rejection.
	Allow(tenant model.Tenant, service model.Service) result.Code
	// Acquire takes one unit of the tenant's concurrency limit. It returns a release function and result.OK, or nil and
	// the code of the rejection.
	Acquire(tenant model.Tenant, service model.Service) (release func(), code result.Code)
}

// Quarantine blocks requests that crash targets.
type Quarantine interface {
	// Fingerprint returns the keyed hash of a request. All VMs of a region compute the same value.
	Fingerprint(tenant model.Tenant, service model.Service, method, path string, body []byte) uint64
	// Enter reports whether a request may run now. If it may, the caller must call leave when the request has ended.
	Enter(now model.Instant, fingerprint uint64) (leave func(), allowed bool)
	// Blocks reports whether no request with a fingerprint may be sent, also one that was allowed earlier.
	Blocks(now model.Instant, fingerprint uint64) bool
	// Strike counts a request that crashed a target.
	Strike(now model.Instant, fingerprint uint64, target model.TargetID)
}

// Path is how an attempt reached its target.
type Path uint8

// Paths of an attempt: sent directly, sent by this VM as the lessor, or forwarded to the lessor.
const (
	PathDirect Path = iota
	PathLessor
	PathForward
)

// Observer receives measurements.
type Observer interface {
	// Attempt reports the end of an attempt at the VM that received the request.
	Attempt(service model.Service, path Path, code result.Code, latency time.Duration)
	// Request reports the final response to a caller.
	Request(tenant model.Tenant, service model.Service, code result.Code, outcome result.Outcome, latency time.Duration)
	// Retry reports a retry; cause is the code of the previous attempt.
	Retry(service model.Service, cause result.Code)
	// Strike reports a request that crashed a target.
	Strike(target model.TargetID)
}

// Successors returns the entry VMs that take over this VM's targets on a planned stop.
type Successors interface {
	// Successor returns the next lessor of a target; empty if there is none.
	Successor(target model.TargetID) model.VMID
}
