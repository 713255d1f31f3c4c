package requests

import (
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tarragonpoint/tarragonpoint/internal/balance"
	"github.com/tarragonpoint/tarragonpoint/internal/dispatch"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/quarantine"
	"github.com/tarragonpoint/tarragonpoint/internal/result"
	"github.com/tarragonpoint/tarragonpoint/internal/retry"
	"github.com/tarragonpoint/tarragonpoint/internal/route"
)

const (
	// retryPercent and hedgePercent are the percentages of requests that may be retried and hedged, ejectPercent is the
	// percentage of targets that may be ejected at once.
	retryPercent = 10
	retryFloor   = 1 // retries/s
	hedgePercent = 5
	ejectPercent = 30
	spillBytes   = 256 << 10 // bytes/s
)

// policies combines the real load policies in the same way as the entry role, and counts the requests, retries, hedges
// and attempts that they see or allow.
type policies struct {
	process    *process
	balancer   balance.Policy
	spill      *balance.SpillBudget
	tracker    *balance.Tracker
	budget     *retry.Budget
	hedger     *retry.Hedger
	quarantine *quarantine.Table

	mu                        sync.Mutex
	requests, retried, hedged int
	attempts                  int
}

func newPolicies(p *process) *policies {
	return &policies{
		process: p, balancer: balance.NewP2C(), spill: balance.NewSpillBudget(spillBytes, 0),
		tracker: balance.NewTracker(ejectPercent), budget: retry.NewBudget(retryPercent, retryFloor, 0),
		hedger: retry.NewHedger(hedgePercent, 0), quarantine: quarantine.NewTable(64),
	}
}

func (p *policies) count(counter *int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	*counter++
}

func (p *policies) report(table *route.Table) {
	for id, t := range table.Targets {
		if t.Status != nil && t.Service == unkeyedService {
			p.tracker.Report(p.process.Now(), id, t.Status.Load)
		}
	}
}

// Choose implements dispatch.Chooser.
func (p *policies) Choose(table *route.Table, service *route.Service, candidates []*route.Target) *route.Target {
	choice, err := p.balancer.Choose(p.process.Now(), candidates, balance.View{
		VM: table.VM, Zone: table.Zone, Region: table.Region, Concurrency: service.Concurrency, RequestBytes: 1 << 10,
		Tracker: p.tracker, Spill: p.spill,
	})
	if err != nil {
		return nil
	}
	return choice.Target
}

// Begin implements dispatch.Chooser.
func (p *policies) Begin(id model.TargetID) { p.tracker.Start(id) }

// End implements dispatch.Chooser.
func (p *policies) End(id model.TargetID, latency time.Duration, outcome result.Outcome) {
	p.tracker.Finish(p.process.Now(), balance.Observation{
		Target: id, Latency: latency, Failed: outcome == result.Unknown, Ignore: outcome == result.NotRun,
	})
}

type retryAdapter struct{ *policies }

func (a retryAdapter) Deposit(model.Service) {
	a.count(&a.requests)
	a.budget.Request(a.process.Now())
}

func (a retryAdapter) Withdraw(model.Service) bool {
	if !a.budget.Take(a.process.Now()) {
		return false
	}
	a.count(&a.retried)
	return true
}

func (p *policies) hedges() dispatch.Hedger { return hedgeAdapter{p} }

type hedgeAdapter struct{ *policies }

func (a hedgeAdapter) Delay(model.Service) time.Duration {
	delay, ok := a.hedger.Delay(true, dispatch.DefaultTimeout)
	if !ok {
		return 0
	}
	return delay
}

func (a hedgeAdapter) Allow(model.Service) bool {
	if !a.hedger.Take(a.process.Now(), false) {
		return false
	}
	a.count(&a.hedged)
	return true
}

func (a hedgeAdapter) P99(model.Service) time.Duration { return 0 }

type observer struct{ *policies }

func (o observer) Attempt(_ model.Service, _ dispatch.Path, code result.Code, latency time.Duration) {
	o.count(&o.attempts)
	if code == result.OK {
		o.hedger.Observe(o.process.Now(), latency)
	}
}

func (o observer) Request(model.Tenant, model.Service, result.Code, result.Outcome, time.Duration) {}

func (o observer) Retry(model.Service, result.Code) {}

func (o observer) Strike(model.TargetID) {}

type quarantineAdapter struct{ *policies }

func (a quarantineAdapter) Fingerprint(tenant model.Tenant, service model.Service, method, path string, body []byte) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%q %q %q %q %q", tenant, service, method, path, body))
}

func (a quarantineAdapter) Enter(now model.Instant, fingerprint uint64) (func(), bool) {
	verdict, limited := a.quarantine.Begin(now, quarantine.Fingerprint(fingerprint))
	if verdict != quarantine.Allowed {
		return nil, false
	}
	if !limited {
		return func() {}, true
	}
	return func() { a.quarantine.End(quarantine.Fingerprint(fingerprint)) }, true
}

func (a quarantineAdapter) Blocks(now model.Instant, fingerprint uint64) bool {
	return a.quarantine.BlockLeft(now, quarantine.Fingerprint(fingerprint)) > 0
}

func (a quarantineAdapter) Strike(now model.Instant, fingerprint uint64, id model.TargetID) {
	a.quarantine.Strike(now, quarantine.Fingerprint(fingerprint), id)
}
