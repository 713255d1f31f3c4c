package dispatch

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/result"
	"github.com/tarragonpoint/tarragonpoint/internal/route"
)

// defaultChooser chooses at random among the targets of the own zone, or among all if it has none.
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
	// retryShare is the number of requests that pay for one retry: 10 % of requests.
	retryShare = 10
	// retryBurst is the number of retries that can be saved up.
	retryBurst = 20
)

// defaultRetryBudget allows retries for 10 % of the requests of each service.
type defaultRetryBudget struct {
	mu sync.Mutex
	// credit holds retryShare units for each allowed retry.
	credit map[model.Service]int
}

func newDefaultRetryBudget() *defaultRetryBudget {
	return &defaultRetryBudget{credit: map[model.Service]int{}}
}

// of returns the credit of a service; a service starts with a full budget.
func (b *defaultRetryBudget) of(service model.Service) int {
	credit, found := b.credit[service]
	if !found {
		return retryBurst * retryShare
	}
	return credit
}

func (b *defaultRetryBudget) Deposit(service model.Service) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.credit[service] = min(b.of(service)+1, retryBurst*retryShare)
}

func (b *defaultRetryBudget) Withdraw(service model.Service) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	credit := b.of(service)
	if credit < retryShare {
		return false
	}
	b.credit[service] = credit - retryShare
	return true
}

// noHedger never starts a second attempt.
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

func (noQuarantine) Strike(model.Instant, uint64, model.TargetID) {}

// noObserver drops all measurements.
type noObserver struct{}

func (noObserver) Attempt(model.Service, Path, result.Code, time.Duration) {}

func (noObserver) Request(model.Tenant, model.Service, result.Code, result.Outcome, time.Duration) {}

func (noObserver) Retry(model.Service, result.Code) {}

func (noObserver) Strike(model.TargetID) {}

// noSuccessors hands nothing over.
type noSuccessors struct{}

func (noSuccessors) Successor(model.TargetID) model.VMID { return "" }
