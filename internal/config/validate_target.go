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
		checked := state.Targets[model.TargetID(key.Name)]
		c.checkTarget(state, checked)
		if other, taken := addresses[checked.Address]; taken {
			c.add("address", "give each target its own address", "%s is already the address of target %q", checked.Address, other)
		}
		addresses[checked.Address] = checked.ID
		c.checkKeys(state, checked, declared)
	}
}

func (c *collector) checkTarget(state State, checked Target) {
	c.checkName("id", string(checked.ID))
	c.checkName("vm", string(checked.VM))
	if _, found := state.Services[checked.Service]; !found {
		c.add("service", "add the service or correct the name", "there is no service %q", checked.Service)
	}
	if _, found := state.Zones[checked.Zone]; !found {
		c.add("zone", "add the zone or correct the name", "there is no zone %q", checked.Zone)
	}
	if problem := CheckAddress(string(checked.Address)); problem != "" {
		c.add("address", `write it as "10.0.0.1:8080"`, "%q %s", checked.Address, problem)
	}
}

func (c *collector) checkKeys(state State, checked Target, declared map[placementKey]model.TargetID) {
	if len(checked.Keys) == 0 {
		return
	}
	if len(checked.Keys) > MaxKeysPerTarget {
		c.add("keys", "declare fewer keys", "%d keys are declared, at most %d are allowed", len(checked.Keys), MaxKeysPerTarget)
		return
	}
	if service, found := state.Services[checked.Service]; found && !service.Keyed {
		c.add("keys", "remove the keys or make the service keyed", "service %q is not keyed", checked.Service)
	}
	for _, key := range checked.Keys {
		c.checkKey(state, checked, key)
		placed := placementKey{service: checked.Service, class: state.ClassOf(key.Tenant), key: key.Key}
		if other, taken := declared[placed]; taken {
			c.add("keys", "declare it for one target only", "key %q is already declared for target %q", key.Key, other)
		}
		declared[placed] = checked.ID
	}
}

func (c *collector) checkKey(state State, checked Target, key DeclaredKey) {
	if len(key.Key) == 0 || len(key.Key) > MaxKeyBytes {
		c.add("keys", "choose a key in the range", "a key has %d bytes, it must have 1 to %d", len(key.Key), MaxKeyBytes)
	}
	if key.Tenant != "" {
		if _, found := state.Tenants[key.Tenant]; !found {
			c.add("keys", "add the tenant or correct the name", "key %q has the unknown tenant %q", key.Key, key.Tenant)
			return
		}
	}
	region := state.RegionOf(checked.Zone)
	if class := state.ClassOf(key.Tenant); !class.Allows(region) {
		c.add("keys", "declare it for a target in a home region of the tenant",
			"key %q of tenant %q may not be served in region %q", key.Key, key.Tenant, region)
	}
}
