package proof

import (
	"bytes"
	"fmt"
	"math/rand"
	"sort"
	"time"

	"github.com/google/uuid"

	"github.com/tarragonpoint/tarragonpoint/internal/config"
	"github.com/tarragonpoint/tarragonpoint/internal/control"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/platform"
	"github.com/tarragonpoint/tarragonpoint/internal/record"
	"github.com/tarragonpoint/tarragonpoint/internal/route"
)

const (
	tickEvery    = 25 * time.Millisecond
	logPollEvery = 100 * time.Millisecond
	vmPollEvery  = 500 * time.Millisecond
	callTimeout  = 400 * time.Millisecond
	slotsPerCell = 8
	testService  = model.Service("draft-review")
)

// entryVM is one entry VM with its control node. Its process may be paused, ended and started again.
type entryVM struct {
	name      string
	zone      model.Zone
	node      *control.Node
	startedAt time.Duration
	// rate is the rate of the VM's clock relative to virtual time.
	rate float64
	// alive is true while the process runs.
	alive  bool
	paused bool
	// backlog holds the events that arrived during a pause.
	backlog []control.Event
	// table is the routing table that the process published last, or nil.
	table *route.Table
	// left is true once the process has left its cells in a planned stop.
	left bool
	// generation counts the starts of the process. It lets callbacks for an ended process do nothing.
	generation int
	// terminated is true once the VM itself has been terminated. Its ID is never used again.
	terminated bool
	// configVersion is the configuration version in effect, since configSince.
	configVersion model.Offset
	configSince   time.Duration
	// assignOffset is the offset up to which the process has folded the assign stream.
	assignOffset model.Offset
	// listed holds the VMs that the process has seen in the VM list.
	listed map[model.VMID]bool
}

// fakeLog simulates the log service.
type fakeLog struct {
	streams map[record.Stream][]record.Entry
	// lastDropped holds, for each stream, the offset of the last record that was dropped, or 0.
	lastDropped map[record.Stream]model.Offset
	up          bool
	// loseResponses is the number of responses to appends that are still to be dropped.
	loseResponses int
	// history holds every accepted record, including those that have expired.
	history map[record.Stream][]record.Entry
	// acceptedAt holds the time at which each record of history was accepted.
	acceptedAt map[record.Stream][]time.Duration
}

// layout describes the size of a world and the fencing of its targets.
type layout struct {
	zones, vmsPerZone, targetsPerZone int
	// homeTenants adds, for each region, a tenant with this region as its only home region.
	homeTenants bool
	fencing     route.Fencing
}

type world struct {
	network
	log     fakeLog
	vms     map[string]*entryVM
	targets map[model.TargetID]*fakeTarget
	vmList  platform.VMListReply
	// listLag is the time after which a change appears in the VM list.
	listLag   time.Duration
	regions   map[model.Zone]model.Region
	fatal     func(format string, args ...any)
	settings  struct{ retention time.Duration }
	issuedIDs uint64
	// terminatedTargets counts the targets whose VMs have been terminated.
	terminatedTargets int
	// failovers counts the committed overrides.
	failovers int
	layout    layout
	// classes are the placement classes in use.
	classes []model.Class
	// leaving holds the VMs that the VM list reports as leaving.
	leaving map[model.VMID]bool
	// everLeaving holds the VMs that the VM list has reported as leaving at any time.
	everLeaving map[model.VMID]bool
	// recheckOwners is true if a target may have begun to serve a key since the last check of owners.
	recheckOwners bool
}

func newWorld(seed int64, zones, vmsPerZone, targetsPerZone int, fatal func(string, ...any)) *world {
	return newWorldWithLayout(seed, layout{zones: zones, vmsPerZone: vmsPerZone, targetsPerZone: targetsPerZone, fencing: route.FencingChecked}, fatal)
}

