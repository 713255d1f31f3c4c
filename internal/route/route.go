// Package route defines the immutable routing table that the control loop publishes and the request path reads.
package route

import (
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/target"
)

// Fencing states whether a target checks fences and terms.
type Fencing string

// Kinds of fencing.
const (
	FencingChecked   Fencing = "checked"
	FencingUnchecked Fencing = "unchecked"
)

// Status is the state of a target as its lessor last reported it.
type Status struct {
	Incarnation model.Incarnation `cbor:"1,keyasint"`
	// Sequence orders the statuses from one lessor; a status with a lower term or sequence than the known one is dropped.
	Sequence uint64     `cbor:"2,keyasint"`
	Term     model.Term `cbor:"3,keyasint"`
	// Serving is true while the lessor considers the lease valid.
	Serving bool `cbor:"4,keyasint"`
	Cold    bool `cbor:"5,keyasint,omitempty"`
	// Draining is true while the target is shutting down; it gets no new requests.
	Draining bool `cbor:"6,keyasint,omitempty"`
	// Limit is the number of concurrent requests that the target currently accepts.
	Limit int `cbor:"7,keyasint"`
	// Load is the load that the target last reported; it is delayed.
	Load int `cbor:"8,keyasint"`
	// Lessor is the entry VM that sent the status.
	Lessor model.VMID `cbor:"9,keyasint"`
	// Withheld is the percentage of its normal requests that the lessor does not send to the target because the target is
	// slow or fails requests; 0 is normal.
	Withheld int `cbor:"10,keyasint,omitempty"`
}

// Target is a target as the request path sees it.
type Target struct {
	ID      model.TargetID
	Service model.Service
	Zone    model.Zone
	Region  model.Region
	Address target.Address
	Fencing Fencing
	// Status is nil until the first status has arrived. A target without a status gets no requests.
	Status *Status
	// InService is false if operators took the zone out of service or the VM is shutting down.
	InService bool
}

// SlotLease is a slot that this VM's target holds under its lease.
type SlotLease struct {
	Fence model.Fence
	// Since is the time from which this VM has been the only sender for the slot without interruption.
	Since model.Instant
	// Previous is the term that the target held before this VM became the sender; zero if unknown. Only a handover from
	// the sender with that term moves the horizon of the at-most-once table back. Requests before the horizon may have
	// been run by an earlier sender.
	Previous model.Term
}

// Lease is the lessor's view of a target for which this VM is the lessor.
type Lease struct {
	Term        model.Term
	Incarnation model.Incarnation
	// ValidUntil is the end of the lease on the target's clock.
	ValidUntil model.Instant
	// LocalEnd is the time on this process's clock until which the lease is guaranteed to be valid.
	LocalEnd model.Instant
	// Limit is the number of concurrent requests that are currently allowed. During a cold start it is below the service's
	// concurrency.
	Limit int
	Slots map[model.Slot]SlotLease
	// Successor is the entry VM that becomes the lessor of the target when this one shuts down; empty if there is none.
	Successor model.VMID
}

// Service is a service as the request path sees it.
type Service struct {
	Name  model.Service
	Keyed bool
	// Slots is the number of hash slots for each placement class.
	Slots uint32
	// Concurrency is the number of requests that one warm target runs at a time.
	Concurrency int
	// Timeout is the longest time that a request may take; 0 selects the request path's default.
	Timeout time.Duration
	// Targets are all targets, in order of ID.
	Targets []*Target
}

// Tenant is a tenant as the request path sees it.
type Tenant struct {
	Name        model.Tenant
	HomeRegions []model.Region
	Class       model.Class
	Suspended   bool
}

// Owner is the owner of a slot.
type Owner struct {
	Slot   model.Slot
	Fence  model.Fence
	Target *Target
}

// Table is the routing table of one entry VM. It is immutable.
type Table struct {
	VM            model.VMID
	Zone          model.Zone
	Region        model.Region
	ConfigVersion model.Offset
	AssignOffset  model.Offset
	// Ready is true once the VM may serve requests: it has folded all records that any reachable peer has folded.
	Ready    bool
	Services map[model.Service]*Service
	Tenants  map[model.Tenant]*Tenant
	Targets  map[model.TargetID]*Target
	// Owners maps each assigned slot to its owner. Tables with the same assignments share the map, so the status of its
	// targets may be older than the table. Resolve and OwnerOf return the target from Targets instead.
	Owners map[model.Slot]Owner
	// Leases holds the targets for which this VM is the lessor now.
	Leases map[model.TargetID]Lease
	// PeerRegions maps the entry VMs to their regions.
	PeerRegions map[model.VMID]model.Region
}

// Resolve returns the owner of a key. found is false if the slot has no owner.
func (t *Table) Resolve(service *Service, class model.Class, keyHash uint64) (owner Owner, found bool) {
	slot := model.HashSlot(service.Name, class, keyHash, service.Slots)
	if owner, found = t.OwnerOf(slot.Split(keyHash)); found {
		return owner, true
	}
	return t.OwnerOf(slot)
}

// OwnerOf returns the owner of a slot with its current status. found is false if the slot has no owner.
func (t *Table) OwnerOf(slot model.Slot) (owner Owner, found bool) {
	if owner, found = t.Owners[slot]; !found {
		return Owner{}, false
	}
	if current, known := t.Targets[owner.Target.ID]; known {
		owner.Target = current
	}
	return owner, true
}
