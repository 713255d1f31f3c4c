package shares

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

const (
	reportInterval = 500 * time.Millisecond
	testWindow     = 10 * time.Second
	// clockRate is the largest deviation of a simulated clock.
	clockRate = 0.01
)

// testLeader is a leader with the clock of its process.
type testLeader struct {
	allocator *Allocator
	rate      float64
	// replacedAt is when another leader replaced it; 0 before.
	replacedAt model.Instant
	// startedAt is when its term began, in true time.
	startedAt model.Instant
}

// testVM is one start of a VM.
type testVM struct {
	name   string
	holder *Holder
	rate   float64
	leader *testLeader
	linked bool
	paused bool
	// reports and grants are under way, in order.
	reports []Request
	grants  []Grant
}

func local(rate float64, now model.Instant) model.Instant { return model.Instant(float64(now) * rate) }

// deployment is a number of VMs with a leader, and the oracle: when each unit was last held, and by whom.
type deployment struct {
	now     model.Instant
	random  func(n int) int
	vms     []*testVM
	leaders []*testLeader
	starts  int
	lastUse [Units]use
	// parts holds the parts of the budget that VMs held, in order of time.
	parts []heldPart
}

type heldPart struct {
	vm   string
	part float64
	at   model.Instant
}

type use struct {
	vm string
	at model.Instant
}

func newDeployment(random func(n int) int, vms int) *deployment {
	d := &deployment{now: model.Instant(time.Hour), random: random}
	d.replaceLeader()
	for range vms {
		d.start()
	}
	return d
}

func (d *deployment) anyRate() float64 { return 1 + clockRate*(float64(d.random(21))-10)/10 }

func (d *deployment) leader() *testLeader { return d.leaders[len(d.leaders)-1] }

func (d *deployment) replaceLeader() {
	if len(d.leaders) > 0 {
		d.leader().replacedAt = d.now
	}
	versions := rand.New(rand.NewPCG(uint64(len(d.leaders)), 1))
	leader := &testLeader{allocator: NewAllocator(testWindow, versions.Uint64), rate: d.anyRate(), startedAt: d.now}
	leader.allocator.Begin(local(leader.rate, d.now), len(d.leaders) > 0)
	d.leaders = append(d.leaders, leader)
}

func (d *deployment) start() {
	d.starts++
	d.vms = append(d.vms, &testVM{name: fmt.Sprintf("vm/%d", d.starts), holder: NewHolder(), rate: d.anyRate(), leader: d.leader()})
}

func (d *deployment) stop(i int) { d.vms = append(d.vms[:i:i], d.vms[i+1:]...) }

// report makes a VM write a report. It does not reach the leader before deliverReport.
func (d *deployment) report(vm *testVM) {
	vm.reports = append(vm.reports, vm.holder.Request(local(vm.rate, d.now), !vm.linked))
	vm.linked = true
}

// connect links a VM to the current leader. Messages on its former link are lost.
func (d *deployment) connect(vm *testVM) {
	vm.leader, vm.linked, vm.reports, vm.grants = d.leader(), false, nil, nil
}

// deliverReport passes the next report of a VM to its leader.
func (d *deployment) deliverReport(vm *testVM) {
	if len(vm.reports) == 0 {
		return
	}
	request := vm.reports[0]
	vm.reports = vm.reports[1:]
	leader := vm.leader
	// The store's last confirmation of a replaced leader is a call that began before it was replaced.
	now := local(leader.rate, d.now)
	if leader.replacedAt != 0 && now.Sub(local(leader.rate, leader.replacedAt)) >= ConfirmationTTL {
		vm.grants = append(vm.grants, Grant{})
		return
	}
	vm.grants = append(vm.grants, leader.allocator.Renew(now, vm.name, vm.name, request, true))
}

func (d *deployment) deliverGrant(vm *testVM) {
	if len(vm.grants) == 0 || vm.paused {
		return
	}
	vm.holder.Apply(vm.grants[0])
	vm.grants = vm.grants[1:]
}

// check returns an error if two VMs use a unit at a time or within a second.
func (d *deployment) check() error {
	for _, vm := range d.vms {
		if vm.paused {
			continue
		}
		now := local(vm.rate, d.now)
		for unit := range Units {
			if now >= vm.holder.heldUntil[unit] {
				continue
			}
			if last := d.lastUse[unit]; last.vm != "" && last.vm != vm.name && d.now.Sub(last.at) < time.Second {
				return fmt.Errorf("%s uses unit %d, %s used it %s before", vm.name, unit, last.vm, d.now.Sub(last.at))
			}
			d.lastUse[unit] = use{vm: vm.name, at: d.now}
		}
	}
	return d.checkParts()
}

