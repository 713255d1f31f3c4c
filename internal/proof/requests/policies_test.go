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
	retryPercent = 10
	retryFloor   = 1
	hedgePercent = 5
	ejectPercent = 30
	spillBytes   = 256 << 10
)

// policies combines the real load policies in the same way as the entry role, and counts the requests, retries, hedges
// and attempts that they see or allow.
type policies struct {
	p          *process
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
		p: p, balancer: balance.NewP2C(), spill: balance.NewSpillBudget(spillBytes, 0),
		tracker: balance.NewTracker(ejectPercent), budget: retry.NewBudget(retryPercent, retryFloor, 0),
		hedger: retry.NewHedger(hedgePercent, 0), quarantine: quarantine.NewTable(64),
	}
}

func (o *policies) count(counter *int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	*counter++
}

func (o *policies) report(table *route.Table) {
	for id, t := range table.Targets {
		if t.Status != nil && t.Service == unkeyedService {
			o.tracker.Report(o.p.Now(), id, t.Status.Load)
		}
	}
}

// Choose implements dispatch.Chooser.
func (o *policies) Choose(table *route.Table, service *route.Service, candidates []*route.Target) *route.Target {
	choice, err := o.balancer.Choose(o.p.Now(), candidates, balance.View{
		VM: table.VM, Zone: table.Zone, Region: table.Region, Concurrency: service.Concurrency, RequestBytes: 1 << 10,
		Tracker: o.tracker, Spill: o.spill,
	})
	if err != nil {
		return nil
	}
	return choice.Target
}

// Begin implements dispatch.Chooser.
func (o *policies) Begin(id model.TargetID) { o.tracker.Start(id) }

// End implements dispatch.Chooser.
func (o *policies) End(id model.TargetID, latency time.Duration, outcome result.Outcome) {
	o.tracker.Finish(o.p.Now(), balance.Observation{
		Target: id, Latency: latency, Failed: outcome == result.Unknown, Ignore: outcome == result.NotRun,
	})
}

type retryAdapter struct{ *policies }

func (o retryAdapter) Deposit(model.Service) {
	o.count(&o.requests)
	o.budget.Request(o.p.Now())
}

func (o retryAdapter) Withdraw(model.Service) bool {
	if !o.budget.Take(o.p.Now()) {
		return false
	}
	o.count(&o.retried)
	return true
}

func (o *policies) hedges() dispatch.Hedger { return hedgeAdapter{o} }

type hedgeAdapter struct{ *policies }

func (o hedgeAdapter) Delay(model.Service) time.Duration {
	delay, ok := o.hedger.Delay(true, dispatch.DefaultTimeout)
	if !ok {
		return 0
	}
	return delay
}

func (o hedgeAdapter) Allow(model.Service) bool {
	if !o.hedger.Take(o.p.Now(), false) {
		return false
	}
	o.count(&o.hedged)
	return true
}

func (o hedgeAdapter) P99(model.Service) time.Duration { return 0 }

type observer struct{ *policies }

func (o observer) Attempt(_ model.Service, _ dispatch.Path, code result.Code, latency time.Duration) {
	o.count(&o.attempts)
	if code == result.OK {
		o.hedger.Observe(o.p.Now(), latency)
	}
}

func (o observer) Request(model.Tenant, model.Service, result.Code, result.Outcome, time.Duration) {}

func (o observer) Retry(model.Service, result.Code) {}

func (o observer) Strike(model.TargetID) {}

type quarantineAdapter struct{ *policies }

func (o quarantineAdapter) Fingerprint(tenant model.Tenant, service model.Service, method, path string, body []byte) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%q %q %q %q %q", tenant, service, method, path, body))
}

func (o quarantineAdapter) Enter(now model.Instant, fingerprint uint64) (func(), bool) {
	verdict, limited := o.quarantine.Begin(now, quarantine.Fingerprint(fingerprint))
	if verdict != quarantine.Allowed {
		return nil, false
	}
	if !limited {
		return func() {}, true
	}
	return func() { o.quarantine.End(quarantine.Fingerprint(fingerprint)) }, true
}

func (o quarantineAdapter) Strike(now model.Instant, fingerprint uint64, id model.TargetID) {
	o.quarantine.Strike(now, quarantine.Fingerprint(fingerprint), id)
}
