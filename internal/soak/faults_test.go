package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/standin"
)

// injector draws faults from a seed and injects them. A new fault starts every 100 ms to 1.3 s, so that several
// overlap.
type injector struct {
	deployment *deployment
	random     *rand.Rand
	running    sync.WaitGroup
	mu         sync.Mutex
	// busy holds the subjects (a VM, a server, the store and so on) that a fault affects now. Each has one fault at a
	// time.
	busy map[string]bool
	log  []string
}

// fault is one kind of fault. run injects it and returns when it has ended.
type fault struct {
	name string
	run  func(i *injector, random *rand.Rand)
}

var faults = []fault{
	{"VM is killed", func(i *injector, r *rand.Rand) { i.onRandomVM(r, killVM) }},
	{"VM is stopped", func(i *injector, r *rand.Rand) { i.onRandomVM(r, stopVM) }},
	{"VM is paused", func(i *injector, r *rand.Rand) { i.onRandomVM(r, pauseVM) }},
	{"VM reloads", func(i *injector, r *rand.Rand) { i.onRandomVM(r, reloadVM) }},
	{"all VMs are killed", func(i *injector, r *rand.Rand) { killAll(i, r) }},
	{"VM's connections to the store", func(i *injector, r *rand.Rand) {
		i.onRandomVM(r, func(i *injector, v *vm, r *rand.Rand) { i.disturb(v.name+"'s connections to the store", v.relay, r) })
	}},
	{"server's connections", func(i *injector, r *rand.Rand) { i.onRandomServer(r, disturbServer) }},
	{"server crashes", func(i *injector, r *rand.Rand) { i.onRandomServer(r, crashServer) }},
	{"server drains", func(i *injector, r *rand.Rand) { i.onRandomServer(r, drainServer) }},
	{"server fails requests", func(i *injector, r *rand.Rand) { i.onRandomServer(r, failServerRequests) }},
	{"server misbehaves", func(i *injector, r *rand.Rand) { i.onRandomServer(r, misbehave) }},
	{"store", func(i *injector, r *rand.Rand) { i.runExclusively("store", func() { disturbStore(i, r) }) }},
	{"configuration", func(i *injector, _ *rand.Rand) { i.runExclusively("configuration", i.deployment.publishConfig) }},
	{"evacuation", func(i *injector, r *rand.Rand) { i.runExclusively("evacuation", func() { evacuateZone(i, r) }) }},
}

// run injects faults for a time and waits until all have ended.
func (i *injector) run(length time.Duration) {
	for end := time.Now().Add(length); time.Now().Before(end); {
		chosen := faults[i.random.IntN(len(faults))]
		random := rand.New(rand.NewPCG(i.random.Uint64(), 2))
		i.running.Add(1)
		go func() {
			defer i.running.Done()
			chosen.run(i, random)
		}()
		time.Sleep(time.Duration(100+i.random.IntN(1200)) * time.Millisecond)
	}
	i.running.Wait()
}

// logf appends a line to the log, which the test prints at its end.
func (i *injector) logf(format string, args ...any) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.log = append(i.log, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
}

// runExclusively runs a fault on a subject unless another fault affects that subject now.
func (i *injector) runExclusively(subject string, run func()) {
	i.mu.Lock()
	isBusy := i.busy[subject]
	i.busy[subject] = true
	i.mu.Unlock()
	if isBusy {
		return
	}
	run()
	i.mu.Lock()
	delete(i.busy, subject)
	i.mu.Unlock()
}

func (i *injector) onRandomVM(r *rand.Rand, run func(*injector, *vm, *rand.Rand)) {
	v := i.deployment.vms[r.IntN(len(i.deployment.vms))]
	i.runExclusively(v.name, func() { run(i, v, r) })
}

func (i *injector) onRandomServer(r *rand.Rand, run func(*injector, *server, *rand.Rand)) {
	s := i.deployment.servers[r.IntN(len(i.deployment.servers))]
	i.runExclusively(s.id, func() { run(i, s, r) })
}

// randomDuration returns a duration between 200 ms and limit.
func randomDuration(r *rand.Rand, limit time.Duration) time.Duration {
	const shortest = 200 * time.Millisecond
	return shortest + time.Duration(r.Int64N(int64(limit-shortest)))
}

// reloadVM sends a VM the reload signal if the VM listens already. A process cannot handle a signal that arrives before
// its first instruction: in seed 1, a reload within a millisecond of the start ended VMs.
func reloadVM(i *injector, v *vm, _ *rand.Rand) {
	conn, err := net.Dial("tcp4", v.callerAddress)
	if err != nil {
		i.logf("%s does not listen yet and is not reloaded", v.name)
		return
	}
	_ = conn.Close()
	i.logf("%s reloads", v.name)
	v.currentProcess().Reload()
}

