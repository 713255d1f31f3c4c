package dispatch

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/result"
	"github.com/tarragonpoint/tarragonpoint/internal/route"
)

// defaultChooser chooses at random among the candidates in this VM's zone, or among all if there is none.
type defaultChooser struct{}

func (defaultChooser) Choose(table *route.Table, _ *route.Service, candidates []*route.Target) *route.Target {
	local := make([]*route.Target, 0, len(candidates))
	for _, candidate := range candidates {
		if candidate.Zone == table.Zone {
			local = append(local, candidate)
		}
	}
	if len(local) > 0 {
		candidates = local
	}
	return candidates[rand.IntN(len(candidates))]
}

func (defaultChooser) Begin(model.TargetID) {}

func (defaultChooser) End(model.TargetID, time.Duration, result.Outcome) {}

const (
	// requestsPerRetry is the number of requests that earn one retry: retries are limited to 10 % of requests.
	requestsPerRetry = 10
	// retryBurst is the largest number of retries that can accumulate.
	retryBurst = 20
)

// defaultRetryBudget allows retries for 10 % of the requests of each service.
type defaultRetryBudget struct {
	mu sync.Mutex
	// credit is the balance of each service; one retry costs requestsPerRetry units.
	credit map[model.Service]int
}

func newDefaultRetryBudget() *defaultRetryBudget {
	return &defaultRetryBudget{credit: map[model.Service]int{}}
}

// creditOf returns the credit of a service; a service starts with a full budget. The caller holds the lock.
func (b *defaultRetryBudget) creditOf(service model.Service) int {
	credit, found := b.credit[service]
	if !found {
		return retryBurst * requestsPerRetry
	}
	return credit
}

func (b *defaultRetryBudget) Deposit(service model.Service) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.credit[service] = min(b.creditOf(service)+1, retryBurst*requestsPerRetry)
}

func (b *defaultRetryBudget) Withdraw(service model.Service) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	credit := b.creditOf(service)
	if credit < requestsPerRetry {
		return false
	}
	b.credit[service] = credit - requestsPerRetry
	return true
}

// noHedger disables hedging.
type noHedger struct{}

func (noHedger) Delay(model.Service) time.Duration { return 0 }

func (noHedger) Allow(model.Service) bool { return false }

func (noHedger) P99(model.Service) time.Duration { return 0 }

// noAdmission admits every request.
type noAdmission struct{}

func (noAdmission) Allow(model.Tenant, model.Service) result.Code { return result.OK }

func (noAdmission) Acquire(model.Tenant, model.Service) (func(), result.Code) {
	return func() {}, result.OK
}

// noQuarantine blocks no request.
type noQuarantine struct{}

func (noQuarantine) Fingerprint(model.Tenant, model.Service, string, string, []byte) uint64 { return 0 }

func (noQuarantine) Enter(model.Instant, uint64) (func(), bool) { return func() {}, true }

func (noQuarantine) Blocks(model.Instant, uint64) bool { return false }

func (noQuarantine) Strike(model.Instant, uint64, model.TargetID) {}

// noObserver discards all measurements.
type noObserver struct{}

func (noObserver) Attempt(model.Service, Path, result.Code, time.Duration) {}

func (noObserver) Request(model.Tenant, model.Service, result.Code, result.Outcome, time.Duration) {}

func (noObserver) Retry(model.Service, result.Code) {}

func (noObserver) Strike(model.TargetID) {}

// noSuccessors returns no successor, so that a stop hands nothing over.
type noSuccessors struct{}

func (noSuccessors) Successor(model.TargetID) model.VMID { return "" }
