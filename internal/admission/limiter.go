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

// AllClasses holds the limits of a tenant over all its classes.
const AllClasses Class = ""

// Key names what a limit applies to.
type Key struct {
	Tenant model.Tenant
	Class  Class
}

// Limits are the limits at one entry VM; 0 means no limit.
type Limits struct {
	// Rate is in requests a second. A second's worth may come at once.
	Rate float64
	// Concurrency is the number of requests at a time, queued ones included.
	Concurrency int
}

// Decision says why a request was refused.
type Decision uint8

// Refusals. Admitted is the absence of one.
const (
	Admitted Decision = iota
	// RateExceeded means that the tenant or class sent too many requests a second.
	RateExceeded
	// ConcurrencyExceeded means that the tenant or class has too many requests at a time.
	ConcurrencyExceeded
	// QueueFull means that the service's queue is full.
	QueueFull
	// DeadlineTooShort means that the request would wait past its deadline.
	DeadlineTooShort
	// Displaced means that a queued request made room for a tenant with fewer queued requests.
	Displaced
)

var refusalNames = [...]string{"admitted", "rate exceeded", "concurrency exceeded", "queue full", "deadline too short",
	"displaced"}

// String returns the refusal as it appears in logs and metrics.
func (r Decision) String() string { return refusalNames[r] }

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

// NewLimiter returns a limiter without limits.
func NewLimiter() *Limiter { return &Limiter{limits: map[Key]Limits{}, states: map[Key]*state{}} }

// SetLimits replaces all limits. defaults apply to tenants without limits for AllClasses. Running requests stay counted.
func (l *Limiter) SetLimits(now model.Instant, defaults Limits, limits map[Key]Limits) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.defaults = defaults
	l.limits = make(map[Key]Limits, len(limits))
	for key, value := range limits {
		l.limits[key] = value
	}
	for key, s := range l.states {
		s.set(now, l.limitsOf(key))
	}
}

// EvictIdle drops the state of tenants that are idle, so that memory follows the tenants in use. It keeps a tenant whose
// rate limit is not fully refilled.
func (l *Limiter) EvictIdle(now model.Instant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key, s := range l.states {
		full := s.limiter == nil || s.limiter.TokensAt(clock(now)) >= float64(s.limiter.Burst())
		if s.running == 0 && full {
			delete(l.states, key)
		}
	}
}

// Admit counts a request or refuses it. Done must be called for each admitted request.
func (l *Limiter) Admit(now model.Instant, tenant model.Tenant, class Class) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	states := l.statesOf(now, tenant, class)
	for _, s := range states {
		if s.limits.Concurrency > 0 && s.running >= s.limits.Concurrency {
			return ConcurrencyExceeded
		}
		if s.limiter != nil && s.limiter.TokensAt(clock(now)) < 1 {
			return RateExceeded
		}
	}
	for _, s := range states {
		s.running++
		if s.limiter != nil {
			s.limiter.AllowN(clock(now), 1)
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
		s.set(now, l.limitsOf(key))
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

// set applies new limits. An unchanged rate keeps its tokens.
func (s *state) set(now model.Instant, limits Limits) {
	burst := int(math.Max(1, math.Ceil(limits.Rate)))
	switch {
	case limits.Rate <= 0:
		s.limiter = nil
	case s.limiter == nil:
		s.limiter = rate.NewLimiter(rate.Limit(limits.Rate), burst)
	case limits.Rate != s.limits.Rate:
		s.limiter.SetLimitAt(clock(now), rate.Limit(limits.Rate))
		s.limiter.SetBurstAt(clock(now), burst)
	}
	s.limits = limits
}

// clock converts an instant for package rate, which uses only differences of times.
func clock(now model.Instant) time.Time { return time.Unix(1, int64(now)) }
