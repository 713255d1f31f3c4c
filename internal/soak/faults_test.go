package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/standin"
)

// injector draws faults from a seed and carries them out, up to three at a time.
type injector struct {
	d       *deployment
	random  *rand.Rand
	running sync.WaitGroup
	mu      sync.Mutex
	// busy holds the things that a fault concerns now; each has one at a time.
	busy map[string]bool
	log  []string
}

// fault is one kind of trouble. run returns when it is over.
type fault struct {
	name string
	run  func(i *injector, random *rand.Rand)
}

var faults = []fault{
	{"VM is killed", func(i *injector, r *rand.Rand) { i.onVM(r, killVM) }},
	{"VM is stopped", func(i *injector, r *rand.Rand) { i.onVM(r, stopVM) }},
	{"VM is paused", func(i *injector, r *rand.Rand) { i.onVM(r, pauseVM) }},
	{"VM reloads", func(i *injector, r *rand.Rand) { i.onVM(r, reloadVM) }},
	{"all VMs are killed", func(i *injector, r *rand.Rand) { killAll(i, r) }},
	{"VM's link to the store", func(i *injector, r *rand.Rand) {
		i.onVM(r, func(i *injector, v *vm, r *rand.Rand) { i.disturb(v.name+"'s link to the store", v.relay, r) })
	}},
	{"server's link", func(i *injector, r *rand.Rand) { i.onServer(r, disturbServer) }},
	{"server crashes", func(i *injector, r *rand.Rand) { i.onServer(r, crashServer) }},
	{"server drains", func(i *injector, r *rand.Rand) { i.onServer(r, drainServer) }},
	{"server fails requests", func(i *injector, r *rand.Rand) { i.onServer(r, spoilServer) }},
	{"store", func(i *injector, r *rand.Rand) { i.on("store", func() { disturbStore(i, r) }) }},
	{"configuration", func(i *injector, _ *rand.Rand) { i.on("configuration", i.d.publish) }},
	{"evacuation", func(i *injector, r *rand.Rand) { i.on("evacuation", func() { evacuate(i, r) }) }},
}

// run injects faults for a time and waits until all are over.
func (i *injector) run(length time.Duration) {
	for end := time.Now().Add(length); time.Now().Before(end); {
		drawn := faults[i.random.IntN(len(faults))]
		random := rand.New(rand.NewPCG(i.random.Uint64(), 2))
		i.running.Add(1)
		go func() {
			defer i.running.Done()
			drawn.run(i, random)
		}()
		time.Sleep(time.Duration(100+i.random.IntN(1200)) * time.Millisecond)
	}
	i.running.Wait()
}

func (i *injector) note(format string, args ...any) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.log = append(i.log, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
}

// on runs a fault on a thing unless another one concerns it.
func (i *injector) on(thing string, run func()) {
	i.mu.Lock()
	taken := i.busy[thing]
	i.busy[thing] = true
	i.mu.Unlock()
	if taken {
		return
	}
	run()
	i.mu.Lock()
	delete(i.busy, thing)
	i.mu.Unlock()
}

func (i *injector) onVM(r *rand.Rand, run func(*injector, *vm, *rand.Rand)) {
	v := i.d.vms[r.IntN(len(i.d.vms))]
	i.on(v.name, func() { run(i, v, r) })
}

func (i *injector) onServer(r *rand.Rand, run func(*injector, *server, *rand.Rand)) {
	s := i.d.servers[r.IntN(len(i.d.servers))]
	i.on(s.id, func() { run(i, s, r) })
}

// upTo returns a time between 200 ms and a limit.
func upTo(r *rand.Rand, limit time.Duration) time.Duration {
	const shortest = 200 * time.Millisecond
	return shortest + time.Duration(r.Int64N(int64(limit-shortest)))
}

// reloadVM tells a VM to reload once it listens. No process can guard against a signal that comes before its first
// instruction, which is what ended VMs in seed 1 when the reload came within a millisecond of the start.
func reloadVM(i *injector, v *vm, _ *rand.Rand) {
	conn, err := net.Dial("tcp4", v.callers)
	if err != nil {
		i.note("%s does not listen yet and is not told to reload", v.name)
		return
	}
	_ = conn.Close()
	i.note("%s reloads", v.name)
	v.running().Reload()
}

func killVM(i *injector, v *vm, r *rand.Rand) {
	i.note("%s is killed", v.name)
	v.running().Kill()
	time.Sleep(upTo(r, 2*time.Second))
	i.note("%s starts", v.name)
	i.d.startVM(v)
}

