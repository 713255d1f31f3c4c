package proof

import (
	"fmt"
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/config"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/record"
	"github.com/tarragonpoint/tarragonpoint/internal/route"
)

// serviceChangeLimit is the time within which an entry VM applies a change that takes a target out of service or puts
// it back. After it, a target that is out of service gets no new work.
const serviceChangeLimit = 5 * time.Second

// becomeCold makes a target cold without prior notice.
func (t *fakeTarget) becomeCold() {
	t.cold = true
	t.coldSince = t.world.now
}

// restartAll restarts the processes of all entry VMs at once.
func (w *world) restartAll() {
	for _, name := range w.vmNames() {
		w.restartVM(w.vms[name])
	}
}

// toggleLeaving changes whether the VM list reports the VM of a target as leaving.
func (w *world) toggleLeaving(t *fakeTarget) {
	w.leaving[model.VMID(t.id)] = !w.leaving[model.VMID(t.id)]
	w.everLeaving[model.VMID(t.id)] = true
	w.publishVMs()
}

// publishConcurrentPatches publishes two changes with the same base, like two operators who act at the same time.
func (w *world) publishConcurrentPatches() (first, second model.Tenant) {
	if !w.log.up {
		return "", ""
	}
	from := w.currentConfig()
	names := [2]model.Tenant{}
	for i := range names {
		names[i] = model.Tenant(fmt.Sprintf("race-%d", len(w.log.history[record.ConfigStream])))
		to := from.Clone()
		to.Tenants[names[i]] = config.Tenant{Name: names[i]}
		patch, err := config.Diff(from, to, "operator")
		if err != nil {
			w.fatal("cannot diff the configuration: %v", err)
		}
		w.append(record.ConfigStream, record.Record{ID: w.newID(), ConfigPatch: &patch})
	}
	return names[0], names[1]
}

// acceptsNewWork reports whether an entry VM with the given routing table may send new work to a target.
func acceptsNewWork(table *route.Table, id model.TargetID) bool {
	t := table.Targets[id]
	return t != nil && t.InService && t.Status != nil && t.Status.Serving && !t.Status.Draining
}

// checkInService checks the routing table of a VM from serviceChangeLimit after the VM has folded a configuration. It
// requires that all targets that operators took out of service are out of service in the table, and all others in
// service. Targets that the VM list has ever reported as leaving may be out of service in any case.
func (o *oracle) checkInService(vm *entryVM) {
	if vm.paused || o.w.now-vm.configSince < serviceChangeLimit {
		return
	}
	state := vm.node.Config()
	for id, configured := range state.Targets {
		out := state.Zones[configured.Zone].OutOfService || configured.Drain
		in := vm.table.Targets[id] != nil && vm.table.Targets[id].InService
		leaving := o.w.everLeaving[model.VMID(id)]
		if out == in && (out || !leaving) {
			o.w.fatal("%s has target %s in service: %v, but operators took it out of service: %v", vm.name, id, in, out)
		}
	}
}
