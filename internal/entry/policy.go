package entry

import (
	"sync"

	"github.com/tarragonpoint/tarragonpoint/internal/admission"
	"github.com/tarragonpoint/tarragonpoint/internal/balance"
	"github.com/tarragonpoint/tarragonpoint/internal/config"
	"github.com/tarragonpoint/tarragonpoint/internal/kernel"
	"github.com/tarragonpoint/tarragonpoint/internal/logging"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/retry"
	"github.com/tarragonpoint/tarragonpoint/internal/route"
	"github.com/tarragonpoint/tarragonpoint/internal/telemetry"
)

// retryFloor is the number of retries a second that a service may always make, so that a service with few requests can
// retry at all.
const retryFloor = 1

// servicePolicy is the state of the load policies for one service.
type servicePolicy struct {
	tracker *balance.Tracker
	budget  *retry.Budget
	hedger  *retry.Hedger
	latency *latencyEstimator
}

// policies holds the load policies of this entry VM as the current rules configure them.
type policies struct {
	clock   clock
	log     *logging.Logger
	limiter *admission.Limiter
	metrics *telemetry.Metrics

	mu       sync.RWMutex
	version  model.Offset
	rules    config.Rules
	balancer balance.Policy
	spill    *balance.SpillBudget
	services map[model.Service]*servicePolicy
}

func newPolicies(c clock, log *logging.Logger, metrics *telemetry.Metrics) *policies {
	return &policies{
		clock:    c,
		log:      log,
		limiter:  admission.NewLimiter(),
		metrics:  metrics,
		balancer: balance.NewP2C(),
		services: map[model.Service]*servicePolicy{},
	}
}

// update applies a routing table and its configuration to the policies.
func (p *policies) update(table *route.Table, state config.State) {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.version != state.Version || len(p.services) == 0 {
		p.version = state.Version
		p.applyRules(now, state)
	}
	for name, service := range table.Services {
		policy, found := p.services[name]
		if !found {
			continue
		}
		p.metrics.Ejected(name, policy.updateTargets(now, service.Targets))
	}
}

// updateTargets applies the targets of a routing table and their reported loads, and returns how many targets are
// ejected.
func (s *servicePolicy) updateTargets(now model.Instant, targets []*route.Target) (ejected int) {
	ids := make([]model.TargetID, 0, len(targets))
	for _, candidate := range targets {
		ids = append(ids, candidate.ID)
		if candidate.Status != nil {
			s.tracker.Report(now, candidate.ID, candidate.Status.Load)
		}
		if s.tracker.Share(now, candidate.ID) == 0 {
			ejected++
		}
	}
	s.tracker.Retain(ids)
	return ejected
}

// applyRules applies the current rules. It resets the budgets, which allows at most one extra burst for each change.
// The caller must hold the lock.
func (p *policies) applyRules(now model.Instant, state config.State) {
	p.rules = state.Rules
	p.spill = balance.NewSpillBudget(state.Rules.SpillBytesPerSecond, now)
	if balancer, err := kernel.New[balance.Policy](kernel.ID(state.Rules.Balance)); err == nil {
		p.balancer = balancer
	} else {
		p.log.Error("The rules name an unknown balance plug-in; the current policy stays in use.", logging.SystemError(err))
	}
	services := make(map[model.Service]*servicePolicy, len(state.Services))
	for name := range state.Services {
		policy, found := p.services[name]
		if !found {
			policy = &servicePolicy{tracker: balance.NewTracker(state.Rules.MaxEjectedPercent), latency: newLatencyEstimator()}
		}
		policy.budget = retry.NewBudget(state.Rules.RetryPercent, retryFloor, now)
		policy.hedger = retry.NewHedger(state.Rules.HedgePercent, now)
		services[name] = policy
	}
	p.services = services
	p.limiter.SetLimits(now, defaultLimits(state.Rules), tenantLimits(state))
}

func defaultLimits(rules config.Rules) admission.Limits {
	return admission.Limits{Rate: rules.DefaultRateLimit, Concurrency: rules.DefaultConcurrencyLimit}
}

func tenantLimits(state config.State) map[admission.Key]admission.Limits {
	limits := map[admission.Key]admission.Limits{}
	for name, tenant := range state.Tenants {
		if tenant.RateLimit == 0 && tenant.ConcurrencyLimit == 0 {
			continue
		}
		own := defaultLimits(state.Rules)
		if tenant.RateLimit > 0 {
			own.Rate = tenant.RateLimit
		}
		if tenant.ConcurrencyLimit > 0 {
			own.Concurrency = tenant.ConcurrencyLimit
		}
		limits[admission.Key{Tenant: name, Class: admission.AllClasses}] = own
	}
	return limits
}

// service returns the policies of a service; nil if the configuration does not have the service.
func (p *policies) service(name model.Service) *servicePolicy {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return p.services[name]
}