func newWorldWithLayout(seed int64, size layout, fatal func(string, ...any)) *world {
	s := &scheduler{random: rand.New(rand.NewSource(seed))}
	w := &world{
		network: network{scheduler: s, cut: map[[2]string]bool{}, extraDelay: map[string]time.Duration{}},
		vms:     map[string]*entryVM{},
		targets: map[model.TargetID]*fakeTarget{},
		regions: map[model.Zone]model.Region{},
		listLag: 2 * time.Second,
		fatal:   fatal,
		layout:  size,
		classes: []model.Class{model.AnyRegion},
		leaving: map[model.VMID]bool{}, everLeaving: map[model.VMID]bool{},
	}
	w.log = fakeLog{
		streams: map[record.Stream][]record.Entry{}, lastDropped: map[record.Stream]model.Offset{}, up: true,
		history: map[record.Stream][]record.Entry{}, acceptedAt: map[record.Stream][]time.Duration{},
	}
	w.settings.retention = time.Minute
	state := config.Empty()
	state.Services[testService] = config.Service{
		Name: testService, Keyed: true, Slots: slotsPerCell, Fencing: size.fencing,
		Concurrency: 4, ColdStart: time.Second, ColdInitial: 1, Timeout: 5 * time.Second,
	}
	for z := range size.zones {
		w.addZone(&state, z, size.vmsPerZone, size.targetsPerZone)
	}
	if size.homeTenants {
		w.addHomeTenants(&state)
	}
	patch, err := config.Diff(config.Empty(), state, "test")
	if err != nil {
		fatal("cannot diff the configuration: %v", err)
		return nil
	}
	w.append(record.ConfigStream, record.Record{ID: w.newID(), ConfigPatch: &patch})
	w.publishVMs()
	for _, name := range w.vmNames() {
		w.startVM(w.vms[name])
	}
	return w
}

func (w *world) addZone(state *config.State, z, vmsPerZone, targetsPerZone int) {
	zone := model.Zone(fmt.Sprintf("zone-%c", 'a'+z))
	region := model.Region(fmt.Sprintf("region-%d", z/2))
	state.Regions[region] = config.Region{Name: region}
	state.Zones[zone] = config.Zone{Name: zone, Region: region}
	w.regions[zone] = region
	for i := range vmsPerZone {
		name := fmt.Sprintf("entry-%c%d", 'a'+z, i)
		w.vms[name] = &entryVM{name: name, zone: zone, rate: 0.99 + 0.02*w.random.Float64()}
	}
	for i := range targetsPerZone {
		id := model.TargetID(fmt.Sprintf("target-%c%d", 'a'+z, i))
		address := fmt.Sprintf("127.0.0.1:%d", 20000+100*z+i)
		state.Targets[id] = config.Target{ID: id, Service: testService, Zone: zone, VM: model.VMID(id), Address: targetAddress(address)}
		t := &fakeTarget{world: w, id: id, zone: string(zone), unchecked: w.layout.fencing == route.FencingUnchecked, rate: 0.995 + 0.01*w.random.Float64()}
		t.start()
		w.targets[id] = t
	}
}

// addHomeTenants adds, for each region, a tenant with this home region and the placement class that results from it.
func (w *world) addHomeTenants(state *config.State) {
	names := make([]string, 0, len(state.Regions))
	for region := range state.Regions {
		names = append(names, string(region))
	}
	sort.Strings(names)
	for _, name := range names {
		tenant := model.Tenant("tenant-" + name)
		state.Tenants[tenant] = config.Tenant{Name: tenant, HomeRegions: []model.Region{model.Region(name)}}
		w.classes = append(w.classes, model.Class(name))
	}
}

// slotCount returns the total number of hash slots in all classes.
func (w *world) slotCount() int { return slotsPerCell * len(w.classes) }

func (w *world) newID() record.ID {
	w.issuedIDs++
	return record.ID(uuid.NewSHA1(uuid.Nil, fmt.Appendf(nil, "%d", w.issuedIDs)))
}

