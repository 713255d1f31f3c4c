package standin

import (
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/platform"
)

// VMListChange is the body of POST /control.
type VMListChange struct {
	// Set adds or replaces VMs.
	Set []platform.VM `json:"set"`
	// Leaving marks VMs as leaving; Gone removes them.
	Leaving []model.VMID `json:"leaving"`
	Gone    []model.VMID `json:"gone"`
	// LagMillis is how late later readers see changes; nil leaves it.
	LagMillis *int64 `json:"lag_ms"`
}

type listVersion struct {
	at    time.Time
	reply platform.VMListReply
}

// VMList is the platform's VM list, which shows changes only after a lag.
type VMList struct {
	mux      *http.ServeMux
	now      func() time.Time
	mutex    sync.Mutex
	lag      time.Duration
	vms      map[model.VMID]platform.VM
	versions []listVersion
}

// NewVMList returns an empty list. now replaces the clock in tests; nil means the real one.
func NewVMList(lag time.Duration, now func() time.Time) *VMList {
	if now == nil {
		now = time.Now
	}
	v := &VMList{mux: http.NewServeMux(), now: now, lag: lag, vms: map[model.VMID]platform.VM{}}
	v.versions = []listVersion{{reply: platform.VMListReply{VMs: []platform.VM{}}}}
	v.mux.HandleFunc("GET /v1/vms", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, v.Visible()) })
	v.mux.HandleFunc("POST /control", v.control)
	return v
}

// ServeHTTP implements http.Handler.
func (v *VMList) ServeHTTP(w http.ResponseWriter, r *http.Request) { v.mux.ServeHTTP(w, r) }

// Change applies a change. Readers see it after the lag.
func (v *VMList) Change(change VMListChange) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	if change.LagMillis != nil {
		v.lag = time.Duration(*change.LagMillis) * time.Millisecond
	}
	for _, vm := range change.Set {
		if vm.State == "" {
			vm.State = platform.VMLive
		}
		v.vms[vm.ID] = vm
	}
	for _, id := range change.Leaving {
		if vm, found := v.vms[id]; found {
			vm.State = platform.VMLeaving
			v.vms[id] = vm
		}
	}
	for _, id := range change.Gone {
		delete(v.vms, id)
	}
	v.record()
}

// record stores the current list as the next version. The mutex is held.
func (v *VMList) record() {
	reply := platform.VMListReply{
		Version: v.versions[len(v.versions)-1].reply.Version + 1,
		VMs:     make([]platform.VM, 0, len(v.vms)),
	}
	for _, vm := range v.vms {
		reply.VMs = append(reply.VMs, vm)
	}
	sort.Slice(reply.VMs, func(i, j int) bool { return reply.VMs[i].ID < reply.VMs[j].ID })
	v.versions = append(v.versions, listVersion{at: v.now(), reply: reply})
}

// Visible returns the list as readers see it now.
func (v *VMList) Visible() platform.VMListReply {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	limit := v.now().Add(-v.lag)
	for i := len(v.versions) - 1; i > 0; i-- {
		if !v.versions[i].at.After(limit) {
			return v.versions[i].reply
		}
	}
	return v.versions[0].reply
}

func (v *VMList) control(w http.ResponseWriter, r *http.Request) {
	var change VMListChange
	if readJSON(w, r, &change) {
		v.Change(change)
		writeJSON(w, http.StatusOK, struct{}{})
	}
}
