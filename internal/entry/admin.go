package entry

import (
	"encoding/json"
	"net/http"
	"sort"

	"github.com/go-chi/chi/v5"

	"github.com/tarragonpoint/tarragonpoint/internal/admin"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/result"
	"github.com/tarragonpoint/tarragonpoint/internal/route"
)

// adminHandler serves the admin endpoints from the current routing table. The front mounts it at /admin.
func adminHandler(table func() *route.Table) http.Handler {
	router := chi.NewRouter()
	router.Get("/status", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, statusOf(table()))
	})
	router.Get("/owner", func(w http.ResponseWriter, r *http.Request) {
		query := r.URL.Query()
		owner, code := ownerOf(table(), model.Service(query.Get("service")), query.Get("key"),
			model.Tenant(query.Get("tenant")))
		if code != result.OK {
			writeJSON(w, result.Lookup(code).HTTPStatus, admin.NewErrorResponse(code))
			return
		}
		writeJSON(w, http.StatusOK, owner)
	})
	return router
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the caller has disconnected.
	_ = json.NewEncoder(w).Encode(body)
}

func statusOf(table *route.Table) admin.Status {
	status := admin.Status{
		Targets:       []admin.Target{},
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
	for id, target := range table.Targets {
		_, held := table.Leases[id]
		status.Targets = append(status.Targets, admin.Target{
			ID:            id,
			Service:       target.Service,
			Zone:          target.Zone,
			InService:     target.InService,
			Slots:         owned[id],
			Status:        targetStatus(target.Status),
			LeaseHeldHere: held,
		})
	}
	sort.Slice(status.Targets, func(i, j int) bool { return status.Targets[i].ID < status.Targets[j].ID })
	return status
}

func targetStatus(status *route.Status) *admin.TargetStatus {
	if status == nil {
		return nil
	}
	return &admin.TargetStatus{
		Incarnation: status.Incarnation,
		Serving:     status.Serving,
		Cold:        status.Cold,
		Draining:    status.Draining,
		Limit:       status.Limit,
		Load:        status.Load,
		Lessor:      status.Lessor,
		Term:        status.Term.String(),
	}
}

func ownerOf(table *route.Table, name model.Service, key string, tenant model.Tenant) (admin.Owner, result.Code) {
	service, found := table.Services[name]
	if !found {
		return admin.Owner{}, result.UnknownService
	}
	class := model.AnyRegion
	if tenant != "" {
		account, registered := table.Tenants[tenant]
		if !registered {
			return admin.Owner{}, result.UnknownTenant
		}
		class = account.Class
	}
	if key == "" {
		return admin.Owner{}, result.KeyRequired
	}
	owner, owned := table.Resolve(service, class, model.KeyHash(name, class, key))
	if !owned {
		return admin.Owner{}, result.NoTarget
	}
	reason := "The key's hash slot is assigned to the target."
	if owner.Slot.IsSplit() {
		reason = "The key has a slot of its own, because it is declared or hot."
	}
	return admin.Owner{
		Service: name,
		Slot:    owner.Slot.String(),
		Owner:   owner.Target.ID,
		Epoch:   owner.Fence,
		Zone:    owner.Target.Zone,
		Status:  targetStatus(owner.Target.Status),
		Reason:  reason,
	}, result.OK
}
