package entry

import (
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/admission"
	"github.com/tarragonpoint/tarragonpoint/internal/balance"
	"github.com/tarragonpoint/tarragonpoint/internal/dispatch"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/quarantine"
	"github.com/tarragonpoint/tarragonpoint/internal/result"
	"github.com/tarragonpoint/tarragonpoint/internal/route"
)

// assumedRequestBytes is the assumed size of a request together with its response when they cross regions; neither size
// is known when the target is chosen.
const assumedRequestBytes = 16 << 10

// chooser chooses the targets of requests by the balance policy.
type chooser struct {
	*policies
	serviceOf func(model.TargetID) model.Service
}

// Choose returns one of the candidates, or nil if the policy accepts none of them or the service is not configured.
func (c chooser) Choose(table *route.Table, service *route.Service, candidates []*route.Target) *route.Target {
	c.mu.RLock()
	policy, balancer, spill := c.services[service.Name], c.balancer, c.spill
	c.mu.RUnlock()
	if policy == nil {
		return nil
	}
	choice, err := balancer.Choose(c.clock.Now(), candidates, balance.View{
		VM:           table.VM,
		Zone:         table.Zone,
		Region:       table.Region,
		Concurrency:  service.Concurrency,
		RequestBytes: assumedRequestBytes,
		Tracker:      policy.tracker,
		Spill:        spill,
	})
	if err != nil {
		return nil
	}
	return choice.Target
}

// Begin records the start of an attempt.
func (c chooser) Begin(id model.TargetID) {
	if policy := c.service(c.serviceOf(id)); policy != nil {
		policy.tracker.Start(id)
	}
}

// End records the end of an attempt.
func (c chooser) End(id model.TargetID, latency time.Duration, outcome result.Outcome) {
	if policy := c.service(c.serviceOf(id)); policy != nil {
		policy.tracker.Finish(c.clock.Now(), balance.Observation{
			Target:  id,
			Latency: latency,
			Failed:  outcome == result.Unknown,
			Ignore:  outcome == result.NotRun,
		})
	}
}

// retryBudgets applies the retry budgets of the services.
type retryBudgets struct{ *policies }

// Deposit counts a request, which adds to the retry budget of its service.
func (r retryBudgets) Deposit(service model.Service) {
	if policy := r.service(service); policy != nil {
		policy.budget.Request(r.clock.Now())
	}
}

// Withdraw takes one retry from the budget of a service. It reports false if none is left.
func (r retryBudgets) Withdraw(service model.Service) bool {
	policy := r.service(service)
	if policy == nil || !policy.budget.Take(r.clock.Now()) {
		r.metrics.RetryRefused(service)
		return false
	}
	return true
}

// hedgeBudgets applies the hedging budgets of the services.
type hedgeBudgets struct{ *policies }

// Delay returns the time after which a hedged attempt starts; 0 means that none starts.
func (h hedgeBudgets) Delay(service model.Service) time.Duration {
	policy := h.service(service)
	if policy == nil {
		return 0
	}
	delay, ok := policy.hedger.Delay(true, dispatch.DefaultTimeout)
	if !ok {
		return 0
	}
	return delay
}

// Allow takes one hedge from the budget of a service. It reports false if none is left.
func (h hedgeBudgets) Allow(service model.Service) bool {
	policy := h.service(service)
	if policy == nil || !policy.hedger.Take(h.clock.Now(), false) {
		return false
	}
	h.metrics.Hedge(service)
	return true
}

// P99 returns the 99th percentile of the latency of a service, or 0 if it is unknown.
func (h hedgeBudgets) P99(service model.Service) time.Duration {
	if policy := h.service(service); policy != nil {
		return policy.latency.p99()
	}
	return 0
}

// admissionLimits applies the rate and concurrency limits of tenants.
type admissionLimits struct{ *policies }

// Allow admits every request: Acquire checks rate and concurrency together.
func (l admissionLimits) Allow(model.Tenant, model.Service) result.Code { return result.OK }

// Acquire admits a request and returns the function to call at its end, or rejects it with result.RateLimited.
func (l admissionLimits) Acquire(tenant model.Tenant, _ model.Service) (func(), result.Code) {
	if l.limiter.Admit(l.clock.Now(), tenant, admission.AllClasses) != admission.Admitted {
		return nil, result.RateLimited
	}
	return func() { l.limiter.Done(l.clock.Now(), tenant, admission.AllClasses) }, result.OK
}

// quarantineCapacity is the maximum number of fingerprints with strikes that are tracked.
const quarantineCapacity = 4096

// quarantineFilter applies the quarantine.
type quarantineFilter struct {
	table *quarantine.Table
	// seed keys the fingerprints, so that outside the deployment they reveal nothing about a request.
	seed uint64
}

// Fingerprint returns the keyed hash of a request.
func (q quarantineFilter) Fingerprint(tenant model.Tenant, service model.Service, method, path string,
	body []byte) uint64 {
	return uint64(quarantine.FingerprintOf(q.seed, body, string(tenant), string(service), method, path))
}

// Enter reports whether a request may run. If it may, the returned function must be called at its end.
func (q quarantineFilter) Enter(now model.Instant, fingerprint uint64) (func(), bool) {
	verdict, limited := q.table.Begin(now, quarantine.Fingerprint(fingerprint))
	if verdict != quarantine.Allowed {
		return nil, false
	}
	if !limited {
		return func() {}, true
	}
	return func() { q.table.End(quarantine.Fingerprint(fingerprint)) }, true
}

// Blocks reports whether requests with a fingerprint are blocked.
func (q quarantineFilter) Blocks(now model.Instant, fingerprint uint64) bool {
	return q.table.BlockLeft(now, quarantine.Fingerprint(fingerprint)) > 0
}

// Strike records that a request crashed a target.
func (q quarantineFilter) Strike(now model.Instant, fingerprint uint64, id model.TargetID) {
	q.table.Strike(now, quarantine.Fingerprint(fingerprint), id)
}

// observer reports measurements to the metrics and to the policies that adapt to them.
type observer struct{ *policies }

// Attempt records the latency of an attempt that got a response.
func (o observer) Attempt(service model.Service, _ dispatch.Path, code result.Code, latency time.Duration) {
	policy := o.service(service)
	if policy == nil || code != result.OK {
		return
	}
	policy.latency.add(latency)
	policy.hedger.Observe(o.clock.Now(), latency)
}

// Request does nothing: the front reports all requests, including rejected ones.
func (o observer) Request(model.Tenant, model.Service, result.Code, result.Outcome, time.Duration) {}

// Retry counts a retry.
func (o observer) Retry(service model.Service, _ result.Code) { o.metrics.Retry(service) }

// Strike counts a request that crashed a target.
func (o observer) Strike(model.TargetID) { o.metrics.Strike() }

// successors reads the next lessors of targets from the routing table.
type successors struct{ table func() *route.Table }

// Successor returns the next lessor of a target; "" if there is none.
func (s successors) Successor(id model.TargetID) model.VMID {
	if table := s.table(); table != nil {
		return table.Leases[id].Successor
	}
	return ""
}
