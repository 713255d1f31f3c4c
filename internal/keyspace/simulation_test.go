package keyspace

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"strings"
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/fleet"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

// simulation runs several managers against a store and targets in virtual time. Targets follow the platform's protocol:
// they reject a grant whose fence is lower than one they have seen for any of its keys, and the validity of a grant
// starts when it arrives.
type simulation struct {
	random *rand.Rand
	// storeRandom draws the delays of a slow store and of relayed records.
	storeRandom *rand.Rand
	settings    Settings
	now         model.Instant
	queue       []delivery
	seq         int

	log             []*Table
	targets         []*fakeTarget
	vms             []*fakeVM
	lastIncarnation int64
	// storeDown, storeCut, storeSlow, relayCut, pathCut and slow are the active faults.
	storeDown bool
	storeCut  map[int]bool
	storeSlow bool
	relayCut  map[int]bool
	pathCut   map[[2]int]bool
	slow      bool
	// linkDelay is how long messages to the targets of each region wait for a saturated link. They are delivered in order.
	linkDelay [simulatedRegions]time.Duration
	// linkBusyUntil is when the last message to each region is delivered.
	linkBusyUntil [simulatedRegions]model.Instant
	// falseResponses is true while targets send earlier responses once more and alter responses.
	falseResponses bool
	// unconfigured is true while the configuration lacks the service.
	unconfigured bool
	keys         []int
	violation    string
	// connections counts the opened connections; a connection's ID is its number.
	connections uint64
	grants      int
	// unreleased holds the previous holders that had not released the keys of a grant.
	unreleased []UnreleasedHolder
}

type delivery struct {
	at  model.Instant
	seq int
	run func()
}

type hold struct {
	fence uint64
	until model.Instant
}

// fakeTarget is one target address. Its process may end and restart under the same ID, or another ID may take over the
// address.
type fakeTarget struct {
	address     string
	id          model.TargetID
	incarnation int64
	up          bool
	registered  bool
	// unusable is true for a target that is registered and may not be assigned keys, such as one that is about to stop.
	unusable   bool
	seenFences map[int]uint64
	holds      map[int]hold
	// formerFences holds the fences under which the previous incarnation of the same ID held keys.
	formerFences map[int]uint64
}

type fakeConnection struct {
	id          uint64
	incarnation int64
	// responses holds the outcomes of the grants that were sent over the connection.
	responses []Outcome
}

type fakeVM struct {
	manager *Manager
	name    string
	up      bool
	paused  bool
	// leaving is true for a VM that has resigned and whose process ends soon.
	leaving bool
	// connected holds the VM's open connections by the index of their target.
	connected   map[int]fakeConnection
	incarnation int
	// lastRead is the offset of the newest record that the VM has read, written or been sent by the leader; -1 if none.
	lastRead int
	// reading is true while a read of the store is under way.
	reading bool
}

const (
	simulatedService model.Service = "review"
	// simulatedRegions is the number of regions, to which the targets belong in turn.
	simulatedRegions = 2
)

func regionOf(target int) model.Region {
	return model.Region(fmt.Sprintf("region-%d", target%simulatedRegions))
}

func newSimulation(seed uint64, vms, targets int) *simulation {
	sim := &simulation{
		random: rand.New(rand.NewPCG(seed, 1)), storeRandom: rand.New(rand.NewPCG(seed, 2)),
		settings: DefaultSettings(), now: model.Instant(time.Hour),
		storeCut: map[int]bool{}, relayCut: map[int]bool{}, pathCut: map[[2]int]bool{},
	}
	for i := 0; i < 24; i++ {
		sim.keys = append(sim.keys, sim.random.IntN(Keys))
	}
	for i := 0; i < targets; i++ {
		target := &fakeTarget{address: fmt.Sprintf("10.0.0.%d:80", i)}
		sim.targets = append(sim.targets, target)
		sim.startTarget(target, true)
	}
	for i := 0; i < vms; i++ {
		sim.vms = append(sim.vms, &fakeVM{})
		sim.startVM(i)
	}
	return sim
}

func (sim *simulation) startTarget(target *fakeTarget, newID bool) {
	sim.lastIncarnation++
	target.incarnation = sim.lastIncarnation
	target.formerFences = map[int]uint64{}
	for key, held := range target.holds {
		target.formerFences[key] = held.fence
	}
	if newID || target.id == "" {
		target.formerFences = nil
		target.id = model.TargetID(fmt.Sprintf("t-%d", sim.lastIncarnation))
	}
	target.up, target.registered, target.unusable = true, true, false
	target.seenFences, target.holds = map[int]uint64{}, map[int]hold{}
}

