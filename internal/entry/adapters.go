package entry

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tarragonpoint/tarragonpoint/internal/admission"
	"github.com/tarragonpoint/tarragonpoint/internal/balance"
	"github.com/tarragonpoint/tarragonpoint/internal/dispatch"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/quarantine"
	"github.com/tarragonpoint/tarragonpoint/internal/result"
	"github.com/tarragonpoint/tarragonpoint/internal/route"
)

// typicalBytes is the assumed size of a request and its response that cross regions, since neither is known when the
// target is chosen.
const typicalBytes = 16 << 10

// chooser lets the balance policy choose targets for the request path.
type chooser struct {
	*policies
	serviceOf func(model.TargetID) model.Service
}

// Choose returns a target, or nil if the policy uses none of the candidates.
func (c chooser) Choose(table *route.Table, service *route.Service, candidates []*route.Target) *route.Target {
	c.mu.RLock()
	known, policy, spill := c.services[service.Name], c.choice, c.spill
	c.mu.RUnlock()
	if known == nil {
		return nil
	}
	choice, err := policy.Choose(c.clock.Now(), candidates, balance.View{
		VM:           table.VM,
		Zone:         table.Zone,
		Region:       table.Region,
		Concurrency:  service.Concurrency,
		RequestBytes: typicalBytes,
		Tracker:      known.tracker,
		Spill:        spill,
	})
	if err != nil {
		return nil
	}
	return choice.Target
}

// Begin counts an attempt.
func (c chooser) Begin(id model.TargetID) {
	if known := c.service(c.serviceOf(id)); known != nil {
		known.tracker.Start(id)
	}
}

// End records the end of an attempt.
func (c chooser) End(id model.TargetID, latency time.Duration, outcome result.Outcome) {
	if known := c.service(c.serviceOf(id)); known != nil {
		known.tracker.Finish(c.clock.Now(), balance.Observation{
			Target:  id,
			Latency: latency,
			Failed:  outcome == result.Unknown,
			Ignore:  outcome == result.NotRun,
		})
	}
}

// retries applies the retry budgets.
type retries struct{ *policies }

// Deposit counts a request.
func (r retries) Deposit(service model.Service) {
	if known := r.service(service); known != nil {
		known.budget.Request(r.clock.Now())
	}
}

// Withdraw takes one retry from the budget.
func (r retries) Withdraw(service model.Service) bool {
	known := r.service(service)
	if known == nil || !known.budget.Take(r.clock.Now()) {
		r.metrics.RetryRefused(service)
		return false
	}
	return true
}

// hedges applies the hedging budgets.
type hedges struct{ *policies }

// Delay returns the time after which a second attempt starts; 0 means never.
func (h hedges) Delay(service model.Service) time.Duration {
	known := h.service(service)
	if known == nil {
		return 0
	}
	delay, ok := known.hedger.Delay(true, dispatch.DefaultTimeout)
	if !ok {
		return 0
	}
	return delay
}

// Allow takes one hedge from the budget.
func (h hedges) Allow(service model.Service) bool {
	known := h.service(service)
	if known == nil || !known.hedger.Take(h.clock.Now(), false) {
		return false
	}
	h.metrics.Hedge(service)
	return true
}

// P99 returns the 99th percentile of the latency of a service.
func (h hedges) P99(service model.Service) time.Duration {
	if known := h.service(service); known != nil {
		return known.latency.p99()
	}
	return 0
}

// limits applies the limits of tenants.
type limits struct{ *policies }

// Allow admits every request: rate and concurrency are counted together by Acquire.
func (l limits) Allow(model.Tenant, model.Service) result.Code { return result.OK }

// Acquire admits or refuses a request.
func (l limits) Acquire(tenant model.Tenant, _ model.Service) (func(), result.Code) {
	if l.limiter.Admit(l.clock.Now(), tenant, admission.AllClasses) != admission.Admitted {
		return nil, result.RateLimited
	}
	return func() { l.limiter.Done(l.clock.Now(), tenant, admission.AllClasses) }, result.OK
}

// quarantineCapacity bounds the fingerprints with strikes.
const quarantineCapacity = 4096

// blocked applies the quarantine.
type blocked struct {
	table *quarantine.Table
	// seed keys the fingerprints, so that they tell nothing about a request outside the deployment.
	seed uint64
}

// Fingerprint returns the keyed hash of a request.
func (b blocked) Fingerprint(tenant model.Tenant, service model.Service, method, path string, body []byte) uint64 {
	digest := xxhash.NewWithSeed(b.seed)
	for _, part := range []string{string(tenant), string(service), method, path} {
		var length [8]byte
		binary.LittleEndian.PutUint64(length[:], uint64(len(part)))
		_, _ = digest.Write(length[:])
		_, _ = digest.WriteString(part)
	}
	_, _ = digest.Write(body)
	return digest.Sum64()
}

// Enter reports whether a request may run.
func (b blocked) Enter(now model.Instant, fingerprint uint64) (func(), bool) {
	verdict, limited := b.table.Begin(now, quarantine.Fingerprint(fingerprint))
	if verdict != quarantine.Allowed {
		return nil, false
	}
	if !limited {
		return func() {}, true
	}
	return func() { b.table.End(quarantine.Fingerprint(fingerprint)) }, true
}

// Strike counts a request that broke a target.
func (b blocked) Strike(now model.Instant, fingerprint uint64, id model.TargetID) {
	b.table.Strike(now, quarantine.Fingerprint(fingerprint), id)
}

// observer passes measurements on to the metrics and to the policies that learn from them.
type observer struct{ *policies }

// Attempt records the latency of an attempt that was answered.
func (o observer) Attempt(service model.Service, _ dispatch.Path, code result.Code, latency time.Duration) {
	known := o.service(service)
	if known == nil || code != result.OK {
		return
	}
	known.latency.add(latency)
	known.hedger.Observe(o.clock.Now(), latency)
}

// Request does nothing: the front reports requests, refused ones included.
func (o observer) Request(model.Tenant, model.Service, result.Code, result.Outcome, time.Duration) {}

// Retry counts a retry.
func (o observer) Retry(service model.Service, _ result.Code) { o.metrics.Retry(service) }

// Strike counts a request that broke a target.
func (o observer) Strike(model.TargetID) { o.metrics.Strike() }

// successors names the next lessors from the routing table.
type successors struct{ table func() *route.Table }

// Successor returns the next lessor of a target; "" if there is none.
func (s successors) Successor(id model.TargetID) model.VMID {
	if table := s.table(); table != nil {
		return table.Leases[id].Successor
	}
	return ""
}
