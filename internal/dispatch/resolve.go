package dispatch

import (
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/result"
	"github.com/tarragonpoint/tarragonpoint/internal/route"
)

// plan is the destination of one attempt.
type plan struct {
	service *route.Service
	class   model.Class
	target  *route.Target
	// slot is nil for an idempotent request of a service without keys.
	slot    *model.Slot
	keyHash uint64
	fence   model.Fence
	// lessor is the VM that must send the request; empty for a direct send.
	lessor model.VMID
}

// keyOf returns the key that determines the slot: the request ID for a non-idempotent request of a service without
// keys. It is empty if the request has none.
func keyOf(service *route.Service, key string, id *model.RequestID, idempotent bool) string {
	if service.Keyed {
		return key
	}
	if idempotent || id == nil {
		return ""
	}
	return id.String()
}

// resolve returns the plan of the next attempt, or the code of the rejection. Targets in tried are skipped for a
// request without a key.
func (d *Dispatcher) resolve(v *view, request *Request, tried map[model.TargetID]bool) (plan, result.Code) {
	service := v.table.Services[request.Service]
	tenant := v.table.Tenants[request.Tenant]
	if service == nil || tenant == nil {
		return plan{}, result.NotReady
	}
	p := plan{service: service, class: tenant.Class}
	key := keyOf(service, request.Key, request.RequestID, request.Idempotent)
	if key == "" {
		return d.resolveUnkeyed(v, p, tried)
	}
	if code := d.resolveOwner(v, &p, key); code != result.OK {
		return plan{}, code
	}
	if !request.Idempotent || p.target.Fencing != route.FencingChecked || d.isCold(p.target) {
		return d.withLessor(v, p)
	}
	return p, result.OK
}

// resolveOwner sets the target, slot and fence of the plan if the owner of the key is usable now.
func (d *Dispatcher) resolveOwner(v *view, p *plan, key string) result.Code {
	p.keyHash = model.KeyHash(p.service.Name, p.class, key)
	owner, found := v.table.Resolve(p.service, p.class, p.keyHash)
	if !found || owner.Target == nil || !d.usable(v, owner.Target) || !p.class.Allows(owner.Target.Region) {
		return result.OwnerUnavailable
	}
	p.target = owner.Target
	p.slot = &owner.Slot
	p.fence = owner.Fence
	return result.OK
}

// usable reports whether the owner of a key may get requests. A leaving target still serves its keys for leavingGrace,
// while they move.
func (d *Dispatcher) usable(v *view, t *route.Target) bool {
	if t.Status == nil || !t.Status.Serving {
		return false
	}
	since, leaving := v.leavingSince[t.ID]
	return !leaving || d.Clock.Now().Sub(since) < leavingGrace
}

func (d *Dispatcher) resolveUnkeyed(v *view, p plan, tried map[model.TargetID]bool) (plan, result.Code) {
	candidates := make([]*route.Target, 0, len(p.service.Targets))
	for _, t := range p.service.Targets {
		healthy := t.InService && t.Status != nil && t.Status.Serving && !t.Status.Draining
		if healthy && !tried[t.ID] && p.class.Allows(t.Region) {
			candidates = append(candidates, t)
		}
	}
	if len(candidates) == 0 {
		return plan{}, result.NoTarget
	}
	p.target = d.Chooser.Choose(v.table, p.service, candidates)
	if p.target == nil {
		return plan{}, result.NoTarget
	}
	if p.target.Fencing != route.FencingChecked || d.isCold(p.target) {
		return d.withLessor(v, p)
	}
	return p, result.OK
}

// withLessor returns the plan with the lessor of its target, or result.OwnerUnavailable if the lessor is unknown.
func (d *Dispatcher) withLessor(v *view, p plan) (plan, result.Code) {
	p.lessor = lessorOf(v.table, p.target)
	if p.lessor == "" {
		return plan{}, result.OwnerUnavailable
	}
	return p, result.OK
}

// lessorOf returns the lessor of a target; empty if it is unknown.
func lessorOf(table *route.Table, t *route.Target) model.VMID {
	if _, held := table.Leases[t.ID]; held {
		return table.VM
	}
	if t.Status == nil || t.Status.Lessor == table.VM {
		return ""
	}
	return t.Status.Lessor
}
