package config

import (
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/record"
)

// checkTransition returns the problems of a change between two states, each of which is validated separately.
func checkTransition(from, to State) Problems {
	c := &collector{}
	for name, before := range from.Services {
		c.entity = keyOf(record.KindService, name)
		c.checkServiceChange(to, before)
	}
	for name, before := range from.Tenants {
		c.entity = keyOf(record.KindTenant, name)
		c.checkTenantChange(to, before)
	}
	for name, before := range from.Zones {
		c.entity = keyOf(record.KindZone, name)
		if after, kept := to.Zones[name]; kept && after.Region != before.Region {
			c.add("region", "add a zone under a new name", "the region of an existing zone may not change from %q to %q", before.Region, after.Region)
		}
	}
	kept := placementKeys(to)
	for id, before := range from.Targets {
		c.entity = keyOf(record.KindTarget, id)
		c.checkTargetChange(from, to, before, kept)
	}
	return c.problems.sorted()
}

func (c *collector) checkServiceChange(to State, before Service) {
	after, kept := to.Services[before.Name]
	if !kept {
		return
	}
	if after.Slots != before.Slots {
		c.add("slots", "add a service under a new name", "the slots of an existing service may not change from %d to %d", before.Slots, after.Slots)
	}
	if after.Keyed != before.Keyed {
		c.add("keyed", "add a service under a new name", "an existing service may not change from keyed %t to %t", before.Keyed, after.Keyed)
	}
}

// checkTenantChange prevents a key from having owners in the old and the new placement class at the same time.
func (c *collector) checkTenantChange(to State, before Tenant) {
	after, kept := to.Tenants[before.Name]
	if !kept {
		if !before.Suspended {
			c.add("suspended", "publish suspended: true first, then remove the tenant", "a tenant may be removed only while it is suspended")
		}
		return
	}
	from, into := model.ClassOf(before.HomeRegions), model.ClassOf(after.HomeRegions)
	if from == into || (before.Suspended && after.Suspended) {
		return
	}
	c.add("home_regions", "publish suspended: true first, then the new regions, then resume the tenant",
		"home regions may change from %q to %q only while the tenant is suspended before and after", from, into)
}

// checkTargetChange rejects a change of the VM, zone or service of a target. The evidence that a target has
// terminated concerns its VM, and its zone determines its lessors.
func (c *collector) checkTargetChange(from, to State, before Target, kept map[placementKey]bool) {
	const hint = "add a target under a new ID and remove this one"
	after, found := to.Targets[before.ID]
	if !found {
		c.checkTargetRemoval(from, to, before, kept)
		return
	}
	if after.VM != before.VM {
		c.add("vm", hint, "the VM of an existing target may not change from %q to %q", before.VM, after.VM)
	}
	if after.Zone != before.Zone {
		c.add("zone", hint, "the zone of an existing target may not change from %q to %q", before.Zone, after.Zone)
	}
	if after.Service != before.Service {
		c.add("service", hint, "the service of an existing target may not change from %q to %q", before.Service, after.Service)
	}
}

func (c *collector) checkTargetRemoval(from, to State, before Target, kept map[placementKey]bool) {
	if _, found := to.Services[before.Service]; !found {
		return
	}
	for _, key := range before.Keys {
		placement := placementKey{service: before.Service, class: from.ClassOf(key.Tenant), key: key.Key}
		if !kept[placement] {
			c.add("keys", "declare the key for another target in the same change, or remove the declaration first",
				"key %q is declared for the target that is removed", key.Key)
		}
	}
}

func placementKeys(state State) map[placementKey]bool {
	placements := map[placementKey]bool{}
	for _, tgt := range state.Targets {
		for _, key := range tgt.Keys {
			placements[placementKey{service: tgt.Service, class: state.ClassOf(key.Tenant), key: key.Key}] = true
		}
	}
	return placements
}