// restartTarget ends a target's process and starts a new one at its address after restartTime and a random delay. With
// newID, the new process has another ID.
func (sim *simulation) restartTarget(target *fakeTarget, newID bool) {
	target.up = false
	incarnation := target.incarnation
	sim.after(restartTime+time.Duration(sim.random.IntN(2000))*time.Millisecond, func() {
		if target.incarnation == incarnation {
			sim.startTarget(target, newID)
		}
	})
}

// restartTime is the shortest time in which a target's process restarts.
const restartTime = 3 * time.Second

func (sim *simulation) startVM(i int) {
	vm := sim.vms[i]
	vm.incarnation++
	vm.name = fmt.Sprintf("vm-%d/%d", i, vm.incarnation)
	vm.manager = New(sim.settings, vm.name, vm.name, sim.random.Uint64)
	vm.connected = map[int]fakeConnection{}
	vm.up, vm.paused, vm.leaving, vm.lastRead, vm.reading = true, false, false, -1, false
}

func (sim *simulation) after(delay time.Duration, run func()) {
	sim.seq++
	sim.queue = append(sim.queue, delivery{at: sim.now.Add(delay), seq: sim.seq, run: run})
}

// run advances the virtual time in steps of 20 ms.
func (sim *simulation) run(duration time.Duration) {
	const step = 20 * time.Millisecond
	for end := sim.now.Add(duration); sim.now < end && sim.violation == ""; sim.now = sim.now.Add(step) {
		sim.deliver()
		for i, vm := range sim.vms {
			if vm.up && !vm.paused {
				sim.stepVM(i, vm)
			}
		}
		sim.check()
	}
}

func (sim *simulation) deliver() {
	sort.Slice(sim.queue, func(i, j int) bool {
		if sim.queue[i].at != sim.queue[j].at {
			return sim.queue[i].at < sim.queue[j].at
		}
		return sim.queue[i].seq < sim.queue[j].seq
	})
	for len(sim.queue) > 0 && sim.queue[0].at <= sim.now {
		next := sim.queue[0]
		sim.queue = sim.queue[1:]
		next.run()
	}
}

func (sim *simulation) reachesStore(i int) bool { return !sim.storeDown && !sim.storeCut[i] }

// elected returns the index of the VM that the store elects: the first that can reach it, or -1. A leader that is
// stopping stays elected until it has resigned.
func (sim *simulation) elected() int {
	for i, vm := range sim.vms {
		stopped := vm.leaving && vm.manager.Resigned()
		if vm.up && !vm.paused && !stopped && sim.reachesStore(i) {
			return i
		}
	}
	return -1
}

func (sim *simulation) stepVM(i int, vm *fakeVM) {
	vm.manager.SetElected(sim.elected() == i)
	if sim.reachesStore(i) {
		vm.manager.SetView(sim.view())
		sim.startRead(i, vm)
	}
	for _, command := range vm.manager.Step(sim.now) {
		sim.execute(i, vm, command)
	}
}

// storeDelay returns how long a message to or from the store takes.
func (sim *simulation) storeDelay() time.Duration {
	switch {
	case !sim.storeSlow:
		return 0
	case sim.storeRandom.IntN(2) == 0:
		return time.Duration(sim.storeRandom.IntN(1500)) * time.Millisecond
	}
	return time.Duration(1+sim.storeRandom.IntN(15)) * time.Millisecond
}

const (
	// storeCallTimeout is how long a VM waits for the response to a write.
	storeCallTimeout = time.Second
	// storeReadTimeout is the same for a read.
	storeReadTimeout = 2500 * time.Millisecond
)

// startRead reads the newest record unless a read is under way.
func (sim *simulation) startRead(i int, vm *fakeVM) {
	if vm.reading {
		return
	}
	vm.reading = true
	started, lastRead := sim.now, vm.lastRead
	ended := sim.replyTo(vm)
	request, response := sim.storeDelay(), sim.storeDelay()
	if request+response == 0 {
		sim.finishRead(i, vm, started, lastRead, len(sim.log)-1)
		return
	}
	if request+response >= storeReadTimeout {
		sim.after(storeReadTimeout, ended(func() { vm.reading = false }))
		return
	}
	sim.after(request, func() {
		if !sim.reachesStore(i) {
			sim.after(storeReadTimeout-request, ended(func() { vm.reading = false }))
			return
		}
		newest := len(sim.log) - 1
		sim.after(response, ended(func() { sim.finishRead(i, vm, started, lastRead, newest) }))
	})
}