// checkParts returns an error if the VMs held more than the budget within its window.
func (d *deployment) checkParts() error {
	for _, vm := range d.vms {
		if part := vm.holder.Part(local(vm.rate, d.now)); part > 0 && !vm.paused {
			d.parts = append(d.parts, heldPart{vm: vm.name, part: part, at: d.now})
		}
	}
	for len(d.parts) > 0 && d.now.Sub(d.parts[0].at) >= testWindow {
		d.parts = d.parts[1:]
	}
	sum, largest := 0.0, map[string]float64{}
	for _, held := range d.parts {
		if more := held.part - largest[held.vm]; more > 0 {
			largest[held.vm] += more
			sum += more
		}
	}
	if sum > 1.000001 {
		return fmt.Errorf("%d VMs held %v of the budget", len(largest), sum)
	}
	return nil
}

// run plays quiet time: every VM reports, and nothing is late.
func (d *deployment) run(t require.TestingT, length time.Duration) {
	for end := d.now.Add(length); d.now < end; d.now = d.now.Add(reportInterval) {
		for _, vm := range d.vms {
			if vm.leader != d.leader() {
				d.connect(vm)
			}
			d.report(vm)
			d.deliverReport(vm)
			d.deliverGrant(vm)
		}
		require.NoError(t, d.check())
	}
}

func (d *deployment) held(vm *testVM) int { return vm.holder.Held(local(vm.rate, d.now)) }

func (d *deployment) heldByAll() int {
	held := 0
	for _, vm := range d.vms {
		held += d.held(vm)
	}
	return held
}

// Guards against limits that several VMs use at a time: no unit is used by two VMs within a second, and the VMs hold no more than
// the budget in its window, whatever is late or lost and whoever comes, goes, pauses or is cut off.
func TestLeasesNeverAddUpToMoreThanTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "choice") }
		d := newDeployment(draw, 1+draw(6))
		d.run(t, 10*time.Second)
		anyVM := func() *testVM { return d.vms[draw(len(d.vms))] }
		t.Repeat(map[string]func(*rapid.T){
			"time passes":     func(*rapid.T) { d.now = d.now.Add(time.Duration(1+draw(40)) * 50 * time.Millisecond) },
			"quiet time":      func(t *rapid.T) { d.run(t, time.Duration(1+draw(10))*time.Second) },
			"start":           func(*rapid.T) { d.start() },
			"replace leader":  func(*rapid.T) { d.replaceLeader() },
			"connect":         func(*rapid.T) { d.connect(anyVM()) },
			"report":          func(*rapid.T) { d.report(anyVM()) },
			"report arrives":  func(*rapid.T) { d.deliverReport(anyVM()) },
			"grant arrives":   func(*rapid.T) { d.deliverGrant(anyVM()) },
			"pause or resume": func(*rapid.T) { vm := anyVM(); vm.paused = !vm.paused },
			"stop": func(*rapid.T) {
				if len(d.vms) > 1 {
					d.stop(draw(len(d.vms)))
				}
			},
			"all report": func(*rapid.T) {
				for _, vm := range d.vms {
					d.report(vm)
					d.deliverReport(vm)
				}
			},
			"": func(t *rapid.T) { require.NoError(t, d.check()) },
		})
	})
}

// Whatever the number of VMs, all units are in use, each VM has an equal part of them, and no group depends on one VM.
func TestAllUnitsAreInUse(t *testing.T) {
	for _, vms := range []int{1, 2, 3, 4, 5, 11, 83, 300} {
		d := newDeployment(func(n int) int { return n / 2 }, vms)
		d.run(t, 20*time.Second)
		assert.Equal(t, Units, d.heldByAll(), "%d VMs", vms)
		fair := (Units + vms - 1) / vms
		for _, vm := range d.vms {
			assert.LessOrEqual(t, d.held(vm), fair, "%d VMs", vms)
		}
		for group := range Groups {
			holders := map[string]bool{}
			for index := range UnitsPerGroup {
				holders[d.lastUse[group*UnitsPerGroup+index].vm] = true
			}
			assert.GreaterOrEqual(t, len(holders), min(2, vms), "%d VMs, group %d", vms, group)
		}
	}
}

// Guards against targets that change their senders because some VM came or went.
func TestFewUnitsMoveWhenAVMComesOrGoes(t *testing.T) {
	const vms = 60
	d := newDeployment(func(n int) int { return n / 2 }, vms)
	d.run(t, 20*time.Second)
	for name, change := range map[string]func(){"start": d.start, "stop": func() { d.stop(17) }} {
		before := d.lastUse
		change()
		d.run(t, 20*time.Second)
		moved := 0
		for unit := range Units {
			if d.lastUse[unit].vm != before[unit].vm {
				moved++
			}
		}
		assert.LessOrEqual(t, moved, 2*Units/vms, name)
		assert.Equal(t, Units, d.heldByAll(), name)
	}
}

