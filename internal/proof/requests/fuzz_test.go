package requests

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/result"
)

const (
	startupTime  = 5 * time.Second
	loadInterval = 25 * time.Millisecond
	// recoveryLimit is the time within which all keys are served again after many concurrent faults, because membership
	// changes take several rounds.
	recoveryLimit = 20 * time.Second
	// failoverLimit is the time within which every key is served again after a single failure.
	failoverLimit = 3 * time.Second
	// quietTime lets the changes of the recovery end, so that the failure after it is a single one. internal/proof uses
	// the same value.
	quietTime = 35 * time.Second
	maxShown  = 6
)

// spans are the times between two faults, below and above the timeouts of the protocol.
var spans = []time.Duration{5 * time.Millisecond, 60 * time.Millisecond, 300 * time.Millisecond, 900 * time.Millisecond,
	1600 * time.Millisecond, 2600 * time.Millisecond}

// action is one fault or repair. a selects what it applies to, b its parameter; span is the time until the next action.
type action struct {
	name string
	a, b int
	span time.Duration
}

var faults = map[string]func(w *world, a, b int){
	"pass":         func(*world, int, int) {},
	"killVM":       func(w *world, a, _ int) { w.pickVM(a).current().kill() },
	"startVM":      func(w *world, a, _ int) { w.start(w.pickVM(a)) },
	"replaceVM":    func(w *world, a, _ int) { w.start(w.pickVM(a)) },
	"pauseVM":      func(w *world, a, _ int) { w.pickVM(a).current().pause() },
	"resumeVM":     func(w *world, a, _ int) { w.pickVM(a).current().resume() },
	"stopVM":       func(w *world, a, _ int) { w.stopVM(w.pickVM(a)) },
	"killTarget":   func(w *world, a, _ int) { w.pickServer(a).kill() },
	"startTarget":  func(w *world, a, _ int) { w.pickServer(a).start() },
	"crashTarget":  func(w *world, a, _ int) { w.pickServer(a).target.Crash() },
	"freezeTarget": func(w *world, a, _ int) { w.pickServer(a).freeze(true) },
	"thawTarget":   func(w *world, a, _ int) { w.pickServer(a).freeze(false) },
	"coldTarget":   func(w *world, a, _ int) { w.pickServer(a).becomeCold() },
	"answers":      func(w *world, a, b int) { w.pickServer(a).setFaults(0, 2+b%6) },
	"silence":      func(w *world, a, b int) { w.pickServer(a).setFaults(3+b%6, 0) },
	"messages":     func(w *world, _, b int) { w.setMessageFaults(2+b%10, true) },
	"cutZone":      func(w *world, a, _ int) { w.cutZone([]model.Zone{"a", "b", "c", "log"}[a%4]) },
	"healNetwork":  func(w *world, _, _ int) { w.healNetwork() },
	"logDown":      func(w *world, _, _ int) { w.log.setFaults(true, 0) },
	"logUp":        func(w *world, _, b int) { w.log.setFaults(false, b%4) },
	"drainTarget":  func(w *world, a, _ int) { w.toggleDrain(a) },
	"zoneOutOrIn":  func(w *world, a, _ int) { w.toggleZone([]model.Zone{"a", "b"}[a%2]) },
}

func (w *world) pickVM(n int) *vm         { return w.vms[n%len(w.vms)] }
func (w *world) pickServer(n int) *server { return w.servers[n%len(w.servers)] }

// stopVM starts a planned stop of a process and kills the process afterwards, unless a new one has replaced it.
func (w *world) stopVM(v *vm) {
	p := v.current()
	if !p.acceptsRequests() {
		return
	}
	w.tasks.Go(func() {
		p.stop()
		if v.current() == p {
			p.kill()
		}
	})
}

func (w *world) setMessageFaults(faultOneIn int, delay bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.messageFaultOneIn, w.delayMessages = faultOneIn, delay
}

func (w *world) cutZone(zone model.Zone) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut[zone] = true
}

func (w *world) healNetwork() {
	w.mu.Lock()
	defer w.mu.Unlock()
	clear(w.cut)
}

func (w *world) toggleDrain(n int) {
	id := w.pickServer(n).id
	to := w.config.Clone()
	changed := to.Targets[id]
	changed.Drain = !changed.Drain
	to.Targets[id] = changed
	w.publish(to)
}

func (w *world) toggleZone(zone model.Zone) {
	to := w.config.Clone()
	changed := to.Zones[zone]
	changed.OutOfService = !changed.OutOfService
	to.Zones[zone] = changed
	w.publish(to)
}