// finishRead applies the result of a read. The VM ignores it if it has got newer records in the meantime.
func (sim *simulation) finishRead(i int, vm *fakeVM, started model.Instant, lastRead, newest int) {
	vm.reading = false
	if vm.lastRead != lastRead {
		return
	}
	if newest > lastRead {
		vm.lastRead = newest
		sim.applyRecord(i, vm, newest)
	}
	vm.manager.TableRead(started, nil, uint64(newest+1))
}

// applyRecord passes a record to a VM, which relays it to the other VMs if it is the leader.
func (sim *simulation) applyRecord(i int, vm *fakeVM, offset int) {
	vm.manager.TableReceived(sim.now, sim.log[offset].Clone())
	if !vm.manager.IsLeader(sim.now) || sim.relayCut[i] {
		return
	}
	for j, other := range sim.vms {
		if j == i || sim.relayCut[j] {
			continue
		}
		delay := time.Duration(1+sim.storeRandom.IntN(60)) * time.Millisecond
		if sim.storeRandom.IntN(10) == 0 {
			delay = time.Duration(sim.storeRandom.IntN(3000)) * time.Millisecond
		}
		sim.after(delay, sim.replyTo(other)(func() {
			if other.lastRead == offset-1 {
				other.lastRead = offset
				other.manager.TableReceived(sim.now, sim.log[offset].Clone())
			}
		}))
	}
}

func (sim *simulation) view() View {
	if sim.unconfigured {
		return View{}
	}
	view := View{Services: []model.Service{simulatedService}}
	for j, target := range sim.targets {
		if target.registered {
			view.Candidates = append(view.Candidates, Candidate{
				Holder: Holder{
					Incarnation: fleet.Incarnation{ID: target.id, StartedAtMillis: target.incarnation}, Address: target.address,
				},
				Service: simulatedService, Usable: !target.unusable, Weight: 1, Region: regionOf(j),
			})
		}
	}
	return view
}

func (sim *simulation) execute(i int, vm *fakeVM, command Command) {
	reply := sim.replyTo(vm)
	sim.unreleased = append(sim.unreleased, command.Unreleased...)
	if command.Kind == AppendTable {
		sim.append(i, vm, command, reply)
		return
	}
	sim.sendCommand(i, vm, command, reply)
}

// replyTo returns a function that makes a response to a VM's current process of an event. A paused process gets its responses
// when it continues, in any order.
func (sim *simulation) replyTo(vm *fakeVM) func(run func()) func() {
	incarnation := vm.incarnation
	var deliver func(run func())
	deliver = func(run func()) {
		switch {
		case !vm.up || vm.incarnation != incarnation:
		case vm.paused:
			sim.after(time.Duration(20+sim.storeRandom.IntN(40))*time.Millisecond, func() { deliver(run) })
		default:
			run()
		}
	}
	return func(run func()) func() { return func() { deliver(run) } }
}

// append writes a record if its condition holds. The response may be lost, and the write may take effect late.
func (sim *simulation) append(i int, vm *fakeVM, command Command, reply func(func()) func()) {
	unknown := reply(func() { vm.manager.AppendFailed(sim.now, AppendUnanswered) })
	if !sim.reachesStore(i) {
		sim.after(storeCallTimeout, unknown)
		return
	}
	written, started := command.Append.Clone(), sim.now
	commit := func() bool {
		if uint64(len(sim.log)) != command.AsOf {
			return false
		}
		sim.log = append(sim.log, written)
		return true
	}
	respond := func(delay time.Duration, committed bool) {
		if committed {
			sim.after(delay, reply(func() { sim.appended(i, vm, started, written) }))
			return
		}
		sim.after(delay, reply(func() { vm.manager.AppendFailed(sim.now, AppendConflict) }))
	}
	request, response := sim.storeDelay(), sim.storeDelay()
	switch lost := sim.random.IntN(12); {
	case lost == 0:
		sim.after(time.Duration(sim.random.IntN(3000))*time.Millisecond+5*request, func() { commit() })
		sim.after(storeCallTimeout, unknown)
	case request+response == 0 && lost == 1:
		commit()
		sim.after(storeCallTimeout, unknown)
	case request+response == 0:
		respond(20*time.Millisecond, commit())
	case lost == 1 || request+response >= storeCallTimeout:
		sim.after(request, func() { commit() })
		sim.after(storeCallTimeout, unknown)
	default:
		sim.after(request, func() { respond(response, commit()) })
	}
}