func killVM(i *injector, v *vm, r *rand.Rand) {
	i.logf("%s is killed", v.name)
	v.currentProcess().Kill()
	time.Sleep(randomDuration(r, 2*time.Second))
	i.logf("%s starts", v.name)
	i.deployment.startVM(v)
}

func killAll(i *injector, r *rand.Rand) {
	for _, v := range i.deployment.vms {
		i.running.Add(1)
		random := rand.New(rand.NewPCG(r.Uint64(), 3))
		go func() {
			defer i.running.Done()
			i.runExclusively(v.name, func() { killVM(i, v, random) })
		}()
	}
}

func stopVM(i *injector, v *vm, _ *rand.Rand) {
	i.logf("%s is stopped", v.name)
	p := v.currentProcess()
	if err := p.Stop(grace + stopTolerance); err != nil {
		i.deployment.oracle.mu.Lock()
		i.deployment.oracle.addViolation("STOP: %v", err)
		i.deployment.oracle.mu.Unlock()
		p.Kill()
	}
	i.deployment.startVM(v)
}

func pauseVM(i *injector, v *vm, r *rand.Rand) {
	length := randomDuration(r, 5*time.Second)
	i.logf("%s is paused for %s", v.name, length)
	p := v.currentProcess()
	p.Pause()
	time.Sleep(length)
	i.deployment.oracle.mu.Lock()
	i.deployment.oracle.resumedAt = time.Now()
	i.deployment.oracle.mu.Unlock()
	p.Resume()
	i.deployment.oracle.recordVMFault(v.name)
}

// disturb delays, closes or blocks connections of a relay. It blocks either all of them for a time, in one or both
// directions, or only the present ones until they are closed. Data that was held up in a blocked connection is lost.
func (i *injector) disturb(name string, relay *standin.Relay, r *rand.Rand) {
	length := randomDuration(r, 5*time.Second)
	kind := r.IntN(5)
	i.logf("%s: disturbance %d for %s", name, kind, length)
	switch kind {
	case 0:
		relay.SetDelay(randomDuration(r, 600*time.Millisecond))
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
		for _, connection := range relay.Connections() {
			connection.SetBlocked(true)
		}
	}
}

func disturbServer(i *injector, s *server, r *rand.Rand) {
	// 5 s is the longest disturbance that disturb draws.
	s.exemptHoldsFor(5 * time.Second)
	i.disturb(s.id, s.relay, r)
}

func crashServer(i *injector, s *server, r *rand.Rand) {
	if !s.isUp() {
		return
	}
	i.logf("%s crashes", s.id)
	s.crash()
	time.Sleep(randomDuration(r, 3*time.Second))
	restartServer(i, s)
}

func drainServer(i *injector, s *server, r *rand.Rand) {
	i.logf("%s drains", s.id)
	if r.IntN(2) == 0 {
		s.announceStop()
		time.Sleep(drainBound + time.Second)
	}
	s.setDraining()
	time.Sleep(3 * time.Second)
	s.stopAndUnregister()
	time.Sleep(randomDuration(r, 2*time.Second))
	restartServer(i, s)
}

func restartServer(i *injector, s *server) {
	if err := s.start(); err != nil {
		i.deployment.t.Errorf("%s does not start: %v", s.id, err)
	}
}

func failServerRequests(i *injector, s *server, r *rand.Rand) {
	failEvery, dropEvery := r.IntN(4), r.IntN(6)
	i.logf("%s fails every %d-th request and drops every %d-th response (0: none)", s.id, failEvery, dropEvery)
	s.setFailures(failEvery, dropEvery)
	time.Sleep(randomDuration(r, 4*time.Second))
	s.setFailures(0, 0)
}

func (s *server) setFailures(failEvery, dropEvery int) {
	s.oracle.mu.Lock()
	defer s.oracle.mu.Unlock()
	s.failEvery, s.dropResponseEvery = failEvery, dropEvery
}

func disturbStore(i *injector, r *rand.Rand) {
	length := randomDuration(r, 6*time.Second)
	storeFault := []standin.StoreFault{
		{Mode: standin.StoreDown}, {Mode: standin.StoreUnresponsive}, {Mode: standin.StoreSlow, DelayMillis: 300},
		{Mode: standin.StoreUp, LoseNextResponses: 5},
	}[r.IntN(4)]
	i.logf("store: %+v for %s", storeFault, length)
	i.deployment.store.SetFault(storeFault)
	time.Sleep(length)
	i.deployment.store.SetFault(standin.StoreFault{Mode: standin.StoreUp})
}

func evacuateZone(i *injector, r *rand.Rand) {
	zone := zones[r.IntN(len(zones))]
	i.logf("zone %s is evacuated", zone)
	i.deployment.setEvacuated(zone, true)
	time.Sleep(randomDuration(r, 5*time.Second))
	i.deployment.setEvacuated(zone, false)
}
