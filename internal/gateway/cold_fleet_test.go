package gateway

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tarragonpoint/tarragonpoint/internal/fleet"
	"github.com/tarragonpoint/tarragonpoint/internal/hub"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/shares"
)

const (
	// coldStep is the resolution of the simulation, and coldRate the limit of each cold target in requests per second.
	coldStep = 10 * time.Millisecond
	coldRate = 13.85
	// coldTargets is the number of cold targets; each gets all the requests that the VMs may send.
	coldTargets = 20
)

// coldFleet simulates VMs that send to cold targets, in virtual time: the hub of the leader, the leases and the limiter of each VM
// are the real ones, links and processes are simulated.
type coldFleet struct {
	now    model.Instant
	random *rand.Rand
	vms    map[string]*coldVM
	starts int
	// leaders holds the server of each leader so far; the last one is the current one. One that was replaced goes on until
	// its last confirmation by the store has expired.
	leaders []*coldLeader
	// sent holds the times of the requests to each target.
	sent [coldTargets][]model.Instant
}

type coldLeader struct {
	server *hub.Server
	// confirmedUntil is when the store's last confirmation of the leadership expires, if it was replaced; 0 before.
	confirmedUntil model.Instant
	// hasEnded is true if the process of the leader has ended.
	hasEnded bool
}

// coldVM is one start of a VM.
type coldVM struct {
	name, incarnation string
	limiter           *coldLimiter
	shares            *shares.Holder
	// isLinked is true once the VM has sent a report to its leader.
	isLinked bool
	// reportAt is when the VM sends its next report, pausedUntil when it runs again, cutUntil when its link works again.
	reportAt, pausedUntil, cutUntil model.Instant
	// outbox holds reports and inbox grants that are under way, by their time of arrival.
	outbox []arrivingReport
	inbox  []arrivingGrant
	// leader is the index of the leader to which the VM is connected.
	leader int
	// switchAt is when the VM learns of the current leader.
	switchAt model.Instant
}

type arrivingReport struct {
	at     model.Instant
	leader *coldLeader
	report hub.Report
}

type arrivingGrant struct {
	at    model.Instant
	grant shares.Grant
}

func newColdFleet(seed uint64, vms int) *coldFleet {
	f := &coldFleet{now: model.Instant(time.Hour), random: rand.New(rand.NewPCG(seed, 0)), vms: map[string]*coldVM{}}
	f.replaceLeader(false)
	for i := range vms {
		f.start(fmt.Sprintf("vm-%03d", i))
	}
	return f
}

// replaceLeader makes another process the leader. The former one ends, or does not notice for as long as the store's last
// confirmation counts.
func (f *coldFleet) replaceLeader(ends bool) {
	if last := len(f.leaders) - 1; last >= 0 {
		f.leaders[last].confirmedUntil = f.now.Add(shares.ConfirmationTTL)
		f.leaders[last].hasEnded = ends
	}
	leader := &coldLeader{}
	leader.server = hub.NewServer(
		func() model.Instant { return f.now }, func() bool { return !leader.hasEnded },
		func(now model.Instant) bool { return leader.confirmedUntil == 0 || now < leader.confirmedUntil }, func(hub.Report) {},
		10*time.Second,
	)
	leader.server.BeginTerm(len(f.leaders) > 0)
	f.leaders = append(f.leaders, leader)
	for _, name := range f.names() {
		f.vms[name].switchAt = f.now.Add(f.delay(time.Second))
	}
}

func (f *coldFleet) start(name string) {
	f.starts++
	holder := shares.NewHolder()
	f.vms[name] = &coldVM{
		name: name, incarnation: fmt.Sprintf("%s/%d", name, f.starts), limiter: newColdLimiter(holder.InGroup), shares: holder,
		leader: len(f.leaders) - 1, reportAt: f.now.Add(f.delay(hub.ReportInterval)),
	}
}

// end ends the process of a VM.
func (f *coldFleet) end(name string) { delete(f.vms, name) }

// names returns the names of the running VMs in order, so that a seed plays the same run.
func (f *coldFleet) names() []string {
	names := make([]string, 0, len(f.vms))
	for i := range 1000 {
		if name := fmt.Sprintf("vm-%03d", i); f.vms[name] != nil {
			names = append(names, name)
		}
	}
	return names
}

func (f *coldFleet) delay(limit time.Duration) time.Duration {
	return time.Duration(f.random.Int64N(int64(limit)))
}

// run plays the fleet for some time, with an event from events about every interval.
func (f *coldFleet) run(length, interval time.Duration, events ...func()) {
	end, next := f.now.Add(length), f.now
	for ; f.now < end; f.now = f.now.Add(coldStep) {
		if len(events) > 0 && f.now >= next {
			events[f.random.IntN(len(events))]()
			next = f.now.Add(interval/2 + f.delay(interval))
		}
		for _, name := range f.names() {
			f.deliver(f.vms[name])
			f.step(f.vms[name])
		}
	}
}