// Guards against cold targets without requests after a change of the leader: the new one renews the leases that VMs still hold.
func TestLeasesOutliveTheirLeader(t *testing.T) {
	d := newDeployment(func(n int) int { return n / 2 }, 12)
	d.run(t, 20*time.Second)
	d.now = d.now.Add(4 * time.Second)
	d.replaceLeader()
	for range 30 {
		d.run(t, reportInterval)
		require.GreaterOrEqual(t, d.heldByAll(), Units-12)
	}
	d.now = d.now.Add(LeaseTTL)
	d.replaceLeader()
	d.run(t, reportInterval)
	assert.Zero(t, d.heldByAll(), "no VM can still claim a unit")
	d.run(t, 2*(LeaseTTL+ConfirmationTTL))
	assert.Equal(t, Units, d.heldByAll())
}

// Guards against two users of a unit after a leader that did not know that it was replaced granted it to another VM.
func TestNewLeaderWaitsForTheLastLeaseOfTheFormer(t *testing.T) {
	for after := time.Duration(0); after <= ConfirmationTTL; after += 100 * time.Millisecond {
		d := newDeployment(func(n int) int { return n / 2 }, 2)
		d.run(t, 20*time.Second)
		former, late := d.vms[0], d.vms[1]
		d.vms = d.vms[:1]
		d.now = d.now.Add(LeaseTTL + 2*clockMargin + restTime - after/2)
		d.replaceLeader()
		d.start()
		d.now = d.now.Add(after)
		for _, vm := range []*testVM{former, late} {
			// The former leader still answers these reports.
			d.report(vm)
			d.deliverReport(vm)
			d.deliverGrant(vm)
		}
		require.NoError(t, d.check())
		d.vms = append(d.vms, late)
		stays := d.vms[1]
		for range int(3 * LeaseTTL / (50 * time.Millisecond)) {
			d.now = d.now.Add(50 * time.Millisecond)
			d.report(stays)
			d.deliverReport(stays)
			d.deliverGrant(stays)
			require.NoError(t, d.check(), "%s", after)
		}
		require.Equal(t, Units, d.held(stays))
	}
}

// Guards against units of a VM that claimed more than its share that go to another VM while it may use them.
func TestUnitsClaimedInExcessGoToNobodyBeforeTheirLeaseEnds(t *testing.T) {
	d := newDeployment(func(n int) int { return n / 2 }, 1)
	d.run(t, 20*time.Second)
	d.replaceLeader()
	for range 3 {
		d.start()
	}
	// The leader counts four VMs when the first one claims all units.
	for i := len(d.vms) - 1; i >= 0; i-- {
		d.connect(d.vms[i])
		d.report(d.vms[i])
		d.deliverReport(d.vms[i])
		d.deliverGrant(d.vms[i])
		require.NoError(t, d.check())
	}
	d.leader().allocator.assignableFrom = d.now
	d.run(t, 2*LeaseTTL)
	assert.Equal(t, Units, d.heldByAll())
}

// Guards against units that a VM keeps while it stops and sends no requests.
func TestStoppingVMGivesUpItsUnits(t *testing.T) {
	d := newDeployment(func(n int) int { return n / 2 }, 3)
	d.run(t, 20*time.Second)
	stopping := d.vms[0]
	d.vms = d.vms[1:]
	request := stopping.holder.Request(d.now, false)
	request.Ends = true
	assert.Equal(t, Grant{}, d.leader().allocator.Renew(d.now, stopping.name, stopping.name, request, true))
	d.run(t, 2*LeaseTTL)
	assert.Equal(t, Units, d.heldByAll())
}

// Guards against a crash, or a unit granted twice, after a message with values that no VM of this version sends.
func TestOddRequestsAndGrantsAreIgnored(t *testing.T) {
	allocator := NewAllocator(testWindow, func() uint64 { return 0 })
	allocator.Begin(model.Instant(time.Hour), true)
	grant := allocator.Renew(model.Instant(time.Hour), "x", "x/1", Request{Number: 1, Claims: []Unit{3, 3, Units, 65535}}, true)
	assert.Equal(t, []Unit{3}, grant.Units)
	holder := NewHolder()
	assert.False(t, holder.Apply(Grant{Number: 4, Version: 1, Units: []Unit{1}}), "no such report")
	request := holder.Request(model.Instant(time.Hour), true)
	holder.Apply(Grant{Number: request.Number, Version: 9, Units: []Unit{1, Units, 65535}})
	assert.Equal(t, 1, holder.Held(model.Instant(time.Hour)))
}

