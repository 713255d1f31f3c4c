package entry

import (
	"encoding/json"
	"net/http"
	"sort"

	"github.com/go-chi/chi/v5"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/result"
	"github.com/tarragonpoint/tarragonpoint/internal/route"
)

// StatusAnswer is the answer of GET /admin/status.
type StatusAnswer struct {
	VM            model.VMID     `json:"vm"`
	Zone          model.Zone     `json:"zone"`
	Region        model.Region   `json:"region"`
	Ready         bool           `json:"ready"`
	ConfigVersion model.Offset   `json:"config_version"`
	AssignOffset  model.Offset   `json:"assign_offset"`
	Targets       []TargetAnswer `json:"targets"`
}

// TargetAnswer describes one target.
type TargetAnswer struct {
	ID        model.TargetID `json:"id"`
	Service   model.Service  `json:"service"`
	Zone      model.Zone     `json:"zone"`
	InService bool           `json:"in_service"`
	Slots     int            `json:"slots"`
	// Status is null until the target's lessor reported one.
	Status *route.Status `json:"status"`
	// LeaseHeldHere is true if this VM is the target's lessor now.
	LeaseHeldHere bool `json:"lease_held_here"`
}

// OwnerAnswer is the answer of GET /admin/owner.
type OwnerAnswer struct {
	Service model.Service  `json:"service"`
	Slot    string         `json:"slot"`
	Owner   model.TargetID `json:"owner"`
	// Epoch is the offset of the record that made the target the owner. It is the fence.
	Epoch  model.Fence   `json:"epoch"`
	Zone   model.Zone    `json:"zone"`
	Status *route.Status `json:"status"`
	// Why says in a sentence how the owner follows from the key.
	Why string `json:"why"`
}

// adminHandler serves the operators' questions from the current routing table. The front mounts it at /admin.
func adminHandler(table func() *route.Table) http.Handler {
	router := chi.NewRouter()
	router.Get("/status", func(w http.ResponseWriter, _ *http.Request) {
		answerJSON(w, http.StatusOK, statusOf(table()))
	})
	router.Get("/owner", func(w http.ResponseWriter, r *http.Request) {
		query := r.URL.Query()
		answer, code := ownerOf(table(), model.Service(query.Get("service")), query.Get("key"), model.Tenant(query.Get("tenant")))
		if code != result.OK {
			info := result.Lookup(code)
			answerJSON(w, info.HTTPStatus, info)
			return
		}
		answerJSON(w, http.StatusOK, answer)
	})
	return router
}

func answerJSON(w http.ResponseWriter, status int, answer any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The caller went away if this fails.
	_ = json.NewEncoder(w).Encode(answer)
}

func statusOf(table *route.Table) StatusAnswer {
	answer := StatusAnswer{
		VM:            table.VM,
		Zone:          table.Zone,
		Region:        table.Region,
		Ready:         table.Ready,
		ConfigVersion: table.ConfigVersion,
		AssignOffset:  table.AssignOffset,
	}
	owned := map[model.TargetID]int{}
	for _, owner := range table.Owners {
		owned[owner.Target.ID]++
	}
	for id, known := range table.Targets {
		_, held := table.Leases[id]
		answer.Targets = append(answer.Targets, TargetAnswer{
			ID:            id,
			Service:       known.Service,
			Zone:          known.Zone,
			InService:     known.InService,
			Slots:         owned[id],
			Status:        known.Status,
			LeaseHeldHere: held,
		})
	}
	sort.Slice(answer.Targets, func(i, j int) bool { return answer.Targets[i].ID < answer.Targets[j].ID })
	return answer
}

func ownerOf(table *route.Table, name model.Service, key string, tenant model.Tenant) (OwnerAnswer, result.Code) {
	service, known := table.Services[name]
	if !known {
		return OwnerAnswer{}, result.UnknownService
	}
	class := model.AnyRegion
	if tenant != "" {
		account, registered := table.Tenants[tenant]
		if !registered {
			return OwnerAnswer{}, result.UnknownTenant
		}
		class = account.Class
	}
	if key == "" {
		return OwnerAnswer{}, result.KeyRequired
	}
	owner, owned := table.Resolve(service, class, model.KeyHash(name, class, key))
	if !owned {
		return OwnerAnswer{}, result.NoTarget
	}
	why := "The key's hash slot is assigned to the target."
	if owner.Slot.IsSplit() {
		why = "The key has a slot of its own, because it is declared or hot."
	}
	return OwnerAnswer{
		Service: name,
		Slot:    owner.Slot.String(),
		Owner:   owner.Target.ID,
		Epoch:   owner.Fence,
		Zone:    owner.Target.Zone,
		Status:  owner.Target.Status,
		Why:     why,
	}, result.OK
}