// appended applies a record that the VM wrote.
func (sim *simulation) appended(i int, vm *fakeVM, started model.Instant, written *Table) {
	vm.manager.Appended(started, sim.now, written.Clone())
	if offset := int(written.Offset); vm.lastRead == offset-1 {
		vm.lastRead = offset
		sim.applyRecord(i, vm, offset)
	}
}

func (sim *simulation) sendCommand(i int, vm *fakeVM, command Command, reply func(func()) func()) {
	connection := uint64(0)
	ended := func(outcome Outcome) func() {
		return reply(func() {
			if command.Kind == GrantKeys {
				vm.manager.GrantEnded(sim.now, command, outcome, connection)
			} else {
				vm.manager.ReleaseEnded(sim.now, command, outcome, "")
			}
		})
	}
	j := sim.targetAt(command.Target.Address)
	if sim.pathCut[[2]int{i, j}] {
		sim.after(sim.settings.CommandTimeout, ended(Unresponsive))
		return
	}
	incarnation := sim.targets[j].incarnation
	// A connection ends with the target incarnation that it was opened to, and at random.
	if connected := vm.connected[j]; connected.incarnation != incarnation || sim.random.IntN(30) == 0 {
		sim.connections++
		vm.connected[j] = fakeConnection{id: sim.connections, incarnation: incarnation}
	}
	connection = vm.connected[j].id
	if command.ConnectionID != 0 && command.ConnectionID != connection {
		sim.after(time.Millisecond, ended(Disconnected))
		return
	}
	delay := time.Duration(1+sim.random.IntN(60)) * time.Millisecond
	if link := &sim.linkBusyUntil[j%simulatedRegions]; sim.linkDelay[j%simulatedRegions] > 0 || *link > sim.now {
		// The caller resets the connection when it gives up, but the network delivers what it has sent.
		*link = max(*link, sim.now.Add(sim.linkDelay[j%simulatedRegions]))
		delay = max(delay, link.Sub(sim.now))
	}
	if delay >= sim.settings.CommandTimeout {
		sim.after(delay, func() { sim.applyCommand(j, incarnation, command, sim.now) })
		sim.after(sim.settings.CommandTimeout, ended(Unresponsive))
		return
	}
	if sim.slow && sim.random.IntN(3) == 0 {
		// The target executes the command after the caller has timed out. The grant still counts from its arrival.
		arrived := sim.now
		sim.after(time.Duration(500+sim.random.IntN(6000))*time.Millisecond, func() {
			sim.applyCommand(j, incarnation, command, arrived)
		})
		sim.after(sim.settings.CommandTimeout, ended(Unresponsive))
		return
	}
	sim.after(delay, func() {
		outcome := sim.applyCommand(j, incarnation, command, sim.now)
		if sim.random.IntN(40) == 0 {
			sim.after(sim.settings.CommandTimeout, ended(Unresponsive))
			return
		}
		sim.after(delay, ended(sim.receivedOutcome(vm, j, connection, command, outcome)))
	})
}

// receivedOutcome returns the outcome that a VM takes from the response to a grant. A false response is a copy of an earlier
// one on the same connection, or has another status. Only a first response can show that the target was replaced.
func (sim *simulation) receivedOutcome(vm *fakeVM, j int, connection uint64, command Command, outcome Outcome) Outcome {
	connected := vm.connected[j]
	if command.Kind != GrantKeys || connected.id != connection {
		return outcome
	}
	earlier := connected.responses
	connected.responses = append(earlier, outcome)
	vm.connected[j] = connected
	if !sim.falseResponses || sim.storeRandom.IntN(4) != 0 {
		return outcome
	}
	// A connection on which a false response was detected is not used again.
	vm.connected[j] = fakeConnection{}
	if len(earlier) == 0 || sim.storeRandom.IntN(4) == 0 {
		return Rejected
	}
	if repeated := earlier[sim.storeRandom.IntN(len(earlier))]; repeated != Replaced {
		return repeated
	}
	return Unresponsive
}

func (sim *simulation) targetAt(address string) int {
	for j, target := range sim.targets {
		if target.address == address {
			return j
		}
	}
	return -1
}

