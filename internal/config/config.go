// Package config holds the configuration that operators publish: the inventory from their asset register, and routing
// rules.
//
// A State is not modified once a Fold has returned it. Changes arrive as patches of whole entities; a patch is applied
// atomically.
package config

import (
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/route"
	"github.com/tarragonpoint/tarragonpoint/internal/target"
)

// Region is a group of zones.
type Region struct {
	Name model.Region `yaml:"name" cbor:"1,keyasint"`
}

// Zone is an availability zone.
type Zone struct {
	Name   model.Zone   `yaml:"name" cbor:"1,keyasint"`
	Region model.Region `yaml:"region" cbor:"2,keyasint"`
	// OutOfService is true while operators have the zone out of service; its targets get no new work.
	OutOfService bool `yaml:"out_of_service,omitempty" cbor:"3,keyasint,omitempty"`
}

// Service is a group of targets that run the same software.
type Service struct {
	Name model.Service `yaml:"name" cbor:"1,keyasint"`
	// Keyed is true if each key has one owner among the targets.
	Keyed bool `yaml:"keyed" cbor:"2,keyasint"`
	// Slots is the number of hash slots for each placement class. It cannot change once the service exists.
	Slots uint32 `yaml:"slots" cbor:"3,keyasint"`
	// Fencing states whether the targets check fences and terms.
	Fencing route.Fencing `yaml:"fencing" cbor:"4,keyasint"`
	// Concurrency is the maximum number of concurrent requests of one target.
	Concurrency int `yaml:"concurrency" cbor:"5,keyasint"`
	// ColdStart is the duration of the ramp-up after a target starts.
	ColdStart time.Duration `yaml:"cold_start" cbor:"6,keyasint"`
	// ColdInitial is the concurrency limit of a target that has just started.
	ColdInitial int `yaml:"cold_initial" cbor:"7,keyasint"`
	// Timeout is the maximum duration of a request, and its default deadline.
	Timeout time.Duration `yaml:"timeout" cbor:"8,keyasint"`
}

// Target is one server instance.
type Target struct {
	ID      model.TargetID `yaml:"id" cbor:"1,keyasint"`
	Service model.Service  `yaml:"service" cbor:"2,keyasint"`
	Zone    model.Zone     `yaml:"zone" cbor:"3,keyasint"`
	// VM is the ID of the target's VM in the VM list.
	VM      model.VMID     `yaml:"vm" cbor:"4,keyasint"`
	Address target.Address `yaml:"address" cbor:"5,keyasint"`
	// Keys are the keys that the asset register assigns to this target.
	Keys []DeclaredKey `yaml:"keys,omitempty" cbor:"6,keyasint,omitempty"`
	// Drain requests that the target gets no new work and that its slots move to other targets.
	Drain bool `yaml:"drain,omitempty" cbor:"7,keyasint,omitempty"`
}

// DeclaredKey is a key that the asset register assigns to a target.
type DeclaredKey struct {
	// Tenant determines the placement class of the key. It may be empty for keys of tenants without home regions.
	Tenant model.Tenant `yaml:"tenant,omitempty" cbor:"1,keyasint,omitempty"`
	Key    string       `yaml:"key" cbor:"2,keyasint"`
}

// Tenant is a client account.
type Tenant struct {
	Name model.Tenant `yaml:"name" cbor:"1,keyasint"`
	// HomeRegions are the only regions in which the tenant may be served; empty means any.
	HomeRegions []model.Region `yaml:"home_regions,omitempty" cbor:"2,keyasint,omitempty"`
	// Suspended makes entry VMs reject all requests of the tenant. Home regions may change only while it is set.
	Suspended bool `yaml:"suspended,omitempty" cbor:"3,keyasint,omitempty"`
	// RateLimit is the maximum rate at one entry VM, in requests per second; 0 means Rules.DefaultRateLimit.
	RateLimit float64 `yaml:"rate_limit,omitempty" cbor:"4,keyasint,omitempty"`
	// ConcurrencyLimit is the maximum number of concurrent requests at one entry VM; 0 means
	// Rules.DefaultConcurrencyLimit.
	ConcurrencyLimit int `yaml:"concurrency_limit,omitempty" cbor:"5,keyasint,omitempty"`
}

