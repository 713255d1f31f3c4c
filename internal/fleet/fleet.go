// Package fleet holds the typed view of a deployment that the gateway decides on: configuration, targets and zones.
//
// The adapter of a platform decodes its own formats into these types. Nothing here does I/O.
package fleet

import (
	"sort"
	"strings"
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

// Kind says how often a request may run.
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
	// Timeout is the longest time a request is kept waiting; 0 means that only the caller's deadline binds.
	Timeout time.Duration
	// LatencyTarget is the time within which an answer has its full value; 0 if unknown.
	LatencyTarget time.Duration
	// Priority ranks routes; 0 is the most urgent.
	Priority int
	// MaxAttempts bounds the targets that one request may be sent to.
	MaxAttempts int
	// HomeRegions are the regions in which requests may be served; empty means any.
	HomeRegions []model.Region
	Backends    []Backend
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
	// Keyed services run a request only at the target that holds its key.
	Keyed bool
	// ColdFor is how long a target stays cold after its start.
	ColdFor time.Duration
	// ColdRate is the number of requests per second that a cold target bears, summed over all VMs.
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
	byHost   map[string][]*Route
	// leastUrgent holds the highest priority number of the routes of each service.
	leastUrgent map[model.Service]int
}

// NewConfig returns a configuration in which routes are found by host and longest prefix.
func NewConfig(version uint64, routes []Route, services map[model.Service]Service, limits Limits) *Config {
	config := &Config{Version: version, Services: services, Limits: limits, byHost: map[string][]*Route{}, leastUrgent: map[model.Service]int{}}
	for i := range routes {
		route := &routes[i]
		config.byHost[route.Host] = append(config.byHost[route.Host], route)
		for _, backend := range route.Backends {
			config.leastUrgent[backend.Service] = max(config.leastUrgent[backend.Service], route.Priority)
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

// LeastUrgent returns the priority of the least urgent routes of a service.
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
	Slots   int
	// Draining targets finish their work and take no more.
	Draining bool
	// StartedAtMillis tells successive lives of an ID apart, in Unix milliseconds of the target's clock.
	StartedAtMillis int64
	// ColdUntil is when the target has warmed up, on this process's monotonic clock.
	ColdUntil model.Instant
}

// Incarnation identifies one life of a target.
type Incarnation struct {
	_               struct{} `cbor:",toarray"`
	ID              model.TargetID
	StartedAtMillis int64
}

// Incarnation returns the identity of this life of the target.
func (t *Target) Incarnation() Incarnation {
	return Incarnation{ID: t.ID, StartedAtMillis: t.StartedAtMillis}
}
