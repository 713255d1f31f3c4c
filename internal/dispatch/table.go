package dispatch

import (
	"maps"
	"slices"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/route"
)

// SetTable publishes a routing table. It updates the at-most-once table for changed slots first, so that no request is
// admitted under a new lease with the horizon of an old one.
func (d *Dispatcher) SetTable(table *route.Table) {
	d.tableMu.Lock()
	defer d.tableMu.Unlock()
	if !d.exported {
		d.updateCoverage(table)
	}
	previous := d.current.Load()
	d.current.Store(&view{table: table, leavingSince: d.leaving(previous, table)})
	d.updateGates(previous.table, table)
}

func (d *Dispatcher) updateCoverage(table *route.Table) {
	held := map[model.Slot]bool{}
	for _, lease := range table.Leases {
		for slot, slotLease := range lease.Slots {
			held[slot] = true
			d.cover(slot, slotLease)
		}
	}
	for slot := range d.coverage {
		if !held[slot] {
			d.Dedup.Uncover(slot)
			delete(d.coverage, slot)
		}
	}
}

// cover updates the at-most-once table if the slot is new or its lease has changed.
func (d *Dispatcher) cover(slot model.Slot, lease route.SlotLease) {
	known, found := d.coverage[slot]
	if found && known.since == lease.Since && known.fence == lease.Fence {
		return
	}
	if !found || known.since != lease.Since {
		known.since = lease.Since
		known.wall = d.wallAt(lease.Since)
	}
	known.fence = lease.Fence
	d.coverage[slot] = known
	d.Dedup.Cover(slot, lease.Fence, known.wall, lease.Previous)
}

// leaving returns the targets that get no new work, each with the time at which a table first reported it as leaving.
func (d *Dispatcher) leaving(previous *view, table *route.Table) map[model.TargetID]model.Instant {
	now := d.Clock.Now()
	leaving := map[model.TargetID]model.Instant{}
	for id, t := range table.Targets {
		if t.InService && (t.Status == nil || !t.Status.Draining) {
			continue
		}
		since, known := previous.leavingSince[id]
		if !known {
			since = now
		}
		leaving[id] = since
	}
	return leaving
}

func (d *Dispatcher) updateGates(previous, table *route.Table) {
	for id, lease := range table.Leases {
		d.gates.of(id).setLimit(lease.Limit)
	}
	for id := range previous.Leases {
		if _, held := table.Leases[id]; !held {
			d.gates.of(id).rejectWaiters()
		}
	}
}

// slotsOf returns the slots of a lease in a fixed order.
func slotsOf(lease route.Lease) []model.Slot {
	slots := slices.Collect(maps.Keys(lease.Slots))
	slices.SortFunc(slots, func(a, b model.Slot) int {
		if a.String() < b.String() {
			return -1
		}
		return 1
	})
	return slots
}
