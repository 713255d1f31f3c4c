package requests

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/tarragonpoint/tarragonpoint/internal/config"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/record"
	"github.com/tarragonpoint/tarragonpoint/internal/route"
	"github.com/tarragonpoint/tarragonpoint/internal/target"
)

const (
	review = model.Service("draft-review")
	desk   = model.Service("alert-desk")

	region    = model.Region("nh-seacoast")
	regionFar = model.Region("mass-central")

	tenantAny  = model.Tenant("harbor-fund")
	tenantNear = model.Tenant("seacoast-trust")
	tenantFar  = model.Tenant("worcester-trust")

	slots         = 4
	keysPerTenant = 4
	maxSkew       = 125 * time.Millisecond
)

var tenants = []model.Tenant{tenantAny, tenantAny, tenantNear, tenantFar}

func homeOf(tenant model.Tenant) []model.Region {
	switch tenant {
	case tenantNear:
		return []model.Region{region}
	case tenantFar:
		return []model.Region{regionFar}
	default:
		return nil
	}
}

// markOf is in every key, path and body of a tenant with the home region.
func markOf(home model.Region) string { return "only-" + string(home) }

func keyOf(home model.Region, key int) string { return fmt.Sprintf("%s-%d", markOf(home), key) }

// vm is an entry VM.
type vm struct {
	id     model.VMID
	zone   model.Zone
	region model.Region
	skew   time.Duration
	mu     sync.Mutex
	p      *process
}

func (v *vm) current() *process {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.p
}

// world is the deployment and its faults. Its methods are safe for concurrent use.
type world struct {
	vms     []*vm
	servers []*server
	secrets []secret
	log     *fakeLog
	config  config.State
	done    chan struct{}
	oracle  *oracle
	load    sync.WaitGroup

	mu        sync.Mutex
	random    *rand.Rand
	cut       map[model.Zone]bool
	loseOneIn int
	late      bool
	processes []*process
	failures  []string
}

func (w *world) draw(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.random.IntN(n)
}

func (w *world) chance(oneIn int) bool { return w.draw(oneIn) == 0 }

func (w *world) fail(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failures = append(w.failures, fmt.Sprintf(format, args...))
}

// newWorld starts zones a and b in one region and zone c in another.
func newWorld(seed uint64) *world {
	w := &world{random: rand.New(rand.NewPCG(seed, 1)), cut: map[model.Zone]bool{}, done: make(chan struct{})}
	w.log = &fakeLog{w: w, streams: map[record.Stream][]record.Entry{}}
	w.oracle = newOracle(w)
	w.secrets = append(secretsOf(region), secretsOf(regionFar)...)
	w.config = config.Empty()
	state := w.config.Clone()
	for _, name := range []model.Service{review, desk} {
		state.Services[name] = config.Service{
			Name: name, Keyed: name == review, Slots: slots, Fencing: route.FencingChecked, Concurrency: concurrency,
			ColdStart: coldStart, ColdInitial: 1, Timeout: 5 * time.Second,
		}
	}
	for _, name := range tenants {
		state.Tenants[name] = config.Tenant{Name: name, HomeRegions: homeOf(name)}
	}
	for i, zone := range []model.Zone{"a", "b", "c"} {
		at := region
		if zone == "c" {
			at = regionFar
		}
		w.addZone(&state, i, zone, at)
	}
	w.publish(state)
	for _, v := range w.vms {
		w.start(v)
	}
	return w
}

func (w *world) addZone(state *config.State, index int, zone model.Zone, at model.Region) {
	state.Regions[at] = config.Region{Name: at}
	state.Zones[zone] = config.Zone{Name: zone, Region: at}
	for i := range 2 + index%2 {
		skew := time.Duration(w.draw(int(2*maxSkew))) - maxSkew
		w.vms = append(w.vms, &vm{id: model.VMID(fmt.Sprintf("entry-%s%d", zone, i)), zone: zone, region: at, skew: skew})
	}
	for _, service := range []model.Service{review, desk} {
		for i := range 2 {
			id := model.TargetID(fmt.Sprintf("%s-%s%d", service, zone, i))
			address := target.Address(fmt.Sprintf("127.0.0.1:%d", 20001+len(w.servers)))
			state.Targets[id] = config.Target{ID: id, Service: service, Zone: zone, VM: model.VMID(id), Address: address}
			w.servers = append(w.servers, newServer(w, id, zone, at))
		}
	}
}

func (w *world) serverAt(address target.Address) *server {
	var port int
	_, _ = fmt.Sscanf(string(address), "127.0.0.1:%d", &port)
	return w.servers[port-20001]
}

func (w *world) vmByID(id model.VMID) *vm {
	for _, v := range w.vms {
		if v.id == id {
			return v
		}
	}
	return nil
}

func (w *world) seeds(self model.VMID) map[model.VMID]string {
	seeds := map[model.VMID]string{}
	for _, v := range w.vms {
		if v.id != self {
			seeds[v.id] = string(v.id) + ":1"
		}
	}
	return seeds
}

// publish appends a configuration. Only one goroutine calls it.
func (w *world) publish(to config.State) {
	patch, err := config.Diff(w.config, to, "operator")
	if err != nil {
		w.fail("configuration: %v", err)
		return
	}
	w.config = to
	w.config.Version = w.log.store(record.ConfigStream, record.Record{ID: record.NewID(), ConfigPatch: &patch})
}

// start starts a process with empty memory on a VM, in place of the old one.
func (w *world) start(v *vm) *process {
	if old := v.current(); old != nil {
		old.kill()
	}
	p := newProcess(w, v)
	w.mu.Lock()
	w.processes = append(w.processes, p)
	w.mu.Unlock()
	v.mu.Lock()
	defer v.mu.Unlock()
	v.p = p
	return p
}

// healAll ends all faults.
func (w *world) healAll() {
	w.mu.Lock()
	clear(w.cut)
	w.loseOneIn, w.late = 0, false
	w.mu.Unlock()
	w.log.set(false, 0)
	for _, v := range w.vms {
		v.current().resume()
		if !v.current().takesRequests() {
			w.start(v)
		}
	}
	for _, s := range w.servers {
		s.freeze(false)
		s.setFaults(0, 0)
		s.start()
	}
	restored := w.config.Clone()
	for id, t := range restored.Targets {
		t.Drain = false
		restored.Targets[id] = t
	}
	for name, zone := range restored.Zones {
		zone.OutOfService = false
		restored.Zones[name] = zone
	}
	w.publish(restored)
}

func (l *fakeLog) set(down bool, loseOneIn int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down, l.loseOneIn = down, loseOneIn
}

// end stops everything, so that the bubble has no goroutine left.
func (w *world) end() {
	w.load.Wait()
	for _, s := range w.servers {
		s.freeze(false)
	}
	for _, p := range w.processes {
		p.kill()
	}
	close(w.done)
	for _, s := range w.servers {
		_ = s.http.Close()
	}
	time.Sleep(time.Minute)
	synctest.Wait()
}

func decode(encoded []byte, into any) error { return cbor.Unmarshal(encoded, into) }
