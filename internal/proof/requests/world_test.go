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
	keyedService   = model.Service("draft-review")
	unkeyedService = model.Service("alert-desk")

	regionSeacoast = model.Region("nh-seacoast")
	regionCentral  = model.Region("mass-central")

	tenantAny      = model.Tenant("harbor-fund")
	tenantSeacoast = model.Tenant("seacoast-trust")
	tenantCentral  = model.Tenant("worcester-trust")

	slots         = 4
	keysPerTenant = 4
	maxClockSkew  = 125 * time.Millisecond
)

// tenants are the tenants of the random requests. tenantAny is listed twice, so that it sends half of them.
var tenants = []model.Tenant{tenantAny, tenantAny, tenantSeacoast, tenantCentral}

func homeRegions(tenant model.Tenant) []model.Region {
	switch tenant {
	case tenantSeacoast:
		return []model.Region{regionSeacoast}
	case tenantCentral:
		return []model.Region{regionCentral}
	default:
		return nil
	}
}

// regionMarker returns the text in every key, path and body of a tenant with the home region.
func regionMarker(home model.Region) string { return "only-" + string(home) }

func keyName(home model.Region, key int) string { return fmt.Sprintf("%s-%d", regionMarker(home), key) }

// vm is an entry VM. clockSkew is the error of its wall clock.
type vm struct {
	id        model.VMID
	zone      model.Zone
	region    model.Region
	clockSkew time.Duration
	mu        sync.Mutex
	process   *process
}

func (v *vm) current() *process {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.process
}

// world simulates the deployment and its faults. Its methods are safe for concurrent use unless they say otherwise.
type world struct {
	vms     []*vm
	servers []*server
	secrets []secret
	log     *fakeLog
	config  config.State
	done    chan struct{}
	oracle  *oracle
	// tasks are the goroutines that shutdown waits for before it stops the processes.
	tasks sync.WaitGroup

	mu     sync.Mutex
	random *rand.Rand
	// cut holds the zones that are partitioned from all others. "log" stands for the log service.
	cut map[model.Zone]bool
	// messageFaultOneIn is n if one in n messages between entry VMs is dropped or duplicated; 0 means none.
	messageFaultOneIn int
	// delayMessages lets some messages between entry VMs arrive late.
	delayMessages bool
	processes     []*process
	failures      []string
}

func (w *world) randomInt(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.random.IntN(n)
}

func (w *world) oneIn(oneIn int) bool { return w.randomInt(oneIn) == 0 }

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
	w.secrets = append(secretsOf(regionSeacoast), secretsOf(regionCentral)...)
	w.config = config.Empty()
	state := w.config.Clone()
	for _, name := range []model.Service{keyedService, unkeyedService} {
		state.Services[name] = config.Service{
			Name: name, Keyed: name == keyedService, Slots: slots, Fencing: route.FencingChecked, Concurrency: concurrency,
			ColdStart: coldStart, ColdInitial: 1, Timeout: 5 * time.Second,
		}
	}
	for _, name := range tenants {
		state.Tenants[name] = config.Tenant{Name: name, HomeRegions: homeRegions(name)}
	}
	for i, zone := range []model.Zone{"a", "b", "c"} {
		region := regionSeacoast
		if zone == "c" {
			region = regionCentral
		}
		w.addZone(&state, i, zone, region)
	}
	w.publish(state)
	for _, v := range w.vms {
		w.start(v)
	}
	return w
}

func (w *world) addZone(state *config.State, index int, zone model.Zone, region model.Region) {
	state.Regions[region] = config.Region{Name: region}
	state.Zones[zone] = config.Zone{Name: zone, Region: region}
	for i := range 2 + index%2 {
		skew := time.Duration(w.randomInt(int(2*maxClockSkew))) - maxClockSkew
		w.vms = append(w.vms, &vm{
			id: model.VMID(fmt.Sprintf("entry-%s%d", zone, i)), zone: zone, region: region, clockSkew: skew,
		})
	}
	for _, service := range []model.Service{keyedService, unkeyedService} {
		for i := range 2 {
			id := model.TargetID(fmt.Sprintf("%s-%s%d", service, zone, i))
			address := target.Address(fmt.Sprintf("127.0.0.1:%d", 20001+len(w.servers)))
			state.Targets[id] = config.Target{ID: id, Service: service, Zone: zone, VM: model.VMID(id), Address: address}
			w.servers = append(w.servers, newServer(w, id, zone, region))
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

// publish appends a configuration to the log. It must not be called concurrently.
func (w *world) publish(to config.State) {
	patch, err := config.Diff(w.config, to, "operator")
	if err != nil {
		w.fail("cannot diff the configuration: %v", err)
		return
	}
	w.config = to
	w.config.Version = w.log.store(record.ConfigStream, record.Record{ID: record.NewID(), ConfigPatch: &patch})
}

// start starts a process with empty memory on a VM and kills the former one.
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
	v.process = p
	return p
}

// healAll ends all faults, starts the processes that have ended, and puts all targets and zones in service.
func (w *world) healAll() {
	w.mu.Lock()
	clear(w.cut)
	w.messageFaultOneIn, w.delayMessages = 0, false
	w.mu.Unlock()
	w.log.setFaults(false, 0)
	for _, v := range w.vms {
		v.current().resume()
		if !v.current().acceptsRequests() {
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

func (l *fakeLog) setFaults(down bool, loseResponseOneIn int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down, l.loseResponseOneIn = down, loseResponseOneIn
}

// shutdown stops all processes and servers, so that no goroutine is left in the bubble. Goroutines that wait for a
// timer have one minute of virtual time to end.
func (w *world) shutdown() {
	w.tasks.Wait()
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
