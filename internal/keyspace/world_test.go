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

// world runs several managers against a store and targets in virtual time. Targets follow the platform's protocol:
// they refuse a fence lower than one they have seen on any key of a call, and holds run from the arrival of a grant.
type world struct {
	random   *rand.Rand
	settings Settings
	now      model.Instant
	queue    []delivery
	seq      int

	log     []*Table
	targets []*fakeTarget
	vms     []*fakeVM
	born    int64
	// storeDown and cut describe the present faults.
	storeDown bool
	storeCut  map[int]bool
	pathCut   map[[2]int]bool
	slow      bool
	keys      []int
	broken    string
	// connections numbers the connections opened.
	connections uint64
	grants      int
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

// fakeTarget is one address. Its process may end, start anew under the same ID, or give the address to another ID.
type fakeTarget struct {
	address    string
	id         model.TargetID
	born       int64
	up         bool
	registered bool
	seen       map[int]uint64
	holds      map[int]hold
	// former holds the fences under which the former life of the same ID had keys.
	former map[int]uint64
}

type fakeConnection struct {
	id   uint64
	born int64
}

type fakeVM struct {
	manager *Manager
	name    string
	up      bool
	paused  bool
	// leaving VMs have resigned: their process ends soon.
	leaving bool
	// connected holds the life of each target that the VM has an open connection to.
	connected map[int]fakeConnection
	life      int
	read      int
}

const worldService model.Service = "review"

func newWorld(seed uint64, vms, targets int) *world {
	w := &world{
		random: rand.New(rand.NewPCG(seed, 1)), settings: DefaultSettings(), now: model.Instant(time.Hour),
		storeCut: map[int]bool{}, pathCut: map[[2]int]bool{},
	}
	for i := 0; i < 24; i++ {
		w.keys = append(w.keys, w.random.IntN(Keys))
	}
	for i := 0; i < targets; i++ {
		target := &fakeTarget{address: fmt.Sprintf("10.0.0.%d:80", i)}
		w.targets = append(w.targets, target)
		w.startTarget(target, true)
	}
	for i := 0; i < vms; i++ {
		w.vms = append(w.vms, &fakeVM{})
		w.startVM(i)
	}
	return w
}

func (w *world) startTarget(target *fakeTarget, newID bool) {
	w.born++
	target.born = w.born
	target.former = map[int]uint64{}
	for key, held := range target.holds {
		target.former[key] = held.fence
	}
	if newID || target.id == "" {
		target.former = nil
		target.id = model.TargetID(fmt.Sprintf("t-%d", w.born))
	}
	target.up, target.registered = true, true
	target.seen, target.holds = map[int]uint64{}, map[int]hold{}
}

// restartTarget ends a target's process and starts a new one after the time that this takes at least.
func (w *world) restartTarget(target *fakeTarget, newID bool) {
	target.up = false
	life := target.born
	w.after(restartTime+time.Duration(w.random.IntN(2000))*time.Millisecond, func() {
		if target.born == life {
			w.startTarget(target, newID)
		}
	})
}

// restartTime is the shortest time in which a target's process starts anew.
const restartTime = 3 * time.Second

func (w *world) startVM(i int) {
	vm := w.vms[i]
	vm.life++
	vm.name = fmt.Sprintf("vm-%d/%d", i, vm.life)
	vm.manager = New(w.settings, vm.name, vm.name, w.random.Uint64)
	vm.connected = map[int]fakeConnection{}
	vm.up, vm.paused, vm.leaving, vm.read = true, false, false, -1
}

func (w *world) after(delay time.Duration, run func()) {
	w.seq++
	w.queue = append(w.queue, delivery{at: w.now.Add(delay), seq: w.seq, run: run})
}

// run advances time by steps of 20 ms.
func (w *world) run(duration time.Duration) {
	const step = 20 * time.Millisecond
	for end := w.now.Add(duration); w.now < end && w.broken == ""; w.now = w.now.Add(step) {
		w.deliver()
		for i, vm := range w.vms {
			if vm.up && !vm.paused {
				w.stepVM(i, vm)
			}
		}
		w.check()
	}
}

func (w *world) deliver() {
	sort.Slice(w.queue, func(i, j int) bool {
		if w.queue[i].at != w.queue[j].at {
			return w.queue[i].at < w.queue[j].at
		}
		return w.queue[i].seq < w.queue[j].seq
	})
	for len(w.queue) > 0 && w.queue[0].at <= w.now {
		next := w.queue[0]
		w.queue = w.queue[1:]
		next.run()
	}
}

func (w *world) reachesStore(i int) bool { return !w.storeDown && !w.storeCut[i] }

// chosen names the VM that the store would choose: the first that reaches it.
func (w *world) chosen() int {
	for i, vm := range w.vms {
		if vm.up && !vm.paused && !vm.leaving && w.reachesStore(i) {
			return i
		}
	}
	return -1
}

func (w *world) stepVM(i int, vm *fakeVM) {
	vm.manager.SetElected(w.chosen() == i)
	if w.reachesStore(i) {
		vm.manager.SetView(w.view())
		var table *Table
		if newest := len(w.log) - 1; newest > vm.read {
			table = w.log[newest].Clone()
			vm.read = newest
		}
		vm.manager.TableRead(w.now, table, uint64(len(w.log)))
	}
	for _, command := range vm.manager.Step(w.now) {
		w.execute(i, vm, command)
	}
}

func (w *world) view() View {
	view := View{Services: []model.Service{worldService}}
	for _, target := range w.targets {
		if target.registered {
			view.Candidates = append(view.Candidates, Candidate{
				Holder:  Holder{Incarnation: fleet.Incarnation{ID: target.id, StartedAtMillis: target.born}, Address: target.address},
				Service: worldService, Usable: true, Weight: 1,
			})
		}
	}
	return view
}

func (w *world) execute(i int, vm *fakeVM, command Command) {
	life := vm.life
	reply := func(run func()) func() {
		return func() {
			if vm.up && vm.life == life {
				run()
			}
		}
	}
	if command.Kind == AppendTable {
		w.append(i, vm, command, reply)
		return
	}
	w.order(i, vm, command, reply)
}

// append writes a record if the condition holds. The answer may be lost, and the write may happen late.
func (w *world) append(i int, vm *fakeVM, command Command, reply func(func()) func()) {
	if !w.reachesStore(i) {
		w.after(time.Second, reply(func() { vm.manager.AppendFailed(w.now, true) }))
		return
	}
	written := command.Append.Clone()
	commit := func() bool {
		if uint64(len(w.log)) != command.AsOf {
			return false
		}
		w.log = append(w.log, written)
		return true
	}
	switch w.random.IntN(12) {
	case 0:
		w.after(time.Duration(w.random.IntN(3000))*time.Millisecond, func() { commit() })
		w.after(time.Second, reply(func() { vm.manager.AppendFailed(w.now, true) }))
	case 1:
		commit()
		w.after(time.Second, reply(func() { vm.manager.AppendFailed(w.now, true) }))
	default:
		if commit() {
			w.after(20*time.Millisecond, reply(func() { vm.manager.Appended(w.now, written.Clone()) }))
		} else {
			w.after(20*time.Millisecond, reply(func() { vm.manager.AppendFailed(w.now, false) }))
		}
	}
}

func (w *world) order(i int, vm *fakeVM, command Command, reply func(func()) func()) {
	connection := uint64(0)
	ended := func(outcome Outcome) func() {
		return reply(func() {
			if command.Kind == GrantKeys {
				vm.manager.GrantEnded(w.now, command, outcome, connection)
			} else {
				vm.manager.ReleaseEnded(w.now, command, outcome, "")
			}
		})
	}
	j := w.targetAt(command.Target.Address)
	if w.pathCut[[2]int{i, j}] {
		w.after(w.settings.CommandTimeout, ended(Unresponsive))
		return
	}
	born := w.targets[j].born
	// A connection is lost with the life that it was opened to, and now and then by itself.
	if connected := vm.connected[j]; connected.born != born || w.random.IntN(30) == 0 {
		w.connections++
		vm.connected[j] = fakeConnection{id: w.connections, born: born}
	}
	connection = vm.connected[j].id
	if command.Connection != 0 && command.Connection != connection {
		w.after(time.Millisecond, ended(Disconnected))
		return
	}
	delay := time.Duration(1+w.random.IntN(60)) * time.Millisecond
	if w.slow && w.random.IntN(3) == 0 {
		// Carried out late: the caller gives up first. The time of a grant still counts from its arrival.
		arrived := w.now
		w.after(time.Duration(500+w.random.IntN(6000))*time.Millisecond, func() { w.carryOut(j, born, command, arrived) })
		w.after(w.settings.CommandTimeout, ended(Unresponsive))
		return
	}
	w.after(delay, func() {
		outcome := w.carryOut(j, born, command, w.now)
		if w.random.IntN(40) == 0 {
			w.after(w.settings.CommandTimeout, ended(Unresponsive))
			return
		}
		w.after(delay, ended(outcome))
	})
}

func (w *world) targetAt(address string) int {
	for j, target := range w.targets {
		if target.address == address {
			return j
		}
	}
	return -1
}

func (w *world) carryOut(j int, born int64, command Command, arrived model.Instant) Outcome {
	target := w.targets[j]
	if target.up && target.born != born {
		// The connection broke with the life that it was opened to.
		return Unresponsive
	}
	if !target.up {
		return NotSent
	}
	if target.id != command.Target.Incarnation.ID {
		return Replaced
	}
	for _, key := range w.keys {
		if key >= command.From && key <= command.To && target.seen[key] > command.Fence && command.Kind == GrantKeys {
			return Fenced
		}
	}
	for _, key := range w.keys {
		if key >= command.From && key <= command.To {
			w.take(j, key, command, arrived)
		}
	}
	return Done
}

// take applies an order to one key.
func (w *world) take(j, key int, command Command, arrived model.Instant) {
	target := w.targets[j]
	target.seen[key] = max(target.seen[key], command.Fence)
	until := arrived.Add(time.Duration(float64(w.settings.Hold) * w.settings.ClockDriftFactor))
	switch {
	case command.Kind == ReleaseKeys:
		delete(target.holds, key)
	case until > w.now:
		w.checkFence(j, key, command.Fence)
		target.holds[key] = hold{fence: command.Fence, until: until}
		w.grants++
	}
}

// checkFence demands that a key comes to a target with a fence above all that others had it with.
func (w *world) checkFence(j, key int, fence uint64) {
	if former, had := w.targets[j].former[key]; had && former >= fence {
		w.broken = fmt.Sprintf("key %d went to a new life of %s with fence %d, the former one had it with %d", key, w.targets[j].id, fence, former)
	}
	for other, target := range w.targets {
		if held, had := target.holds[key]; other != j && had && held.fence >= fence && target.up {
			w.broken = fmt.Sprintf("key %d went to %s with fence %d, %s had it with %d", key, w.targets[j].id, fence, target.id, held.fence)
		}
	}
}

// check demands that no key has two holders.
func (w *world) check() {
	for _, key := range w.keys {
		var holders []string
		for _, target := range w.targets {
			if held, had := target.holds[key]; had && target.up && held.until > w.now {
				holders = append(holders, fmt.Sprintf("%s (fence %d)", target.id, held.fence))
			}
		}
		if len(holders) > 1 {
			w.broken = fmt.Sprintf("key %d is held by %s", key, strings.Join(holders, " and "))
		}
	}
}

// unheld returns the number of keys without a holder.
func (w *world) unheld() int {
	count := 0
	for _, key := range w.keys {
		held := false
		for _, target := range w.targets {
			if h, had := target.holds[key]; had && target.up && h.until > w.now {
				held = true
			}
		}
		if !held {
			count++
		}
	}
	return count
}

// heal ends all faults and starts what is down.
func (w *world) heal() {
	w.storeDown, w.slow = false, false
	w.storeCut, w.pathCut = map[int]bool{}, map[[2]int]bool{}
	for i, vm := range w.vms {
		vm.paused = false
		if !vm.up || vm.leaving {
			w.startVM(i)
		}
	}
	for _, target := range w.targets {
		if !target.up {
			w.startTarget(target, true)
		}
		target.registered = true
	}
}

// describe lists the ranges of keys without a holder as the newest record has them.
func (w *world) describe() string {
	var text strings.Builder
	newest := w.log[len(w.log)-1]
	for _, vm := range w.vms {
		fmt.Fprintf(&text, "%s office %t table %d; ", vm.name, vm.manager.IsLeader(w.now), vm.manager.table.Offset)
	}
	for _, key := range w.keys {
		r := newest.Find(worldService, key)
		fmt.Fprintf(&text, "key %d: %+v; ", key, r)
	}
	return text.String()
}
