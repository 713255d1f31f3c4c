package standin

import (
	"encoding/json"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

// RegistrationTopic is the topic in which the platform lists registrations.
const RegistrationTopic = "keyed.servers"

// Registration is what the platform lists of one VM.
type Registration struct {
	VM      model.VMID    `json:"-"`
	Service model.Service `json:"service"`
	Address string        `json:"address"`
	Zone    model.Zone    `json:"zone"`
	State   string        `json:"state"`
	Slots   int           `json:"max-concurrency"`
	// ColdLeft is a time in the platform's notation.
	ColdLeft        string `json:"warmup-left"`
	Seq             int    `json:"seq"`
	StartedAtMillis int64  `json:"born"`
}

// States of a registration.
const (
	StateReady    = "ready"
	StateDraining = "draining"
)

// Register lists a VM. Fields that are not set get usual values.
func (r Registration) Register() (StorePut, error) {
	if r.State == "" {
		r.State = StateReady
	}
	r.Slots = max(1, r.Slots)
	r.ColdLeft = "0ms"
	value, err := json.Marshal(r)
	return StorePut{Topic: RegistrationTopic, Records: []Record{{Key: string(r.VM), Value: value}}}, err
}

// Unregister takes a VM out of the list.
func Unregister(vm model.VMID) StorePut {
	return StorePut{Topic: RegistrationTopic, Records: []Record{{Key: string(vm)}}}
}