func (sim *simulation) applyCommand(j int, incarnation int64, command Command, arrived model.Instant) Outcome {
	target := sim.targets[j]
	if target.up && target.incarnation != incarnation {
		// The connection ended with the incarnation that it was opened to.
		return Unresponsive
	}
	if !target.up {
		return ConnectionRefused
	}
	if target.id != command.Target.Incarnation.ID {
		return Replaced
	}
	for _, key := range sim.keys {
		if key >= command.From && key <= command.To && target.seenFences[key] > command.Fence && command.Kind == GrantKeys {
			return Fenced
		}
	}
	for _, key := range sim.keys {
		if key >= command.From && key <= command.To {
			sim.applyToKey(j, key, command, arrived)
		}
	}
	return Done
}

// applyToKey applies a command to one key of a target.
func (sim *simulation) applyToKey(j, key int, command Command, arrived model.Instant) {
	target := sim.targets[j]
	target.seenFences[key] = max(target.seenFences[key], command.Fence)
	until := arrived.Add(time.Duration(float64(sim.settings.Hold) * sim.settings.ClockDriftFactor))
	switch {
	case command.Kind == ReleaseKeys:
		delete(target.holds, key)
	case until > sim.now:
		sim.checkFence(j, key, command.Fence)
		target.holds[key] = hold{fence: command.Fence, until: until}
		sim.grants++
	}
}

// checkFence verifies that a target gets a key under a higher fence than any earlier holder had.
func (sim *simulation) checkFence(j, key int, fence uint64) {
	if former, had := sim.targets[j].formerFences[key]; had && former >= fence {
		sim.violation = fmt.Sprintf(
			"key %d was granted to a new incarnation of %s with fence %d, the former one had it with %d",
			key, sim.targets[j].id, fence, former)
	}
	for other, target := range sim.targets {
		if held, had := target.holds[key]; other != j && had && held.fence >= fence && target.up {
			sim.violation = fmt.Sprintf("key %d was granted to %s with fence %d, %s had it with %d",
				key, sim.targets[j].id, fence, target.id, held.fence)
		}
	}
}

// check verifies that no key has two holders.
func (sim *simulation) check() {
	for _, key := range sim.keys {
		var holders []string
		for _, target := range sim.targets {
			if held, had := target.holds[key]; had && target.up && held.until > sim.now {
				holders = append(holders, fmt.Sprintf("%s (fence %d)", target.id, held.fence))
			}
		}
		if len(holders) > 1 {
			sim.violation = fmt.Sprintf("key %d is held by %s", key, strings.Join(holders, " and "))
		}
	}
}

// unheld returns the number of keys without a holder.
func (sim *simulation) unheld() int {
	count := 0
	for _, key := range sim.keys {
		held := false
		for _, target := range sim.targets {
			if h, had := target.holds[key]; had && target.up && h.until > sim.now {
				held = true
			}
		}
		if !held {
			count++
		}
	}
	return count
}

// heal ends all faults and restarts the VMs and targets that are down or leaving.
func (sim *simulation) heal() {
	sim.storeDown, sim.storeSlow, sim.slow, sim.unconfigured, sim.falseResponses = false, false, false, false, false
	sim.storeCut, sim.relayCut, sim.pathCut = map[int]bool{}, map[int]bool{}, map[[2]int]bool{}
	sim.linkDelay = [simulatedRegions]time.Duration{}
	for i, vm := range sim.vms {
		vm.paused = false
		if !vm.up || vm.leaving {
			sim.startVM(i)
		}
	}
	for _, target := range sim.targets {
		if !target.up {
			sim.startTarget(target, true)
		}
		target.registered, target.unusable = true, false
	}
}

// restartVMs restarts the VMs that are down or have resigned.
func (sim *simulation) restartVMs() {
	for i, vm := range sim.vms {
		if !vm.up || vm.leaving && vm.manager.Resigned() {
			sim.startVM(i)
		}
	}
}

// describe returns each VM's leadership and table offset, and the range of each key in the newest record.
func (sim *simulation) describe() string {
	var text strings.Builder
	newest := sim.log[len(sim.log)-1]
	for _, vm := range sim.vms {
		fmt.Fprintf(&text, "%s leader %t table %d; ", vm.name, vm.manager.IsLeader(sim.now), vm.manager.table.Offset)
	}
	for _, key := range sim.keys {
		r := newest.Find(simulatedService, key)
		fmt.Fprintf(&text, "key %d: %+v; ", key, r)
	}
	return text.String()
}