// deliver passes the reports of a VM that arrive now to their leaders, which respond with a grant.
func (f *coldFleet) deliver(vm *coldVM) {
	for len(vm.outbox) > 0 && vm.outbox[0].at <= f.now {
		arrived := vm.outbox[0]
		vm.outbox = vm.outbox[1:]
		if arrived.leader.hasEnded {
			continue
		}
		_, grant := arrived.leader.server.HandleOwnReport(arrived.report)
		at := f.now.Add(f.transit())
		if n := len(vm.inbox); n > 0 {
			at = max(at, vm.inbox[n-1].at)
		}
		vm.inbox = append(vm.inbox, arrivingGrant{at: at, grant: grant})
	}
}

// transit returns the time that a message takes, which is long for one in twenty.
func (f *coldFleet) transit() time.Duration {
	transit := 2*time.Millisecond + f.delay(30*time.Millisecond)
	if f.random.IntN(20) == 0 {
		transit += f.delay(time.Second)
	}
	return transit
}

func (f *coldFleet) step(vm *coldVM) {
	if f.now < vm.pausedUntil {
		return
	}
	for len(vm.inbox) > 0 && vm.inbox[0].at <= f.now {
		vm.shares.Apply(vm.inbox[0].grant)
		vm.inbox = vm.inbox[1:]
	}
	if current := len(f.leaders) - 1; vm.leader != current && f.now >= vm.switchAt && f.now >= vm.cutUntil {
		vm.leader, vm.isLinked = current, false
	}
	if f.now >= vm.reportAt {
		vm.reportAt = f.now.Add(hub.ReportInterval)
		f.report(vm)
	}
	for target := range coldTargets {
		if vm.allow(f.now, fleet.Incarnation{ID: model.TargetID(fmt.Sprintf("cold-%d", target))}) {
			f.sent[target] = append(f.sent[target], f.now)
		}
	}
}

// report sends a report of a VM to its leader.
func (f *coldFleet) report(vm *coldVM) {
	leader := f.leaders[vm.leader]
	if f.now < vm.cutUntil || leader.hasEnded {
		return
	}
	at := f.now.Add(f.transit())
	if n := len(vm.outbox); n > 0 {
		at = max(at, vm.outbox[n-1].at)
	}
	vm.outbox = append(vm.outbox, arrivingReport{at: at, leader: leader, report: hub.Report{
		VM: vm.name, Incarnation: vm.incarnation, Shares: vm.shares.Request(f.now, !vm.isLinked),
	}})
	vm.isLinked = true
}

// allow reports whether the VM sends a request to a cold target now.
func (vm *coldVM) allow(now model.Instant, target fleet.Incarnation) bool {
	return vm.limiter.allow(now, target, coldRate, true)
}

// most returns the largest number of requests that a target got in one second.
func (f *coldFleet) most() int {
	most := 0
	for _, sent := range f.sent {
		first := 0
		for i := range sent {
			for sent[i].Sub(sent[first]) >= time.Second {
				first++
			}
			most = max(most, i-first+1)
		}
	}
	return most
}

// randomVM returns the name of a running VM.
func (f *coldFleet) randomVM() string {
	names := f.names()
	return names[f.random.IntN(len(names))]
}

// Guards against more requests to a cold target than its limit, over all VMs, while VMs and leaders come and go: VMs that share the
// limit under different counts of VMs add up.
func TestColdLimitHoldsWhileVMsComeAndGo(t *testing.T) {
	t.Parallel()
	for _, vms := range []int{1, 3, 12, 60} {
		for seed := range uint64(3) {
			f := newColdFleet(seed, vms)
			f.run(15*time.Second, time.Hour)
			added := vms
			f.run(30*time.Second, 700*time.Millisecond,
				func() { f.start(fmt.Sprintf("vm-%03d", added)); added++ },
				func() {
					if len(f.vms) > 1 {
						f.end(f.randomVM())
					}
				},
				func() { f.start(f.randomVM()) },
				func() { f.vms[f.randomVM()].pausedUntil = f.now.Add(f.delay(6 * time.Second)) },
				func() { f.vms[f.randomVM()].cutUntil = f.now.Add(f.delay(8 * time.Second)) },
				func() { f.replaceLeader(f.random.IntN(2) == 0) },
			)
			assert.LessOrEqual(t, float64(f.most()), coldRate, "%d VMs, seed %d", vms, seed)
		}
	}
}

// Guards against cold targets without requests: VMs that come and go leave most targets their senders.
func TestColdTargetsWarmUpWhileVMsComeAndGo(t *testing.T) {
	t.Parallel()
	for _, vms := range []int{1, 3, 12, 60, 300} {
		f := newColdFleet(1, vms)
		f.run(15*time.Second, time.Hour)
		f.sent = [coldTargets][]model.Instant{}
		start := f.now
		f.run(10*time.Second, time.Second, func() { f.start(f.randomVM()) })
		got := 0
		for target, sent := range f.sent {
			require.NotEmpty(t, sent, "%d VMs, target %d", vms, target)
			got += len(sent)
		}
		perSecond := float64(got) / coldTargets / f.now.Sub(start).Seconds()
		if vms >= 12 {
			require.GreaterOrEqual(t, perSecond, coldRate/2, "%d VMs", vms)
		}
	}
}
