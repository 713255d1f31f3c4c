package requests

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tarragonpoint/tarragonpoint/internal/entry"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/result"
)

const (
	scenarioSeeds = 3
	// strikePropagation is the time in which a crash is confirmed, which takes up to 400 ms, and reported to the peers.
	strikePropagation = 500 * time.Millisecond
	// coldDetection is the time in which the lessor detects an unannounced cold start and reports it.
	coldDetection = 1200 * time.Millisecond
)

func eachSeed(t *testing.T, work func(w *world)) {
	for seed := range uint64(scenarioSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			require.Empty(t, inWorld(t, seed, work))
		})
	}
}

// newPlainRequest returns a request of a caller whose clock is correct.
func (w *world) newPlainRequest(name string, service model.Service, idempotent bool, path string) *callerRequest {
	request := &callerRequest{
		name: name, tenant: tenantAny, service: service, key: keyName("", w.randomInt(keysPerTenant)), idempotent: idempotent,
		path: path,
		body: []byte("plain"),
	}
	if !idempotent {
		id := model.RequestIDAt(time.Now(), uint64(w.randomInt(1<<30)))
		request.id = &id
	}
	return request
}

// sendSteadily sends requests at a constant interval through all entry VMs in turn.
func (w *world) sendSteadily(span, every time.Duration, path string, services ...model.Service) {
	end := time.Now().Add(span)
	for number := 0; time.Now().Before(end); number++ {
		request := w.newPlainRequest(fmt.Sprintf("steady-%d", number), services[number%len(services)], w.oneIn(2), path)
		v := w.vms[number%len(w.vms)]
		w.tasks.Go(func() { w.sendRequest(context.Background(), request, v, 4*time.Second) })
		time.Sleep(every)
	}
}

// TestPlannedStopInterruptsNoRequest guards against a planned stop of an entry VM that interrupts a request or loses
// the contents of the at-most-once table. The VM does not rejoin: a VM that joins becomes a lessor without the table
// and starts a new horizon, so it cannot state the outcome of earlier request IDs (section 7 of the design page).
func TestPlannedStopInterruptsNoRequest(t *testing.T) {
	for index := range 7 {
		t.Run(fmt.Sprint(index), func(t *testing.T) {
			t.Parallel()
			require.Empty(t, inWorld(t, 1, func(w *world) { w.stopUnderLoad(10*time.Second, entry.LeaveLinger, w.vms[index]) }))
		})
	}
}

// TestConsecutivePlannedStops guards against the same faults when several VMs stop one after the other.
func TestConsecutivePlannedStops(t *testing.T) {
	eachSeed(t, func(w *world) {
		w.stopUnderLoad(20*time.Second, entry.LeaveLinger, w.vms[1], w.vms[2], w.vms[3], w.vms[5])
	})
}

// stopUnderLoad performs planned stops of VMs and requires that every request ran, except those that a stopping VM
// rejected. Each process runs for linger after its stop.
func (w *world) stopUnderLoad(span, linger time.Duration, stopped ...*vm) {
	w.tasks.Go(func() { w.sendSteadily(span, 15*time.Millisecond, "/any?work_ms=120", keyedService, unkeyedService) })
	for _, v := range stopped {
		time.Sleep(time.Second)
		if !v.current().stop() {
			w.fail("%s stopped while requests were running", v.id)
		}
		time.Sleep(linger)
		v.current().kill()
	}
	w.tasks.Wait()
	for _, submitted := range w.oracle.submissions {
		code := submitted.response.Code
		if submitted.known && code != result.OK && code != result.Draining {
			w.fail("%s at %s ended with code %d after %v", submitted.request.name, submitted.receivedBy.vm.id, code,
				submitted.ended.Sub(w.log.startedAt()))
		}
	}
}

// TestColdTargetKeepsItsRamp guards against entry VMs that together send more requests to a cold target than the ramp
// of its cold start allows.
func TestColdTargetKeepsItsRamp(t *testing.T) {
	eachSeed(t, func(w *world) {
		w.tasks.Go(func() {
			w.sendSteadily(16*time.Second, 5*time.Millisecond, "/any?work_ms=60", keyedService, unkeyedService)
		})
		for _, s := range []*server{w.servers[0], w.servers[2], w.servers[3]} {
			time.Sleep(time.Second)
			s.becomeCold()
			time.Sleep(coldDetection)
			before := s.target.Report().Overloads
			time.Sleep(coldStart - coldDetection)
			if after := s.target.Report().Overloads; after > before {
				w.fail("%s received %d requests beyond the limit of its ramp", s.id, after-before)
			}
		}
	})
}