// Rules are the routing and limit settings that apply to the whole deployment.
type Rules struct {
	// DefaultRateLimit is the maximum rate of a tenant at one entry VM, in requests per second; 0 means no limit.
	DefaultRateLimit float64 `yaml:"default_rate_limit" cbor:"1,keyasint"`
	// DefaultConcurrencyLimit is the maximum number of concurrent requests of a tenant at one entry VM; 0 means no
	// limit.
	DefaultConcurrencyLimit int `yaml:"default_concurrency_limit" cbor:"2,keyasint"`
	// RetryPercent is the retry budget of a service, in percent of its requests.
	RetryPercent float64 `yaml:"retry_percent" cbor:"3,keyasint"`
	// HedgePercent is the hedging budget of a service, in percent of its requests.
	HedgePercent float64 `yaml:"hedge_percent" cbor:"4,keyasint"`
	// MaxEjectedPercent is the maximum share of a service's targets that outlier detection may eject at once.
	MaxEjectedPercent float64 `yaml:"max_ejected_percent" cbor:"5,keyasint"`
	// ImbalancePercent is how far the number of slots of a target may exceed the mean, in percent of the mean.
	ImbalancePercent float64 `yaml:"imbalance_percent" cbor:"6,keyasint"`
	// SpillBytesPerSecond is the budget of one entry VM for requests to other regions, in bytes per second.
	SpillBytesPerSecond int64 `yaml:"spill_bytes_per_second" cbor:"7,keyasint"`
	// Balance is the plug-in ID of the load-balancing policy.
	Balance string `yaml:"balance" cbor:"8,keyasint"`
	// HotKeyRate is the rate in requests per second from which a key gets its own slot; 0 disables hot-key slots.
	HotKeyRate float64 `yaml:"hot_key_rate" cbor:"9,keyasint"`
	// SlowTargetWeight assigns fewer slots to targets that their lessor reports as slow or failing. It causes more slot
	// moves.
	SlowTargetWeight bool `yaml:"slow_target_weight" cbor:"10,keyasint,omitempty"`
}

// DefaultRules returns the rules that apply until operators publish others.
func DefaultRules() Rules {
	return Rules{
		RetryPercent:        10,
		HedgePercent:        5,
		MaxEjectedPercent:   30,
		ImbalancePercent:    25,
		SpillBytesPerSecond: 256 << 10,
		Balance:             "balance.p2c",
		HotKeyRate:          50,
	}
}

// State is the configuration at one version.
type State struct {
	// Version is the offset of the patch that produced the state; 0 before the first.
	Version  model.Offset
	Author   string
	Regions  map[model.Region]Region
	Zones    map[model.Zone]Zone
	Services map[model.Service]Service
	Targets  map[model.TargetID]Target
	Tenants  map[model.Tenant]Tenant
	Rules    Rules
}

// Empty returns the configuration before the first patch.
func Empty() State {
	return State{
		Regions:  map[model.Region]Region{},
		Zones:    map[model.Zone]Zone{},
		Services: map[model.Service]Service{},
		Targets:  map[model.TargetID]Target{},
		Tenants:  map[model.Tenant]Tenant{},
		Rules:    DefaultRules(),
	}
}

// RegionOf returns the region of a zone, or "" if the zone is unknown.
func (s State) RegionOf(zone model.Zone) model.Region { return s.Zones[zone].Region }

// ClassOf returns the placement class of a tenant. Unknown tenants have the class AnyRegion.
func (s State) ClassOf(tenant model.Tenant) model.Class {
	return model.ClassOf(s.Tenants[tenant].HomeRegions)
}
