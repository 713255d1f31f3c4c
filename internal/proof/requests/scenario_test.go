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
	// strikeSpread is the time in which a crash is confirmed, which takes up to 400 ms, and reported to the peers.
	strikeSpread = 500 * time.Millisecond
	// coldNoticed is the time in which a cold start that nobody announced is seen by the lessor and reported.
	coldNoticed = 1200 * time.Millisecond
)

func eachSeed(t *testing.T, work func(w *world)) {
	for seed := range uint64(scenarioSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			require.Empty(t, inWorld(t, seed, work))
		})
	}
}

// plain returns a request of a caller whose clock is right.
func (w *world) plain(name string, service model.Service, idempotent bool, path string) *logical {
	l := &logical{
		name: name, tenant: tenantAny, service: service, key: keyOf("", w.draw(keysPerTenant)), idempotent: idempotent, path: path,
		body: []byte("plain"),
	}
	if !idempotent {
		id := model.RequestIDAt(time.Now(), uint64(w.draw(1<<30)))
		l.id = &id
	}
	return l
}

// steady sends requests through all entry VMs for a span.
func (w *world) steady(span, every time.Duration, path string, services ...model.Service) {
	end := time.Now().Add(span)
	for number := 0; time.Now().Before(end); number++ {
		l := w.plain(fmt.Sprintf("steady-%d", number), services[number%len(services)], w.chance(2), path)
		v := w.vms[number%len(w.vms)]
		w.load.Go(func() { w.call(context.Background(), l, v, 4*time.Second) })
		time.Sleep(every)
	}
}

// TestPlannedStopCutsNoRequest guards against a planned stop of an entry VM that ends a request half way or loses what
// the at-most-once table knows. The VM stays away: a VM that joins becomes a lessor without the table and starts a new
// horizon, as section 7 of the design page says.
func TestPlannedStopCutsNoRequest(t *testing.T) {
	for victim := range 7 {
		t.Run(fmt.Sprint(victim), func(t *testing.T) {
			t.Parallel()
			require.Empty(t, inWorld(t, 1, func(w *world) { w.stopUnderLoad(10*time.Second, entry.LeaveLinger, w.vms[victim]) }))
		})
	}
}

// TestPlannedStopsInARow is the same for one VM after the other.
func TestPlannedStopsInARow(t *testing.T) {
	eachSeed(t, func(w *world) {
		w.stopUnderLoad(20*time.Second, entry.LeaveLinger, w.vms[1], w.vms[2], w.vms[3], w.vms[5])
	})
}

// stopUnderLoad stops VMs as planned and requires that every request ran, but for those that a stopping VM refused.
func (w *world) stopUnderLoad(span, after time.Duration, stopped ...*vm) {
	w.load.Go(func() { w.steady(span, 15*time.Millisecond, "/any?work_ms=120", review, desk) })
	for _, v := range stopped {
		time.Sleep(time.Second)
		if !v.current().stop() {
			w.fail("%s stopped with requests running", v.id)
		}
		time.Sleep(after)
		v.current().kill()
	}
	w.load.Wait()
	for _, tried := range w.oracle.tries {
		code := tried.answer.Code
		if tried.known && code != result.OK && code != result.Draining {
			w.fail("%s at %s ended with code %d after %v", tried.request.name, tried.at.vm.id, code, tried.ended.Sub(w.log.began()))
		}
	}
}

// TestColdTargetKeepsItsRamp guards against entry VMs that together send a cold target more than it bears.
func TestColdTargetKeepsItsRamp(t *testing.T) {
	eachSeed(t, func(w *world) {
		w.load.Go(func() { w.steady(16*time.Second, 5*time.Millisecond, "/any?work_ms=60", review, desk) })
		for _, s := range []*server{w.servers[0], w.servers[2], w.servers[3]} {
			time.Sleep(time.Second)
			s.turnCold()
			time.Sleep(coldNoticed)
			before := s.target.Report().Overloads
			time.Sleep(coldStart - coldNoticed)
			if after := s.target.Report().Overloads; after > before {
				w.fail("%s started %d requests beyond its ramp", s.id, after-before)
			}
		}
	})
}

