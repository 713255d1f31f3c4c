package standin

import (
	"encoding/json"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

// RegistrationTopic is the topic that holds the platform's registrations.
const RegistrationTopic = "keyed.servers"

// Registration is the record of one registered VM.
type Registration struct {
	VM      model.VMID    `json:"-"`
	Service model.Service `json:"service"`
	Address string        `json:"address"`
	Zone    model.Zone    `json:"zone"`
	State   string        `json:"state"`
	// Slots is the number of requests that the VM runs at the same time.
	Slots int `json:"max-concurrency"`
	// ColdLeft is the remaining time of the cold start, a duration such as "1500ms"; Register sets it to "0ms".
	ColdLeft        string `json:"warmup-left"`
	Seq             int    `json:"seq"`
	StartedAtMillis int64  `json:"born"`
}

// States of a registration.
const (
	StateReady    = "ready"
	StateDraining = "draining"
)

// Register returns the put that registers the VM. An empty State becomes ready, and Slots becomes at least 1.
func (r Registration) Register() (StorePut, error) {
	if r.State == "" {
		r.State = StateReady
	}
	r.Slots = max(1, r.Slots)
	r.ColdLeft = "0ms"
	value, err := json.Marshal(r)
	return StorePut{Topic: RegistrationTopic, Records: []Record{{Key: string(r.VM), Value: value}}}, err
}

// Unregister returns the put that removes the registration of a VM.
func Unregister(vm model.VMID) StorePut {
	return StorePut{Topic: RegistrationTopic, Records: []Record{{Key: string(vm)}}}
}
