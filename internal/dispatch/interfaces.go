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
	// Send queues one message without blocking. An error means that it will not arrive.
	Send(to model.VMID, outgoing message.Message) error
}

// Clock reads the clocks of this process.
type Clock interface {
	// Now reads the monotonic clock.
	Now() model.Instant
	// Wall reads the wall clock.
	Wall() time.Time
}

// Chooser chooses targets for requests without a key.
type Chooser interface {
	// Choose returns one of the candidates, or nil to use none. There is at least one candidate.
	Choose(table *route.Table, service *route.Service, candidates []*route.Target) *route.Target
	// Begin and End enclose each attempt that this VM sends to a target. The outcome result.NotRun says nothing about the
	// target: the attempt was refused or canceled, or its connection was silent while the target answered others.
	Begin(target model.TargetID)
	End(target model.TargetID, latency time.Duration, outcome result.Outcome)
}

// RetryBudget limits retries to a share of the requests of a service.
type RetryBudget interface {
	// Deposit counts a request.
	Deposit(service model.Service)
	// Withdraw reports whether one more retry is allowed and counts it.
	Withdraw(service model.Service) bool
}

// Hedger decides on second attempts of idempotent requests that are slow.
type Hedger interface {
	// Delay returns after which time a second attempt starts; 0 means never.
	Delay(service model.Service) time.Duration
	// Allow reports whether the hedging budget allows one more attempt and counts it.
	Allow(service model.Service) bool
	// P99 returns the 99th percentile of the service's latency; 0 if it is unknown.
	P99(service model.Service) time.Duration
}

// Admission limits the requests of a tenant.
type Admission interface {
	// Allow counts a request before its body is read. It returns result.OK or the code of the refusal.
	Allow(tenant model.Tenant, service model.Service) result.Code
	// Acquire takes one unit of the tenant's concurrency. It returns result.OK and a release function, or the code of the
	// refusal and nil.
	Acquire(tenant model.Tenant, service model.Service) (release func(), code result.Code)
}

// Quarantine blocks requests that crash targets.
type Quarantine interface {
	// Fingerprint returns the keyed hash of a request. It is the same on all VMs of a region.
	Fingerprint(tenant model.Tenant, service model.Service, method, path string, body []byte) uint64
	// Enter reports whether a request may run now. leave must be called when it ended.
	Enter(now model.Instant, fingerprint uint64) (leave func(), allowed bool)
	// Strike counts a request that broke a target.
	Strike(now model.Instant, fingerprint uint64, target model.TargetID)
}

// Path is the way that an attempt took.
type Path uint8

// Paths of an attempt.
const (
	PathDirect Path = iota
	PathLessor
	PathForward
)

// Observer receives measurements.
type Observer interface {
	// Attempt reports the end of an attempt at the VM that received the request.
	Attempt(service model.Service, path Path, code result.Code, latency time.Duration)
	// Request reports the final answer to a caller.
	Request(tenant model.Tenant, service model.Service, code result.Code, outcome result.Outcome, latency time.Duration)
	// Retry reports a retry because of the code of the attempt before.
	Retry(service model.Service, because result.Code)
	// Strike reports a request that broke a target.
	Strike(target model.TargetID)
}

// Successors names the entry VMs that take over this VM's targets on a planned stop.
type Successors interface {
	// Successor returns the next lessor of a target; "" if there is none.
	Successor(target model.TargetID) model.VMID
}