// TestSilentConnectionsEjectNobody guards against a target that gets no requests because single connections to it went
// silent while it answers others.
func TestSilentConnectionsEjectNobody(t *testing.T) {
	eachSeed(t, func(w *world) {
		silent := w.servers[2]
		silent.setFaults(3, 0)
		w.load.Go(func() { w.steady(15*time.Second, 15*time.Millisecond, "/any?work_ms=20", desk) })
		for range 150 {
			time.Sleep(100 * time.Millisecond)
			for _, v := range w.vms {
				p := v.current()
				if share := p.policies.tracker.Share(p.Now(), silent.id); share < 1 {
					w.fail("%s gives %s a share of %.2f", v.id, silent.id, share)
				}
			}
		}
	})
}

// TestCrashingRequest guards against a request that crashes one target after the other because its caller sends it again
// through all entry VMs.
func TestCrashingRequest(t *testing.T) {
	for _, burst := range []bool{false, true} {
		for _, service := range []model.Service{review, desk} {
			t.Run(fmt.Sprintf("%s burst %v", service, burst), func(t *testing.T) {
				eachSeed(t, func(w *world) { w.sendCrashing(service, burst) })
			})
		}
	}
}

// sendCrashing sends the crashing request again and again, one at a time or through all entry VMs of a region at once.
func (w *world) sendCrashing(service model.Service, burst bool) {
	// A tenant with one home region: crashes in another region would count there.
	crashing := w.plain("crashing", service, true, "/any?crash=1&work_ms=0")
	crashing.tenant = tenantNear
	for number := range 36 {
		for _, v := range w.vms {
			if v.region != region || !burst && number%len(w.vms) != int(v.id[len(v.id)-1]-'0') {
				continue
			}
			again := *crashing
			again.idempotent = number%2 == 0
			if !again.idempotent {
				id := model.RequestIDAt(time.Now(), uint64(w.draw(1<<30)))
				again.id = &id
			}
			w.load.Go(func() { w.call(context.Background(), &again, v, 4*time.Second) })
			if !burst {
				time.Sleep(900 * time.Millisecond)
			}
		}
		if burst {
			time.Sleep(150 * time.Millisecond)
		}
	}
	w.load.Wait()
	w.checkCrashes(burst)
}

func (w *world) checkCrashes(burst bool) {
	var crashes []time.Time
	for _, s := range w.servers {
		if s.region != region {
			continue
		}
		for _, seen := range s.target.Runs() {
			crashes = append(crashes, s.timeOf(seen.Start))
		}
	}
	if len(crashes) < 2 {
		w.fail("only %d crashes: the scenario shows nothing", len(crashes))
		return
	}
	second := secondOf(crashes)
	for _, at := range crashes {
		if at.Sub(second) > strikeSpread {
			w.fail("a target crashed %v after the second crash", at.Sub(second))
		}
	}
	if !burst && len(crashes) > 2 {
		w.fail("%d targets crashed one after the other", len(crashes))
	}
}

