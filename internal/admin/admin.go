// Package admin defines the JSON responses of an entry VM's admin endpoints. The entry role encodes them; the
// operators' commands decode them.
package admin

import (
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/result"
)

// Paths of the endpoints on the admin listener.
const (
	StatusPath = "/admin/status"
	OwnerPath  = "/admin/owner"
)

// Status is the response of GET /admin/status.
type Status struct {
	VM            model.VMID   `json:"vm"`
	Zone          model.Zone   `json:"zone"`
	Region        model.Region `json:"region"`
	Ready         bool         `json:"ready"`
	ConfigVersion model.Offset `json:"config_version"`
	AssignOffset  model.Offset `json:"assign_offset"`
	Targets       []Target     `json:"targets"`
}

// Target describes one target.
type Target struct {
	ID        model.TargetID `json:"id"`
	Service   model.Service  `json:"service"`
	Zone      model.Zone     `json:"zone"`
	InService bool           `json:"in_service"`
	// Slots is the number of slots that the target owns.
	Slots int `json:"slots"`
	// Status is null until the target's lessor has reported one.
	Status *TargetStatus `json:"status"`
	// LeaseHeldHere is true if this VM is the target's current lessor.
	LeaseHeldHere bool `json:"lease_held_here"`
}

// TargetStatus is the state of a target as its lessor last reported it.
type TargetStatus struct {
	Incarnation model.Incarnation `json:"incarnation"`
	Serving     bool              `json:"serving"`
	Cold        bool              `json:"cold"`
	Draining    bool              `json:"draining"`
	// Limit is the number of concurrent requests that the target can currently serve.
	Limit int `json:"limit"`
	// Load is the number of running and queued requests that the target last reported; it lags behind the current
	// number.
	Load   int        `json:"load"`
	Lessor model.VMID `json:"lessor"`
	// Term is the lessor's term, formatted as epoch.rank.
	Term string `json:"term"`
}

// State returns a short description of the target's state for operators.
func (t Target) State() string {
	switch {
	case !t.InService:
		return "out of service"
	case t.Status == nil:
		return "no status yet"
	case t.Status.Draining:
		return "draining"
	case !t.Status.Serving:
		return "no lease"
	case t.Status.Cold:
		return "cold"
	default:
		return "serving"
	}
}

// Owner is the response of GET /admin/owner.
type Owner struct {
	Service model.Service  `json:"service"`
	Slot    string         `json:"slot"`
	Owner   model.TargetID `json:"owner"`
	// Epoch is the offset of the record that made the target the owner. It serves as the fence.
	Epoch  model.Fence   `json:"epoch"`
	Zone   model.Zone    `json:"zone"`
	Status *TargetStatus `json:"status"`
	// Reason explains in a sentence why the key belongs to the owner.
	Reason string `json:"why"`
}

// ErrorResponse is the response to a query that fails, with the reason and the remedy.
type ErrorResponse struct {
	Code    result.Code `json:"code"`
	Name    string      `json:"name"`
	Meaning string      `json:"meaning"`
	Action  string      `json:"action"`
}

// NewErrorResponse returns the error response for a result code.
func NewErrorResponse(code result.Code) ErrorResponse {
	info := result.Lookup(code)
	return ErrorResponse{Code: info.Code, Name: info.Name, Meaning: info.Meaning, Action: info.Action}
}