func killAll(i *injector, r *rand.Rand) {
	for _, v := range i.d.vms {
		i.running.Add(1)
		random := rand.New(rand.NewPCG(r.Uint64(), 3))
		go func() {
			defer i.running.Done()
			i.on(v.name, func() { killVM(i, v, random) })
		}()
	}
}

func stopVM(i *injector, v *vm, _ *rand.Rand) {
	i.note("%s is stopped", v.name)
	p := v.running()
	if err := p.Stop(grace + stopSlack); err != nil {
		i.d.ledger.mu.Lock()
		i.d.ledger.violate("STOP: %v", err)
		i.d.ledger.mu.Unlock()
		p.Kill()
	}
	i.d.startVM(v)
}

func pauseVM(i *injector, v *vm, r *rand.Rand) {
	length := upTo(r, 5*time.Second)
	i.note("%s is paused for %s", v.name, length)
	p := v.running()
	p.Pause()
	time.Sleep(length)
	i.d.ledger.mu.Lock()
	i.d.ledger.thawedAt = time.Now()
	i.d.ledger.mu.Unlock()
	p.Resume()
}

// disturb delays, resets, silences or cuts one way the connections of a relay. What was held up by silence is lost.
func (i *injector) disturb(name string, relay *standin.Relay, r *rand.Rand) {
	length := upTo(r, 5*time.Second)
	how := r.IntN(5)
	i.note("%s: disturbance %d for %s", name, how, length)
	switch how {
	case 0:
		relay.SetDelay(upTo(r, 600*time.Millisecond))
		time.Sleep(length)
		relay.SetDelay(0)
	case 1:
		relay.CloseConnections()
	case 2:
		relay.SetBlocked(true)
		time.Sleep(length)
		relay.CloseConnections()
		relay.SetBlocked(false)
	case 3:
		direction := standin.Direction(r.IntN(2))
		relay.SetDirectionBlocked(direction, true)
		time.Sleep(length)
		relay.CloseConnections()
		relay.SetDirectionBlocked(direction, false)
	case 4:
		for _, line := range relay.Connections() {
			line.SetBlocked(true)
		}
	}
}

func disturbServer(i *injector, s *server, r *rand.Rand) {
	s.disturb(5 * time.Second)
	i.disturb(s.id, s.relay, r)
}

func crashServer(i *injector, s *server, r *rand.Rand) {
	if !s.isUp() {
		return
	}
	i.note("%s crashes", s.id)
	s.crash()
	time.Sleep(upTo(r, 3*time.Second))
	restart(i, s)
}

func drainServer(i *injector, s *server, r *rand.Rand) {
	i.note("%s drains", s.id)
	s.setDraining()
	time.Sleep(3 * time.Second)
	s.leave()
	time.Sleep(upTo(r, 2*time.Second))
	restart(i, s)
}

func restart(i *injector, s *server) {
	if err := s.start(); err != nil {
		i.d.t.Errorf("%s does not start: %v", s.id, err)
	}
}

func spoilServer(i *injector, s *server, r *rand.Rand) {
	fails, loses := r.IntN(4), r.IntN(6)
	i.note("%s fails each %d-th and loses each %d-th answer", s.id, fails, loses)
	s.spoil(fails, loses)
	time.Sleep(upTo(r, 4*time.Second))
	s.spoil(0, 0)
}

func (s *server) spoil(fails, loses int) {
	s.ledger.mu.Lock()
	defer s.ledger.mu.Unlock()
	s.failEvery, s.loseEvery = fails, loses
}

func disturbStore(i *injector, r *rand.Rand) {
	length := upTo(r, 6*time.Second)
	treated := []standin.StoreFault{
		{Mode: standin.StoreDown}, {Mode: standin.StoreUnresponsive}, {Mode: standin.StoreSlow, DelayMillis: 300},
		{Mode: standin.StoreUp, LoseNextResponses: 5},
	}[r.IntN(4)]
	i.note("store: %+v for %s", treated, length)
	i.d.store.SetFault(treated)
	time.Sleep(length)
	i.d.store.SetFault(standin.StoreFault{Mode: standin.StoreUp})
}

func evacuate(i *injector, r *rand.Rand) {
	zone := zones[r.IntN(len(zones))]
	i.note("zone %s is emptied", zone)
	i.d.evacuate(zone, true)
	time.Sleep(upTo(r, 5*time.Second))
	i.d.evacuate(zone, false)
}