// script returns a generator of the actions of one run. They are drawn before the bubble of the run starts.
func script() *rapid.Generator[[]action] {
	names := slices.Sorted(maps.Keys(faults))
	one := rapid.Custom(func(t *rapid.T) action {
		return action{
			name: rapid.SampledFrom(names).Draw(t, "name"),
			a:    rapid.IntRange(0, 419).Draw(t, "a"), b: rapid.IntRange(0, 59).Draw(t, "b"),
			span: rapid.SampledFrom(spans).Draw(t, "span"),
		}
	})
	return rapid.SliceOfN(one, 10, 30)
}

// inWorld runs work with a new world in a synctest bubble and returns the first maxShown violations.
func inWorld(t *testing.T, seed uint64, work func(w *world)) []string {
	var failures []string
	synctest.Test(t, func(*testing.T) {
		w := newWorld(seed)
		time.Sleep(startupTime)
		work(w)
		w.shutdown()
		w.oracle.check()
		failures = w.failures
	})
	return failures[:min(len(failures), maxShown)]
}

// TestRequestsUnderFaults guards against double runs, wrong outcomes, responses to another request, requests outside
// their home regions, retries beyond the budget, and a system that does not recover.
func TestRequestsUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		actions := script().Draw(rt, "actions")
		failures := inWorld(t, seed, func(w *world) {
			stop := make(chan struct{})
			w.tasks.Go(func() { w.runCallers(stop, loadInterval) })
			for _, act := range actions {
				faults[act.name](w, act.a, act.b)
				time.Sleep(act.span)
			}
			w.healAll()
			w.awaitServed(recoveryLimit, "after all faults ended")
			close(stop)
			time.Sleep(quietTime)
			w.failOneProcess()
			w.awaitServed(failoverLimit, "after a single failure")
		})
		if len(failures) > 0 {
			rt.Fatalf("%s", strings.Join(failures, "\n"))
		}
	})
}

// failOneProcess ends the process of an entry VM or of a target.
func (w *world) failOneProcess() {
	if w.oneIn(2) {
		v := w.pickVM(w.randomInt(len(w.vms)))
		v.current().kill()
		return
	}
	s := w.pickServer(w.randomInt(len(w.servers)))
	s.kill()
}

// awaitServed requires that, within limit, every running VM serves every key of all tenants whose home regions allow
// the VM's region. The first entry of tenants is skipped, because it is listed twice.
func (w *world) awaitServed(limit time.Duration, when string) {
	started := time.Now()
	end := started.Add(limit)
	results := make(chan string, 1000)
	count := 0
	for i, tenant := range tenants[1:] {
		for key := range keysPerTenant {
			for _, v := range w.vms {
				class := model.ClassOf(homeRegions(tenant))
				if p := v.current(); !p.acceptsRequests() || !class.Allows(v.region) {
					continue
				}
				count++
				request := w.probe(i, key, tenant)
				w.tasks.Go(func() { results <- w.awaitRun(request, v, end) })
			}
		}
	}
	var failures []string
	for range count {
		if unserved := <-results; unserved != "" {
			failures = append(failures, unserved)
		}
	}
	if len(failures) > 0 {
		w.fail("%s %d of %d keys are not served within %v: %s", when, len(failures), count, limit, failures[0])
	}
}

// probe returns an idempotent request that checks whether a key of a tenant is served.
func (w *world) probe(tenantIndex, key int, tenant model.Tenant) *callerRequest {
	home, marker := model.Region(""), "any"
	if regions := homeRegions(tenant); len(regions) > 0 {
		home, marker = regions[0], regionMarker(regions[0])
	}
	return &callerRequest{
		name: fmt.Sprintf("probe-%d-%d-%d", tenantIndex, key, w.randomInt(1<<30)), tenant: tenant, service: keyedService,
		key:        keyName(home, key),
		idempotent: true, path: "/" + marker, body: []byte(marker),
	}
}

// awaitRun repeats a request until it has run. If that takes longer than until end, it returns the last response.
func (w *world) awaitRun(request *callerRequest, v *vm, end time.Time) string {
	last := "no response"
	for time.Now().Before(end) {
		submitted := w.sendRequest(context.Background(), request, v, time.Until(end))
		if submitted != nil && submitted.known && submitted.response.Outcome == result.Ran {
			return ""
		}
		if submitted != nil {
			last = fmt.Sprintf("%s key %s at %s: code %d", request.tenant, request.key, v.id, submitted.response.Code)
		}
		time.Sleep(25 * time.Millisecond)
	}
	return last
}
