package control

import (
	"sort"
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/cell"
	"github.com/tarragonpoint/tarragonpoint/internal/config"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/route"
)

// publishInterval is the minimum time between two routing tables.
const publishInterval = 25 * time.Millisecond

// refreshInterval is the time after which the table is rebuilt without a change, so that lease ends stay current.
const refreshInterval = 200 * time.Millisecond

// publish emits a new routing table if its contents have changed, or at the latest after refreshInterval.
func (n *Node) publish() {
	age := n.now.Sub(n.publishedAt)
	if n.table != nil && age < publishInterval {
		return
	}
	if !n.dirty && n.table != nil && age < refreshInterval {
		return
	}
	n.dirty = false
	n.watch.changed = false
	n.publishedAt = n.now
	n.table = n.buildTable()
	n.emit(Publish{Table: n.table})
}

func (n *Node) buildTable() *route.Table {
	state := n.config.State()
	table := &route.Table{
		VM:            n.settings.VM,
		Zone:          n.settings.Zone,
		Region:        n.settings.Region,
		ConfigVersion: state.Version,
		AssignOffset:  n.assign.Offset(),
		Ready:         n.ready && !n.leaving,
		Services:      make(map[model.Service]*route.Service, len(state.Services)),
		Tenants:       make(map[model.Tenant]*route.Tenant, len(state.Tenants)),
		Targets:       make(map[model.TargetID]*route.Target, len(state.Targets)),
		Leases:        map[model.TargetID]route.Lease{},
		PeerRegions:   n.peerRegions(state),
	}
	for name, service := range state.Services {
		table.Services[name] = &route.Service{
			Name:        name,
			Keyed:       service.Keyed,
			Slots:       service.Slots,
			Concurrency: service.Concurrency,
			Timeout:     service.Timeout,
		}
	}
	for name, tenant := range state.Tenants {
		table.Tenants[name] = &route.Tenant{
			Name:        name,
			HomeRegions: tenant.HomeRegions,
			Class:       model.ClassOf(tenant.HomeRegions),
			Suspended:   tenant.Suspended,
		}
	}
	n.addTargets(table, state)
	n.addOwners(table)
	n.addLeases(table)
	return table
}

func (n *Node) addTargets(table *route.Table, state config.State) {
	for _, id := range sortedKeys(state.Targets) {
		configured := state.Targets[id]
		service, known := table.Services[configured.Service]
		if !known {
			continue
		}
		entry := &route.Target{
			ID:        id,
			Service:   configured.Service,
			Zone:      configured.Zone,
			Region:    state.RegionOf(configured.Zone),
			Address:   configured.Address,
			Fencing:   state.Services[configured.Service].Fencing,
			Status:    n.currentStatus(id),
			InService: n.isInService(state, configured) && !configured.Drain,
		}
		table.Targets[id] = entry
		service.Targets = append(service.Targets, entry)
	}
}

// isInService reports whether a target may get new work according to operators and the platform.
func (n *Node) isInService(state config.State, configured config.Target) bool {
	zone, known := state.Zones[configured.Zone]
	return known && !zone.OutOfService && !n.watch.isLeaving(configured.VM)
}

// addOwners reuses the owners of the last table if neither the assignments, the overrides nor the set of targets can
// have changed. At 40 nodes, the owners take most of the time to build a table, and every change of a status rebuilds
// it.
func (n *Node) addOwners(table *route.Table) {
	last := n.table
	if last != nil && !n.ownersChanged && last.AssignOffset == table.AssignOffset && last.ConfigVersion == table.ConfigVersion {
		table.Owners = last.Owners
		return
	}
	n.ownersChanged = false
	table.Owners = make(map[model.Slot]route.Owner, len(n.assign.state.Slots))
	for slot, ownership := range n.assign.state.Slots {
		owner, known := table.Targets[n.ownerOf(slot)]
		if !known {
			continue
		}
		table.Owners[slot] = route.Owner{Slot: slot, Fence: model.Fence(ownership.Epoch), Target: owner}
	}
}

func (n *Node) addLeases(table *route.Table) {
	for id, state := range n.targets {
		holding, ok := state.keeper.Holding(n.now)
		if !ok || !state.acting || n.leaving {
			continue
		}
		slots := make(map[model.Slot]route.SlotLease, len(holding.Slots))
		for slot, held := range holding.Slots {
			if _, moving := state.moves[slot]; !moving {
				slots[slot] = route.SlotLease{Fence: held.Fence, Since: held.Since, Previous: held.Previous}
			}
		}
		table.Leases[id] = route.Lease{
			Term:        holding.Term,
			Incarnation: holding.Incarnation,
			ValidUntil:  holding.ValidUntil,
			LocalEnd:    holding.LocalEnd,
			Limit:       state.ramp.limit(n.now, n.service(state)),
			Slots:       slots,
			Successor:   n.successor(state),
		}
	}
}

// successor returns the member that becomes the lessor of a target when this VM leaves: the first other member by rank
// that is alive, or "" if there is none.
func (n *Node) successor(state *targetState) model.VMID {
	for _, vm := range cell.Rank(state.id, n.assign.state.Members(state.config.Zone)) {
		if vm != n.settings.VM && n.isAlive(vm) {
			return vm
		}
	}
	return ""
}

func (n *Node) peerRegions(state config.State) map[model.VMID]model.Region {
	regions := map[model.VMID]model.Region{n.settings.VM: n.settings.Region}
	for vm, p := range n.peers {
		regions[vm] = state.RegionOf(p.heartbeat.Zone)
	}
	for _, c := range n.assign.state.Cells {
		for vm, member := range c.Members {
			regions[vm] = state.RegionOf(member.Zone)
		}
	}
	return regions
}

// zonesWithTargets returns the zones that have targets, sorted.
func (n *Node) zonesWithTargets() []model.Zone {
	seen := map[model.Zone]bool{}
	for _, configured := range n.config.State().Targets {
		seen[configured.Zone] = true
	}
	zones := make([]model.Zone, 0, len(seen))
	for zone := range seen {
		zones = append(zones, zone)
	}
	sort.Slice(zones, func(i, j int) bool { return zones[i] < zones[j] })
	return zones
}
