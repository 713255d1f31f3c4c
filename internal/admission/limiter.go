package admission

import (
	"math"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

// Class is a class of requests with limits of its own, such as uploads. It is not a placement class.
type Class string

// AllClasses stands for all classes of a tenant together. Its limits apply in addition to those of a class.
const AllClasses Class = ""

// Key identifies the tenant and class to which limits apply.
type Key struct {
	Tenant model.Tenant
	Class  Class
}

// Limits are the limits that apply at one entry VM; 0 means no limit.
type Limits struct {
	// Rate is in requests per second. The burst is the number of requests for one second, at least 1.
	Rate float64
	// Concurrency is the maximum number of concurrent requests, including queued ones.
	Concurrency int
}

// Decision states whether a request was admitted or why it was rejected.
type Decision uint8

// Decisions on a request.
const (
	Admitted Decision = iota
	// RateExceeded means that the tenant or class exceeded its rate limit.
	RateExceeded
	// ConcurrencyExceeded means that the tenant or class has reached its concurrency limit.
	ConcurrencyExceeded
	// QueueFull means that the service's queue is full.
	QueueFull
	// DeadlineTooShort means that the request is not expected to finish by its deadline.
	DeadlineTooShort
	// Displaced means that a queued request was removed to make room for a tenant with fewer queued requests.
	Displaced
)

var decisionNames = [...]string{"admitted", "rate exceeded", "concurrency exceeded", "queue full", "deadline too short",
	"displaced"}

// String returns the decision as it appears in logs and metrics.
func (d Decision) String() string { return decisionNames[d] }

// Limiter applies the limits of all tenants at one entry VM.
type Limiter struct {
	mu       sync.Mutex
	defaults Limits
	limits   map[Key]Limits
	states   map[Key]*state
}

type state struct {
	limits  Limits
	limiter *rate.Limiter // nil without a rate limit
	running int
}

// NewLimiter returns a limiter that has no limits set.
func NewLimiter() *Limiter { return &Limiter{limits: map[Key]Limits{}, states: map[Key]*state{}} }

// SetLimits replaces all limits. defaults apply to tenants without limits for AllClasses. Running requests remain
// counted.
func (l *Limiter) SetLimits(now model.Instant, defaults Limits, limits map[Key]Limits) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.defaults = defaults
	l.limits = make(map[Key]Limits, len(limits))
	for key, value := range limits {
		l.limits[key] = value
	}
	for key, s := range l.states {
		s.setLimits(now, l.limitsOf(key))
	}
}

// EvictIdle drops the state of idle tenants, so that memory use is bounded by the number of active tenants. It keeps
// the state while the tokens of the rate limit are not fully refilled.
func (l *Limiter) EvictIdle(now model.Instant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key, s := range l.states {
		full := s.limiter == nil || s.limiter.TokensAt(toTime(now)) >= float64(s.limiter.Burst())
		if s.running == 0 && full {
			delete(l.states, key)
		}
	}
}

// Admit counts a request against the limits or rejects it. Done must be called for each admitted request.
func (l *Limiter) Admit(now model.Instant, tenant model.Tenant, class Class) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	states := l.statesOf(now, tenant, class)
	for _, s := range states {
		if s.limits.Concurrency > 0 && s.running >= s.limits.Concurrency {
			return ConcurrencyExceeded
		}
		if s.limiter != nil && s.limiter.TokensAt(toTime(now)) < 1 {
			return RateExceeded
		}
	}
	for _, s := range states {
		s.running++
		if s.limiter != nil {
			s.limiter.AllowN(toTime(now), 1)
		}
	}
	return Admitted
}

// Done records the end of an admitted request.
func (l *Limiter) Done(now model.Instant, tenant model.Tenant, class Class) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.statesOf(now, tenant, class) {
		s.running = max(0, s.running-1)
	}
}

func (l *Limiter) statesOf(now model.Instant, tenant model.Tenant, class Class) []*state {
	states := []*state{l.state(now, Key{tenant, AllClasses})}
	if class != AllClasses {
		states = append(states, l.state(now, Key{tenant, class}))
	}
	return states
}

func (l *Limiter) state(now model.Instant, key Key) *state {
	s := l.states[key]
	if s == nil {
		s = &state{}
		s.setLimits(now, l.limitsOf(key))
		l.states[key] = s
	}
	return s
}

func (l *Limiter) limitsOf(key Key) Limits {
	if limits, found := l.limits[key]; found || key.Class != AllClasses {
		return limits
	}
	return l.defaults
}

// setLimits applies new limits. If the rate is unchanged, the rate limiter keeps its tokens.
func (s *state) setLimits(now model.Instant, limits Limits) {
	burst := int(math.Max(1, math.Ceil(limits.Rate)))
	switch {
	case limits.Rate <= 0:
		s.limiter = nil
	case s.limiter == nil:
		s.limiter = rate.NewLimiter(rate.Limit(limits.Rate), burst)
	case limits.Rate != s.limits.Rate:
		s.limiter.SetLimitAt(toTime(now), rate.Limit(limits.Rate))
		s.limiter.SetBurstAt(toTime(now), burst)
	}
	s.limits = limits
}

// toTime converts an instant to a time for package rate, which uses only differences between times.
func toTime(now model.Instant) time.Time { return time.Unix(1, int64(now)) }