// TestUnresponsiveConnectionsEjectNoTarget guards against a target that is ejected because some connections to it
// became unresponsive while it responds on others.
func TestUnresponsiveConnectionsEjectNoTarget(t *testing.T) {
	eachSeed(t, func(w *world) {
		unresponsive := w.servers[2]
		unresponsive.setFaults(3, 0)
		w.tasks.Go(func() { w.sendSteadily(15*time.Second, 15*time.Millisecond, "/any?work_ms=20", unkeyedService) })
		for range 150 {
			time.Sleep(100 * time.Millisecond)
			for _, v := range w.vms {
				p := v.current()
				if share := p.policies.tracker.Share(p.Now(), unresponsive.id); share < 1 {
					w.fail("%s gives %s a share of %.2f", v.id, unresponsive.id, share)
				}
			}
		}
	})
}

// TestCrashingRequest guards against a request that crashes one target after the other because its caller repeats it
// through all entry VMs.
func TestCrashingRequest(t *testing.T) {
	for _, burst := range []bool{false, true} {
		for _, service := range []model.Service{keyedService, unkeyedService} {
			t.Run(fmt.Sprintf("%s burst %v", service, burst), func(t *testing.T) {
				eachSeed(t, func(w *world) { w.sendCrashing(service, burst) })
			})
		}
	}
}

// sendCrashing repeats a request that crashes its target, through all entry VMs of a region at once if burst is true,
// and otherwise one at a time: a VM then sends when the number modulo len(w.vms) is the last digit of its ID.
func (w *world) sendCrashing(service model.Service, burst bool) {
	// The tenant has one home region, because crashes in another region would be counted there.
	crashing := w.newPlainRequest("crashing", service, true, "/any?crash=1&work_ms=0")
	crashing.tenant = tenantSeacoast
	for number := range 36 {
		for _, v := range w.vms {
			if v.region != regionSeacoast || !burst && number%len(w.vms) != int(v.id[len(v.id)-1]-'0') {
				continue
			}
			again := *crashing
			again.idempotent = number%2 == 0
			if !again.idempotent {
				id := model.RequestIDAt(time.Now(), uint64(w.randomInt(1<<30)))
				again.id = &id
			}
			w.tasks.Go(func() { w.sendRequest(context.Background(), &again, v, 4*time.Second) })
			if !burst {
				time.Sleep(900 * time.Millisecond)
			}
		}
		if burst {
			time.Sleep(150 * time.Millisecond)
		}
	}
	w.tasks.Wait()
	w.checkCrashes(burst)
}

// checkCrashes requires that no target crashes later than strikePropagation after the second crash, and that no more
// than two targets crash if the request is sent one at a time.
func (w *world) checkCrashes(burst bool) {
	var crashes []time.Time
	for _, s := range w.servers {
		if s.region != regionSeacoast {
			continue
		}
		for _, seen := range s.target.Runs() {
			crashes = append(crashes, s.wallTime(seen.Start))
		}
	}
	if len(crashes) < 2 {
		w.fail("only %d crashes: too few for the scenario", len(crashes))
		return
	}
	second := secondEarliest(crashes)
	for _, at := range crashes {
		if at.Sub(second) > strikePropagation {
			w.fail("a target crashed %v after the second crash, later than the strikes take to reach the peers", at.Sub(second))
		}
	}
	if !burst && len(crashes) > 2 {
		w.fail("%d targets crashed one after the other", len(crashes))
	}
}

func secondEarliest(times []time.Time) time.Time {
	first, second := times[0], times[1]
	if second.Before(first) {
		first, second = second, first
	}
	for _, at := range times[2:] {
		switch {
		case at.Before(first):
			first, second = at, first
		case at.Before(second):
			second = at
		}
	}
	return second
}