func secondOf(times []time.Time) time.Time {
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

// TestSuspendedTenantReachesNoTarget guards against requests that wait at a lessor while operators suspend their tenant to
// change its home regions: they must be checked again right before they are sent.
func TestSuspendedTenantReachesNoTarget(t *testing.T) {
	eachSeed(t, func(w *world) {
		for _, s := range []*server{w.servers[0], w.servers[1], w.servers[4], w.servers[5]} {
			s.turnCold()
		}
		time.Sleep(coldNoticed / 2)
		for number := range 40 {
			l := w.plain(fmt.Sprintf("near-%d", number), review, number%2 == 0, "/only?work_ms=700")
			l.tenant = tenantNear
			w.load.Go(func() { w.call(context.Background(), l, w.vms[number%5], 4500*time.Millisecond) })
		}
		time.Sleep(300 * time.Millisecond)
		to := w.config.Clone()
		suspended := to.Tenants[tenantNear]
		suspended.Suspended = true
		to.Tenants[tenantNear] = suspended
		w.publish(to)
		folded := time.Now().Add(500 * time.Millisecond)
		w.load.Wait()
		w.checkNoneAfter(folded)
	})
}

func (w *world) checkNoneAfter(folded time.Time) {
	before := 0
	for _, s := range w.servers {
		for _, seen := range s.target.Runs() {
			if at := s.timeOf(seen.Start); at.After(folded) {
				w.fail("%s started a request %v after the suspension was in force", s.id, at.Sub(folded))
				continue
			}
			before++
		}
	}
	if before == 0 {
		w.fail("no request ran: the scenario shows nothing")
	}
}

// TestResumedLessorRunsNothingTwice guards against a lessor that was paused while another one stepped in: until it learns
// of that, only the target's check of the term refuses what it sends. The IDs are as far ahead as may be, so that they are
// past the horizon of the other lessor too.
func TestResumedLessorRunsNothingTwice(t *testing.T) {
	eachSeed(t, func(w *world) {
		w.load.Go(func() { w.steady(60*time.Second, 20*time.Millisecond, "/any?work_ms=1", review) })
		for round := range 10 {
			v := w.vms[round%5]
			p := v.current()
			p.pause()
			time.Sleep(1100*time.Millisecond + time.Duration(w.draw(700))*time.Millisecond)
			for number := range 24 {
				w.load.Go(func() { w.twice(fmt.Sprintf("round-%d-%d", round, number), v) })
			}
			p.resume()
			time.Sleep(5 * time.Second)
		}
	})
}

// twice sends one request through a VM and, after that, through another one of its region.
func (w *world) twice(name string, v *vm) {
	l := w.plain(name, review, false, "/any?work_ms=1")
	id := model.RequestIDAt(time.Now().Add(time.Duration(300+w.draw(600))*time.Millisecond), uint64(w.draw(1<<30)))
	l.id = &id
	w.call(context.Background(), l, v, 600*time.Millisecond)
	time.Sleep(time.Duration(w.draw(900)) * time.Millisecond)
	w.call(context.Background(), l, w.vms[w.draw(5)], 4*time.Second)
}

// TestStaleOwnerIsRefused guards against an entry VM that was paused while a slot left its owner and came back: the owner
// must refuse the fence that the VM still knows.
func TestStaleOwnerIsRefused(t *testing.T) {
	eachSeed(t, func(w *world) {
		owners := []*server{w.servers[0], w.servers[1], w.servers[4], w.servers[5]}
		owner := owners[w.draw(len(owners))]
		w.load.Go(func() { w.steady(20*time.Second, 20*time.Millisecond, "/any?work_ms=1", review) })
		stale := w.vms[2].current()
		stale.pause()
		w.drain(func(s *server) bool { return s == owner })
		time.Sleep(4 * time.Second)
		w.drain(func(s *server) bool { return s != owner && s.region == region })
		time.Sleep(6 * time.Second)
		for number := range 4 * keysPerTenant {
			l := w.plain(fmt.Sprintf("stale-%d", number), review, true, "/any?work_ms=1")
			l.key = keyOf("", number%keysPerTenant)
			if number%2 == 0 {
				l.tenant, l.key = tenantNear, keyOf(region, number/2%keysPerTenant)
			}
			w.load.Go(func() { w.call(context.Background(), l, w.vms[2], 4*time.Second) })
		}
		stale.resume()
	})
}

// drain empties the keyed targets that match, and no others.
func (w *world) drain(match func(*server) bool) {
	to := w.config.Clone()
	for _, s := range w.servers {
		changed := to.Targets[s.id]
		changed.Drain = changed.Service == review && match(s)
		to.Targets[s.id] = changed
	}
	w.publish(to)
}