func (w *world) vmNames() []string {
	names := make([]string, 0, len(w.vms))
	for name := range w.vms {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

func (w *world) targetIDs() []model.TargetID {
	ids := make([]model.TargetID, 0, len(w.targets))
	for id := range w.targets {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}

// startVM starts a process with empty memory on an entry VM.
func (w *world) startVM(vm *entryVM) {
	vm.generation++
	vm.alive, vm.paused, vm.left = true, false, false
	vm.startedAt = w.now
	vm.backlog = nil
	vm.table = nil
	vm.configVersion, vm.configSince, vm.assignOffset = 0, w.now, 0
	vm.listed = map[model.VMID]bool{}
	vm.node = control.NewNode(control.Settings{
		VM: model.VMID(vm.name), Zone: vm.zone, Region: w.regions[vm.zone],
		Incarnation: model.Incarnation(w.now/time.Millisecond) + 1,
		Address:     vm.name + ":1",
		Seeds:       w.seeds(vm.name),
		Retention:   w.settings.retention,
		NewID:       w.newID,
	})
	w.schedule(vm, vm.generation, tickEvery, func() { w.step(vm, control.Tick{}) })
	w.schedule(vm, vm.generation, logPollEvery, func() { w.poll(vm) })
	w.schedule(vm, vm.generation, vmPollEvery, func() { w.pollVMs(vm) })
}

func (w *world) seeds(self string) map[model.VMID]string {
	seeds := map[model.VMID]string{}
	for name := range w.vms {
		if name != self {
			seeds[model.VMID(name)] = name + ":1"
		}
	}
	return seeds
}

// schedule runs work periodically until the process with the given generation ends. It skips work while the process is
// paused.
func (w *world) schedule(vm *entryVM, generation int, every time.Duration, work func()) {
	w.after(every, func() {
		if vm.generation != generation || !vm.alive {
			return
		}
		if !vm.paused {
			work()
		}
		w.schedule(vm, generation, every, work)
	})
}

func (w *world) step(vm *entryVM, e control.Event) {
	if !vm.alive {
		return
	}
	if vm.paused {
		vm.backlog = append(vm.backlog, e)
		return
	}
	instant := model.Instant(float64(w.now-vm.startedAt) * vm.rate)
	for _, effect := range vm.node.Step(instant, e) {
		w.execute(vm, effect)
	}
	if version := vm.node.Config().Version; version != vm.configVersion {
		vm.configVersion, vm.configSince = version, w.now
	}
	offset := vm.node.Assignments().Offset
	if offset < vm.assignOffset {
		w.fatal("at %v %s reverted from offset %d to %d", w.now, vm.name, vm.assignOffset, offset)
	}
	vm.assignOffset = offset
}

// resume ends a pause. The process then handles the events that were queued in the meantime, as in socket buffers.
func (w *world) resume(vm *entryVM) {
	if !vm.paused {
		return
	}
	vm.paused = false
	backlog := vm.backlog
	vm.backlog = nil
	for _, e := range backlog {
		w.step(vm, e)
	}
}

func (w *world) execute(vm *entryVM, effect control.Effect) {
	generation := vm.generation
	deliver := func(e control.Event) {
		if vm.generation == generation {
			w.step(vm, e)
		}
	}
	w.countFailovers(effect)
	switch e := effect.(type) {
	case control.Append:
		w.executeAppend(vm, e, deliver)
	case control.Send:
		w.executeSend(vm, e)
	case control.Renew:
		w.executeRenew(vm, e, deliver)
	case control.Revoke:
		w.executeRevoke(vm, e, deliver)
	case control.Publish:
		vm.table = e.Table
	case control.Left:
		vm.left = true
	}
}

func (w *world) executeAppend(vm *entryVM, e control.Append, deliver func(control.Event)) {
	done := false
	finish := func(ok bool) {
		if !done {
			done = true
			deliver(control.AppendDone{Stream: e.Stream, ID: e.Record.ID, OK: ok})
		}
	}
	w.after(time.Second, func() { finish(false) })
	w.send(vm.name, "log", func() {
		if !w.log.up {
			return
		}
		w.append(e.Stream, e.Record)
		if w.log.loseResponses > 0 {
			w.log.loseResponses--
			return
		}
		w.send("log", vm.name, func() { finish(true) })
	})
}

func (w *world) append(stream record.Stream, r record.Record) {
	offset := w.log.lastDropped[stream] + model.Offset(len(w.log.streams[stream])) + 1
	entry := record.Entry{Offset: offset, Record: r}
	w.log.streams[stream] = append(w.log.streams[stream], entry)
	w.log.history[stream] = append(w.log.history[stream], entry)
	w.log.acceptedAt[stream] = append(w.log.acceptedAt[stream], w.now)
}

func (w *world) executeSend(vm *entryVM, e control.Send) {
	other, ok := w.vms[string(e.To)]
	if !ok {
		return
	}
	w.send(vm.name, other.name, func() {
		w.step(other, control.PeerMessage{From: model.VMID(vm.name), Message: e.Message})
	})
}

func (w *world) executeRenew(vm *entryVM, e control.Renew, deliver func(control.Event)) {
	t := w.targets[e.Target]
	done := false
	w.after(callTimeout, func() {
		if !done {
			done = true
			deliver(control.RenewDone{Target: e.Target, Sequence: e.Sequence})
		}
	})
	w.send(vm.name, string(t.id), func() {
		t.receive(func() {
			response := t.renew(e.Request)
			w.send(string(t.id), vm.name, func() {
				if !done {
					done = true
					deliver(control.RenewDone{Target: e.Target, Sequence: e.Sequence, Response: &response})
				}
			})
		})
	})
}

func (w *world) executeRevoke(vm *entryVM, e control.Revoke, deliver func(control.Event)) {
	t := w.targets[e.Target]
	done := false
	w.after(callTimeout, func() {
		if !done {
			done = true
			deliver(control.RevokeDone{Target: e.Target, Sequence: e.Sequence})
		}
	})
	w.send(vm.name, string(t.id), func() {
		t.receive(func() {
			response := t.revoke(e.Request)
			w.send(string(t.id), vm.name, func() {
				if !done {
					done = true
					deliver(control.RevokeDone{Target: e.Target, Sequence: e.Sequence, Response: &response})
				}
			})
		})
	})
}

func (w *world) poll(vm *entryVM) {
	for _, stream := range []record.Stream{record.ConfigStream, record.AssignStream} {
		w.pollStream(vm, vm.generation, stream)
	}
}

func (w *world) pollStream(vm *entryVM, generation int, stream record.Stream) {
	responded := false
	w.after(time.Second, func() {
		if !responded && vm.generation == generation {
			w.step(vm, control.LogDown{Stream: stream})
		}
	})
	w.send(vm.name, "log", func() {
		if !w.log.up || vm.generation != generation {
			return
		}
		read := w.readLog(stream, vm.node.NextOffset(stream))
		w.send("log", vm.name, func() {
			responded = true
			if vm.generation == generation {
				w.step(vm, read)
			}
		})
	})
}

func (w *world) readLog(stream record.Stream, from model.Offset) control.LogRead {
	lastDropped := w.log.lastDropped[stream]
	entries := w.log.streams[stream]
	start := 0
	if from > lastDropped+1 {
		start = min(len(entries), int(from-lastDropped-1))
	}
	return control.LogRead{
		Stream:  stream,
		Entries: append([]record.Entry(nil), entries[start:]...),
		End:     lastDropped + model.Offset(len(entries)) + 1,
	}
}

// compactStream drops the records that the newest snapshot of a stream covers.
func (w *world) compactStream(stream record.Stream) {
	entries := w.log.streams[stream]
	for i := len(entries) - 1; i >= 0; i-- {
		snapshot := entries[i].Record.Snapshot
		if snapshot == nil || snapshot.Covers <= w.log.lastDropped[stream] {
			continue
		}
		drop := int(snapshot.Covers - w.log.lastDropped[stream])
		w.log.streams[stream] = append([]record.Entry(nil), entries[drop:]...)
		w.log.lastDropped[stream] = snapshot.Covers
		return
	}
}

// publishVMs updates the VM list to the present VMs after a delay of listLag. The first list takes effect at once.
func (w *world) publishVMs() {
	list := platform.VMListReply{Version: uint64(w.now) + 1}
	for _, name := range w.vmNames() {
		vm := w.vms[name]
		if !vm.terminated {
			list.VMs = append(list.VMs, platform.VM{ID: model.VMID(name), Zone: vm.zone, State: platform.VMLive, PeerAddress: name + ":1"})
		}
	}
	for _, id := range w.targetIDs() {
		if t := w.targets[id]; !t.terminated {
			listed := platform.VM{ID: model.VMID(id), Zone: model.Zone(t.zone), State: platform.VMLive}
			if w.leaving[listed.ID] {
				listed.State = platform.VMLeaving
			}
			list.VMs = append(list.VMs, listed)
		}
	}
	if w.now == 0 {
		w.vmList = list
		return
	}
	w.after(w.listLag, func() {
		if list.Version >= w.vmList.Version {
			w.vmList = list
		}
	})
}

func (w *world) pollVMs(vm *entryVM) {
	generation := vm.generation
	w.send(vm.name, "vms", func() {
		list := w.vmList
		w.send("vms", vm.name, func() {
			if vm.generation != generation {
				return
			}
			for _, listed := range list.VMs {
				vm.listed[listed.ID] = true
			}
			w.step(vm, control.VMListRead{List: list})
		})
	})
}

// currentOwners returns the owners of all slots according to a running VM that has read the whole assign stream, or nil
// if there is none.
func (w *world) currentOwners() map[model.Slot]model.TargetID {
	for _, name := range w.vmNames() {
		vm := w.vms[name]
		if vm.alive && vm.node.NextOffset(record.AssignStream) > w.log.lastDropped[record.AssignStream]+model.Offset(len(w.log.streams[record.AssignStream])) {
			owners := map[model.Slot]model.TargetID{}
			for slot, ownership := range vm.node.Assignments().Slots {
				owners[slot] = ownership.Owner
			}
			return owners
		}
	}
	return nil
}

// checkOwners fails if two targets would run a request for the same key now. Without a renewal, a revocation, a thaw or
// a start, targets can only stop serving, so the check is skipped.
func (w *world) checkOwners() {
	if !w.recheckOwners {
		return
	}
	w.recheckOwners = false
	for _, class := range w.classes {
		for index := range uint32(slotsPerCell) {
			parent := model.Slot{Service: testService, Class: class, Index: index}
			// Hash 1 stands for all keys of the slot except the hot one, which may have a slot of its own after a split.
			w.checkOwner(parent, 1)
			w.checkOwner(parent, hotHash(index))
		}
	}
}

func (w *world) checkOwner(parent model.Slot, hash uint64) {
	var serving []model.TargetID
	for id, t := range w.targets {
		if t.serves(parent, hash) {
			serving = append(serving, id)
			if !w.allowed(parent.Class, t) {
				w.fatal("at %v slot %v is served by %s outside its region", w.now, parent, id)
			}
		}
	}
	if len(serving) > 1 {
		w.fatal("at %v slot %v hash %d has owners %v\n%s", w.now, parent, hash, serving, w.describe())
	}
}

// allowed reports whether a class permits the region of a target. Every class of the world names one region or "any".
func (w *world) allowed(class model.Class, t *fakeTarget) bool {
	return class == model.AnyRegion || string(class) == string(w.regions[model.Zone(t.zone)])
}

// hotHash returns the hash of the key that reportHotKey reports as hot for the slot with an index.
func hotHash(index uint32) uint64 { return uint64(1000*slotsPerCell) + uint64(index) }

// servedSlots returns the number of slots with a target that serves them.
func (w *world) servedSlots() int {
	count := 0
	for _, class := range w.classes {
		for index := range uint32(slotsPerCell) {
			for _, t := range w.targets {
				if t.serves(model.Slot{Service: testService, Class: class, Index: index}, 1) {
					count++
				}
			}
		}
	}
	return count
}

// encodedAssignments returns the encoded assignments that a VM has folded, for comparison with those of other VMs.
func encodedAssignments(vm *entryVM) []byte {
	snapshot, err := vm.node.Assignments().Snapshot()
	if err != nil {
		return nil
	}
	return bytes.Clone(snapshot.State)
}
