package bench

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/tarragonpoint/tarragonpoint/internal/balance"
	"github.com/tarragonpoint/tarragonpoint/internal/kernel"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/placement"
	"github.com/tarragonpoint/tarragonpoint/internal/route"
)

// sim simulates one deployment with one stack.
type sim struct {
	clock
	deployment Deployment
	stack      Stack
	seed       uint64
	vms        []*entryVM
	loads      []*load
	logDown    bool
	// linkFreeAt holds, for each region, the instant at which its outgoing cross-region link becomes free.
	linkFreeAt map[model.Region]model.Instant
	// linkBytes counts the bytes that were sent between regions.
	linkBytes int
}

func newSim(deployment Deployment, stack Stack, seed uint64) (*sim, error) {
	s := &sim{deployment: deployment, stack: stack, seed: seed, linkFreeAt: map[model.Region]model.Instant{}}
	for i := range deployment.EntryVMs {
		policy, err := kernel.New[balance.Policy](stack.Balance)
		if err != nil {
			return nil, err
		}
		policy.Seed(seed + uint64(i))
		s.vms = append(s.vms, &entryVM{
			sim: s, id: model.VMID(fmt.Sprintf("vm%02d", i)), zone: deployment.Zones[i%len(deployment.Zones)],
			alive: true, policy: policy, spill: balance.NewSpillBudget(spillBytesPerSecond, 0),
			services: map[*load]*entryService{},
		})
	}
	for i := range deployment.Services {
		s.addLoad(deployment.Services[i], seed+uint64(i)*1000)
	}
	return s, nil
}

func (s *sim) addLoad(spec Service, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 7))
	l := &load{
		sim: s, spec: spec, byID: map[model.TargetID]*server{}, random: random,
		keys:    rand.NewZipf(random, keySkew, 1, keyCount),
		latency: hdrhistogram.New(1, histogramMax, 3),
	}
	s.loads = append(s.loads, l)
	for i := range spec.Instances {
		s.addServer(l, i)
	}
	if spec.Keyed {
		for i := range s.deployment.HashSlots {
			id := model.Slot{Service: spec.Name, Class: model.AnyRegion, Index: uint32(i)}
			l.slots = append(l.slots, placement.Slot{ID: id})
		}
		l.readyAt = make([]model.Instant, len(l.slots))
		l.currentDowntime = make([]time.Duration, len(l.slots))
		l.requests, l.rates = make([]int, len(l.slots)), make([]float64, len(l.slots))
		l.plan(true)
		s.every(sampleInterval, l.sampleDowntime)
	}
	for _, vm := range s.vms {
		vm.addService(l)
	}
	l.scheduleArrival()
}

func (s *sim) addServer(l *load, i int) {
	zone := s.deployment.Zones[i%len(s.deployment.Zones)]
	lessor := s.vms[i%len(s.deployment.Zones)]
	target := &route.Target{
		ID:      model.TargetID(fmt.Sprintf("%s-%02d", l.spec.Name, i)),
		Service: l.spec.Name, Zone: zone.Name, Region: zone.Region, InService: true,
		Status: &route.Status{Serving: true, Limit: s.deployment.Concurrency, Lessor: lessor.id},
	}
	added := &server{sim: s, route: target, lessor: lessor, alive: true, slow: 1}
	l.servers = append(l.servers, added)
	l.targets = append(l.targets, target)
	l.byID[target.ID] = added
	s.after(probeInterval*time.Duration(i)/time.Duration(l.spec.Instances), func() {
		s.every(probeInterval, func() { s.probe(l, added) })
	})
}

// probe reads the load of a target, which the entry VMs receive after reportLag.
func (s *sim) probe(l *load, probed *server) {
	probed.updateStatus()
	if !probed.alive || s.stack.NoReports {
		return
	}
	value := probed.running + len(probed.queue)
	s.after(reportLag, func() {
		for _, vm := range s.vms {
			vm.services[l].tracker.Report(s.now, probed.route.ID, value)
		}
	})
}

// shareInFlightCounts sums, for each target, the in-flight requests of the entry VMs in its zone, and sends the sum to
// these VMs as a new load report of the target.
func (s *sim) shareInFlightCounts() {
	for _, l := range s.loads {
		for _, target := range l.targets {
			sums := map[model.Zone]int{}
			for _, vm := range s.vms {
				sums[vm.zone.Name] += vm.services[l].tracker.InFlight(target.ID)
			}
			s.after(sameZone, func() { s.deliverCounts(l, target, sums[target.Zone]) })
		}
	}
}

func (s *sim) deliverCounts(l *load, target *route.Target, sum int) {
	for _, vm := range s.vms {
		if vm.zone.Name == target.Zone {
			vm.services[l].tracker.Report(s.now, target.ID, sum)
		}
	}
}

// run runs a scenario for its duration.
func (s *sim) run(scenario Scenario) {
	for _, fault := range scenario.Faults {
		s.after(fault.At, func() { fault.Apply(s) })
	}
	s.every(planInterval, func() {
		for _, l := range s.loads {
			switch {
			case !l.spec.Keyed:
			case s.logDown:
				l.planWithoutLog()
			default:
				l.plan(false)
			}
		}
	})
	if s.stack.CountEvery > 0 {
		s.every(s.stack.CountEvery, s.shareInFlightCounts)
	}
	s.runUntil(model.Instant(scenario.Duration))
}

// pickVM selects one of the entry VMs that are alive by pick, a random number in [0, 1).
func (s *sim) pickVM(pick float64) *entryVM {
	var alive []*entryVM
	for _, vm := range s.vms {
		if vm.alive {
			alive = append(alive, vm)
		}
	}
	return alive[int(pick*float64(len(alive)))]
}

// capacityPerVM returns one entry VM's share of the capacity of a service, in concurrent requests.
func (s *sim) capacityPerVM(l *load) float64 {
	return float64(l.spec.Instances*s.deployment.Concurrency) / float64(len(s.vms))
}

func (s *sim) networkDelay(a, b Zone) time.Duration {
	switch {
	case a.Name == b.Name:
		return sameZone
	case a.Region == b.Region:
		return betweenZones
	default:
		return betweenRegions
	}
}

// transferTime returns the time to send half of the bytes of a request from a to b, including the wait for the
// cross-region link. It counts the bytes that cross regions.
func (s *sim) transferTime(a, b Zone) time.Duration {
	if a.Region == b.Region {
		return s.networkDelay(a, b)
	}
	const bytes = requestBytes / 2
	s.linkBytes += bytes
	transfer := bytes * 8 * time.Second / linkBitsPerSecond
	s.linkFreeAt[a.Region] = max(s.linkFreeAt[a.Region], s.now).Add(transfer)
	return s.linkFreeAt[a.Region].Sub(s.now) + s.networkDelay(a, b)
}

func keyName(rank uint64) string { return strconv.FormatUint(rank, 10) }