// Guards against a VM without a part of the budget because others joined or restarted: most of the budget is in use, and a VM that
// joins gets a part at once.
func TestVMsThatJoinGetAPartOfTheBudget(t *testing.T) {
	for _, vms := range []int{1, 3, 83} {
		d := newDeployment(func(n int) int { return n / 2 }, vms)
		d.run(t, 2*connectTime)
		d.start()
		d.run(t, reportInterval)
		joined := d.vms[vms].holder.Part(local(d.vms[vms].rate, d.now))
		assert.InDelta(t, equalPart(vms+1), joined, 1e-9, "%d VMs", vms)
		d.run(t, 2*testWindow)
		sum := 0.0
		for _, vm := range d.vms {
			sum += vm.holder.Part(local(vm.rate, d.now))
		}
		assert.GreaterOrEqual(t, sum, 0.5, "%d VMs", vms)
	}
}

// Guards against a unit with two holders after a claim that arrived when the new leader had already granted the unit.
func TestLateClaimDoesNotTakeALeasedUnit(t *testing.T) {
	d := newDeployment(func(n int) int { return n / 2 }, 1)
	d.run(t, 20*time.Second)
	late := d.vms[0]
	d.replaceLeader()
	d.connect(late)
	d.report(late)
	d.vms = nil
	d.start()
	d.run(t, 2*LeaseTTL)
	assert.Equal(t, Units, d.heldByAll())
	d.vms = append(d.vms, late)
	d.deliverReport(late)
	d.deliverGrant(late)
	d.run(t, 2*LeaseTTL)
	assert.Equal(t, Units, d.heldByAll())
}

// Guards against two users of a unit within a second because the clock of one of them is slow.
func TestUnitsRestAlsoWithSlowClocks(t *testing.T) {
	d := newDeployment(func(n int) int { return n / 2 }, 1)
	slow := d.vms[0]
	slow.rate = 0.98
	d.run(t, 20*time.Second)
	d.start()
	next := d.vms[1]
	for d.held(next) == 0 {
		d.now = d.now.Add(10 * time.Millisecond)
		d.report(next)
		d.deliverReport(next)
		d.deliverGrant(next)
		require.NoError(t, d.check())
	}
}

// Guards against two users of a unit within a second if the clock of its former holder is slow and that of the leader fast.
func TestUnitsRestForASecondOnAnyClock(t *testing.T) {
	const step = time.Millisecond
	d := newDeployment(func(n int) int { return n / 2 }, 2)
	d.leader().rate = 1 + clockRate
	d.leader().allocator.Begin(local(d.leader().rate, d.now), false)
	former, next := d.vms[0], d.vms[1]
	former.rate, next.rate = 1-clockRate, 1+clockRate
	d.run(t, 20*time.Second)
	for end := d.now.Add(2 * LeaseTTL); d.now < end; d.now = d.now.Add(step) {
		d.report(next)
		d.deliverReport(next)
		d.deliverGrant(next)
		require.NoError(t, d.check())
	}
}

// Guards against the same after a change of the leader, if the clocks of the former leader and of its VM are slow.
func TestNewLeaderWaitsOnAnyClock(t *testing.T) {
	const step = time.Millisecond
	d := newDeployment(func(n int) int { return n / 2 }, 1)
	d.leader().rate = 1 - clockRate
	d.leader().allocator.Begin(local(d.leader().rate, d.now), false)
	former := d.vms[0]
	former.rate = 1 - clockRate
	d.run(t, 20*time.Second)
	d.replaceLeader()
	d.leader().rate = 1 + clockRate
	d.leader().allocator.Begin(local(d.leader().rate, d.now), true)
	d.start()
	next := d.vms[1]
	next.rate = 1 + clockRate
	// The last report that the former leader answers.
	d.now = d.now.Add(ConfirmationTTL + 10*time.Millisecond)
	d.report(former)
	d.deliverReport(former)
	d.deliverGrant(former)
	for end := d.now.Add(3 * LeaseTTL); d.now < end; d.now = d.now.Add(step) {
		d.report(next)
		d.deliverReport(next)
		d.deliverGrant(next)
		require.NoError(t, d.check())
	}
}

// Guards against shares that shrink with each restart of a VM, because its former incarnations still count.
func TestRestartedVMCountsOnce(t *testing.T) {
	allocator := NewAllocator(testWindow, func() uint64 { return 1 })
	now := model.Instant(time.Hour)
	allocator.Begin(now, false)
	var got []int
	for start := range 20 {
		now = now.Add(time.Second)
		grant := allocator.Renew(now, "vm", fmt.Sprint("vm/", start), Request{Number: 1}, false)
		if len(grant.Units) > 0 {
			got = append(got, len(grant.Units))
		}
	}
	assert.Equal(t, []int{Units, Units, Units}, got, "each time that the leases of a former incarnation have ended")
}