// TestSuspendedTenantReachesNoTarget guards against requests that are queued at a lessor while operators suspend their
// tenant to change its home regions, and are sent all the same. They must be checked again immediately before they are
// sent.
func TestSuspendedTenantReachesNoTarget(t *testing.T) {
	eachSeed(t, func(w *world) {
		for _, s := range []*server{w.servers[0], w.servers[1], w.servers[4], w.servers[5]} {
			s.becomeCold()
		}
		time.Sleep(coldDetection / 2)
		for number := range 40 {
			request := w.newPlainRequest(fmt.Sprintf("near-%d", number), keyedService, number%2 == 0, "/only?work_ms=700")
			request.tenant = tenantSeacoast
			w.tasks.Go(func() { w.sendRequest(context.Background(), request, w.vms[number%5], 4500*time.Millisecond) })
		}
		time.Sleep(300 * time.Millisecond)
		to := w.config.Clone()
		suspended := to.Tenants[tenantSeacoast]
		suspended.Suspended = true
		to.Tenants[tenantSeacoast] = suspended
		w.publish(to)
		effectiveAt := time.Now().Add(500 * time.Millisecond)
		w.tasks.Wait()
		w.checkNoRunAfter(effectiveAt)
	})
}

func (w *world) checkNoRunAfter(effectiveAt time.Time) {
	before := 0
	for _, s := range w.servers {
		for _, seen := range s.target.Runs() {
			if at := s.wallTime(seen.Start); at.After(effectiveAt) {
				w.fail("%s started a request %v after the suspension took effect", s.id, at.Sub(effectiveAt))
				continue
			}
			before++
		}
	}
	if before == 0 {
		w.fail("no request ran before the suspension: the scenario tests nothing")
	}
}

// TestResumedLessorRunsNothingTwice guards against a lessor that was paused while another one took over: until it is
// notified, only the target's check of the term stops the requests that it sends. The times of the request IDs are as
// far ahead as allowed, so that they are past the horizon of the other lessor too.
func TestResumedLessorRunsNothingTwice(t *testing.T) {
	eachSeed(t, func(w *world) {
		w.tasks.Go(func() { w.sendSteadily(60*time.Second, 20*time.Millisecond, "/any?work_ms=1", keyedService) })
		for round := range 10 {
			v := w.vms[round%5]
			p := v.current()
			p.pause()
			time.Sleep(1100*time.Millisecond + time.Duration(w.randomInt(700))*time.Millisecond)
			for number := range 24 {
				w.tasks.Go(func() { w.sendTwice(fmt.Sprintf("round-%d-%d", round, number), v) })
			}
			p.resume()
			time.Sleep(5 * time.Second)
		}
	})
}

// sendTwice sends a request through a VM and then again through a random VM of the same region.
func (w *world) sendTwice(name string, v *vm) {
	request := w.newPlainRequest(name, keyedService, false, "/any?work_ms=1")
	id := model.RequestIDAt(
		time.Now().Add(time.Duration(300+w.randomInt(600))*time.Millisecond), uint64(w.randomInt(1<<30)),
	)
	request.id = &id
	w.sendRequest(context.Background(), request, v, 600*time.Millisecond)
	time.Sleep(time.Duration(w.randomInt(900)) * time.Millisecond)
	w.sendRequest(context.Background(), request, w.vms[w.randomInt(5)], 4*time.Second)
}

// TestStaleFenceIsRejected guards against an entry VM that was paused while a slot moved away from its owner and back:
// the owner must refuse the former fence, which this VM still uses.
func TestStaleFenceIsRejected(t *testing.T) {
	eachSeed(t, func(w *world) {
		owners := []*server{w.servers[0], w.servers[1], w.servers[4], w.servers[5]}
		owner := owners[w.randomInt(len(owners))]
		w.tasks.Go(func() { w.sendSteadily(20*time.Second, 20*time.Millisecond, "/any?work_ms=1", keyedService) })
		stale := w.vms[2].current()
		stale.pause()
		w.drain(func(s *server) bool { return s == owner })
		time.Sleep(4 * time.Second)
		w.drain(func(s *server) bool { return s != owner && s.region == regionSeacoast })
		time.Sleep(6 * time.Second)
		for number := range 4 * keysPerTenant {
			request := w.newPlainRequest(fmt.Sprintf("stale-%d", number), keyedService, true, "/any?work_ms=1")
			request.key = keyName("", number%keysPerTenant)
			if number%2 == 0 {
				request.tenant, request.key = tenantSeacoast, keyName(regionSeacoast, number/2%keysPerTenant)
			}
			w.tasks.Go(func() { w.sendRequest(context.Background(), request, w.vms[2], 4*time.Second) })
		}
		stale.resume()
	})
}

// drain sets the drain flag of the keyed targets that match and clears it for all others.
func (w *world) drain(match func(*server) bool) {
	to := w.config.Clone()
	for _, s := range w.servers {
		changed := to.Targets[s.id]
		changed.Drain = changed.Service == keyedService && match(s)
		to.Targets[s.id] = changed
	}
	w.publish(to)
}
