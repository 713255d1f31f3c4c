package config

import (
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/record"
	"github.com/tarragonpoint/tarragonpoint/internal/target"
)

// placementKey identifies a key for placement. All tenants of a placement class share its keys.
type placementKey struct {
	service model.Service
	class   model.Class
	key     string
}

func (c *collector) checkTargets(state State) {
	addresses := map[target.Address]model.TargetID{}
	declared := map[placementKey]model.TargetID{}
	for _, key := range sortedKeys(state.entities()) {
		if key.Kind != record.KindTarget {
			continue
		}
		c.entity = key
		tgt := state.Targets[model.TargetID(key.Name)]
		c.checkTarget(state, tgt)
		if other, taken := addresses[tgt.Address]; taken {
			c.add("address", "give each target its own address", "%s is already the address of target %q", tgt.Address, other)
		}
		addresses[tgt.Address] = tgt.ID
		c.checkKeys(state, tgt, declared)
	}
}

func (c *collector) checkTarget(state State, tgt Target) {
	c.checkName("id", string(tgt.ID))
	c.checkName("vm", string(tgt.VM))
	if _, found := state.Services[tgt.Service]; !found {
		c.add("service", "add the service or correct the name", "there is no service %q", tgt.Service)
	}
	if _, found := state.Zones[tgt.Zone]; !found {
		c.add("zone", "add the zone or correct the name", "there is no zone %q", tgt.Zone)
	}
	if problem := CheckAddress(string(tgt.Address)); problem != "" {
		c.add("address", `write it as "10.0.0.1:8080"`, "%q %s", tgt.Address, problem)
	}
}

func (c *collector) checkKeys(state State, tgt Target, declared map[placementKey]model.TargetID) {
	if len(tgt.Keys) == 0 {
		return
	}
	if len(tgt.Keys) > MaxKeysPerTarget {
		c.add("keys", "declare fewer keys", "%d keys are declared, at most %d are allowed", len(tgt.Keys), MaxKeysPerTarget)
		return
	}
	if service, found := state.Services[tgt.Service]; found && !service.Keyed {
		c.add("keys", "remove the keys or make the service keyed", "service %q is not keyed", tgt.Service)
	}
	for _, key := range tgt.Keys {
		c.checkKey(state, tgt, key)
		placement := placementKey{service: tgt.Service, class: state.ClassOf(key.Tenant), key: key.Key}
		if other, taken := declared[placement]; taken {
			c.add("keys", "declare it for one target only", "key %q is already declared for target %q", key.Key, other)
		}
		declared[placement] = tgt.ID
	}
}

func (c *collector) checkKey(state State, tgt Target, key DeclaredKey) {
	if len(key.Key) == 0 || len(key.Key) > MaxKeyBytes {
		c.add("keys", "choose a key in the range", "a key has %d bytes, it must have 1 to %d", len(key.Key), MaxKeyBytes)
	}
	if key.Tenant != "" {
		if _, found := state.Tenants[key.Tenant]; !found {
			c.add("keys", "add the tenant or correct the name", "key %q has the unknown tenant %q", key.Key, key.Tenant)
			return
		}
	}
	region := state.RegionOf(tgt.Zone)
	if class := state.ClassOf(key.Tenant); !class.Allows(region) {
		c.add("keys", "declare it for a target in a home region of the tenant",
			"key %q of tenant %q may not be served in region %q", key.Key, key.Tenant, region)
	}
}
