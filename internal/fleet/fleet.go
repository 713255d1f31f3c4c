// Package fleet defines the typed view of a deployment that the gateway bases its decisions on: configuration, targets
// and zones.
//
// The adapter of a platform decodes its own formats into these types. The package does no I/O.
package fleet

import (
	"sort"
	"strings"
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/tenant"
)

// Kind is the idempotency of requests.
type Kind uint8

// Kinds of requests.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota
	// NonIdempotent requests run at most once.
	NonIdempotent
)

// Route maps requests of a host and path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a request may take; 0 means that only the caller's deadline applies.
	Timeout time.Duration
	// LatencyTarget is the time within which a response has its full value; 0 if unknown.
	LatencyTarget time.Duration
	// Priority ranks routes; 0 is the most urgent.
	Priority int
	// MaxAttempts is the maximum number of attempts of one request, including the first. The gateway may send a request
	// more often if targets rejected it without running it.
	MaxAttempts int
	// HomeRegions are the regions in which requests may be served; empty means any.
	HomeRegions []model.Region
	// Public is true if requests need no API key although the configuration has tenants.
	Public   bool
	Backends []Backend
}

// AllowsRegion reports whether requests of the route may be served in a region.
func (r *Route) AllowsRegion(region model.Region) bool {
	if len(r.HomeRegions) == 0 {
		return true
	}
	for _, home := range r.HomeRegions {
		if home == region {
			return true
		}
	}
	return false
}

// Backend is a service that receives a share of a route's requests.
type Backend struct {
	Service model.Service
	Weight  float64
}

// Service describes a group of targets.
type Service struct {
	Name       model.Service
	HealthPath string
	// MaxConnections bounds the connections of one target, summed over all VMs.
	MaxConnections int
	// Keyed is true for a service in which only the target that holds a request's key may run the request.
	Keyed bool
	// ColdFor is how long a target stays cold after its start.
	ColdFor time.Duration
	// ColdRate is the number of requests per second that a cold target can handle, summed over all VMs.
	ColdRate float64
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the operators' configuration. It is immutable.
type Config struct {
	Version  uint64
	Services map[model.Service]Service
	Limits   Limits
	// Tenants are empty if requests need no API key.
	Tenants *tenant.Table
	byHost  map[string][]*Route
	// leastUrgent holds the highest priority number of the requests of each service.
	leastUrgent map[model.Service]int
}

// NewConfig returns a configuration that looks up routes by host and longest path prefix.
func NewConfig(
	version uint64, routes []Route, services map[model.Service]Service, limits Limits, tenants *tenant.Table,
) *Config {
	config := &Config{
		Version: version, Services: services, Limits: limits, Tenants: tenants,
		byHost: map[string][]*Route{}, leastUrgent: map[model.Service]int{},
	}
	for i := range routes {
		route := &routes[i]
		config.byHost[route.Host] = append(config.byHost[route.Host], route)
		for _, backend := range route.Backends {
			least := tenants.LeastUrgent(route.Priority, route.Public)
			config.leastUrgent[backend.Service] = max(config.leastUrgent[backend.Service], least)
		}
	}
	for _, list := range config.byHost {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].Prefix) > len(list[j].Prefix) })
	}
	return config
}

// Route returns the route of a host and path with the longest matching prefix, or nil.
func (c *Config) Route(host, path string) *Route {
	for _, route := range c.byHost[host] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// LeastUrgent returns the highest priority number that requests of a service can have by its routes and the tenants, which
// belongs to the least urgent ones.
func (c *Config) LeastUrgent(service model.Service) int { return c.leastUrgent[service] }

// Routes returns the number of routes.
func (c *Config) Routes() int {
	count := 0
	for _, list := range c.byHost {
		count += len(list)
	}
	return count
}

// Target is the registration of one server instance.
type Target struct {
	ID      model.TargetID
	Service model.Service
	Address string
	Zone    model.Zone
	Region  model.Region
	// Slots is the number of requests that the target can run at the same time.
	Slots int
	// Draining is true for a target that finishes its running requests and accepts no new ones.
	Draining bool
	// StartedAtMillis is when the target's process started, in Unix milliseconds of the target's clock. It distinguishes
	// successive incarnations of an ID.
	StartedAtMillis int64
	// Report numbers the reports of one incarnation in order; 0 if unknown.
	Report uint64
	// ColdUntil is when the target will be warm, on this process's monotonic clock; 0 if it reported no cold start.
	ColdUntil model.Instant
}

// Incarnation identifies one run of a target's process. An ID that is reused after a restart has a new incarnation.
type Incarnation struct {
	_               struct{} `cbor:",toarray"`
	ID              model.TargetID
	StartedAtMillis int64
}

// Incarnation returns the incarnation of the target.
func (t *Target) Incarnation() Incarnation {
	return Incarnation{ID: t.ID, StartedAtMillis: t.StartedAtMillis}
}
