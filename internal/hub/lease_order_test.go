package hub

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/shares"
)

// leaseHub is a leader with a clock of its own, and the units that each VM got.
type leaseHub struct {
	t      *testing.T
	now    model.Instant
	server *Server
	// onConfirm, if set, is called once between a report's reading of the clock and its grant.
	onConfirm func()
	isLeader  bool
	// isConfirmed is whether the store has lately confirmed the leadership.
	isConfirmed bool
	holders     map[string]*shares.Holder
}

func newLeaseHub(t *testing.T, hasPredecessor bool) *leaseHub {
	h := &leaseHub{t: t, now: model.Instant(time.Hour), isLeader: true, isConfirmed: true, holders: map[string]*shares.Holder{}}
	h.server = NewServer(func() model.Instant { return h.now }, func() bool { return h.isLeader }, func(model.Instant) bool {
		if hook := h.onConfirm; hook != nil {
			h.onConfirm = nil
			hook()
		}
		return h.isConfirmed
	}, func(Report) {}, 10*time.Second)
	h.server.BeginTerm(hasPredecessor)
	return h
}

func (h *leaseHub) request(vm string, isFirst bool) Report {
	if h.holders[vm] == nil {
		h.holders[vm] = shares.NewHolder()
	}
	return Report{VM: vm, Incarnation: vm + "/1", Shares: h.holders[vm].Request(h.now, isFirst)}
}

// report makes a VM report; term is that in which it connected.
func (h *leaseHub) report(vm string, term uint64) {
	request := h.request(vm, false)
	_, grant := h.server.handleReport(request, term)
	h.holders[vm].Apply(grant)
}

// requireDisjoint fails if two VMs hold a unit now.
func (h *leaseHub) requireDisjoint() {
	for group := range shares.Groups {
		sum := 0
		for _, holder := range h.holders {
			sum += holder.InGroup(h.now, group, shares.UnitsPerGroup)
		}
		require.LessOrEqual(h.t, sum, shares.UnitsPerGroup, "group %d", group)
	}
}

// delayedReport makes a report of vm-1 over its former link wait at the leader, between the reading of the clock and the grant, while
// the leader handles a later one over its present link.
func (h *leaseHub) delayedReport(delay time.Duration) {
	former := h.request("vm-1", false)
	h.onConfirm = func() {
		h.now = h.now.Add(delay)
		h.report("vm-1", 1)
	}
	_, _ = h.server.handleReport(former, 1)
}

// Guards against units that two VMs hold from then on, after a leader that was suspended between reading the clock for a report and
// granting its lease.
func TestReportDelayedAtTheLeaderLeavesEachUnitOneHolder(t *testing.T) {
	h := newLeaseHub(t, false)
	for range 20 {
		h.now = h.now.Add(ReportInterval)
		h.report("vm-1", 1)
	}
	h.delayedReport(shares.LeaseTTL + 1500*time.Millisecond)
	for range 200 {
		h.now = h.now.Add(100 * time.Millisecond)
		h.report("vm-2", 1)
		h.report("vm-1", 1)
	}
	h.requireDisjoint()
}

// Guards against a crash of the leader in the same case, once another VM stops.
func TestReportDelayedAtTheLeaderCrashesNothing(t *testing.T) {
	h := newLeaseHub(t, false)
	for range 40 {
		h.now = h.now.Add(ReportInterval)
		h.report("vm-1", 1)
		h.report("vm-2", 1)
	}
	former := h.request("vm-1", false)
	h.onConfirm = func() {
		h.now = h.now.Add(shares.LeaseTTL + 1500*time.Millisecond)
		for _, vm := range []string{"vm-1", "vm-2", "vm-1"} {
			h.report(vm, 1)
		}
	}
	_, _ = h.server.handleReport(former, 1)
	h.now = h.now.Add(100 * time.Millisecond)
	ends := h.request("vm-2", false)
	ends.Shares.Ends = true
	h.server.handleReport(ends, 1)
	require.NotPanics(t, func() { h.report("vm-1", 1) })
}

// Guards against a lease that counts as ended while its holder uses it, because an earlier report of the holder, over its former
// link, was handled after a later one.
func TestEarlierReportDoesNotShortenALease(t *testing.T) {
	h := newLeaseHub(t, false)
	for range 20 {
		h.now = h.now.Add(ReportInterval)
		h.report("vm-1", 1)
	}
	h.delayedReport(2 * time.Second)
	// The VM loses its link.
	for range 60 {
		h.now = h.now.Add(100 * time.Millisecond)
		h.report("vm-2", 1)
		h.requireDisjoint()
	}
}

// Guards against leases from the state of an earlier term: the store has made this VM the leader again, which it has not processed.
func TestReplacedLeaderGrantsNothingBeforeItsNextTerm(t *testing.T) {
	h := newLeaseHub(t, false)
	for range 20 {
		h.now = h.now.Add(ReportInterval)
		h.report("vm-1", 1)
	}
	h.isLeader = false
	// Another leader may have granted all units to others since.
	h.now = h.now.Add(10 * time.Second)
	_, grant := h.server.handleReport(h.request("vm-2", false), 1)
	require.Zero(t, grant.Number)
	require.Empty(t, grant.Units)
}

// Guards against VMs that lose all their units because their first report to a new leader arrived while the store had not confirmed
// its leadership for a second.
func TestClaimsOutliveAnUnconfirmedFirstReport(t *testing.T) {
	h := newLeaseHub(t, false)
	for range 20 {
		h.now = h.now.Add(ReportInterval)
		h.report("vm-1", 1)
	}
	require.Equal(t, shares.Units, h.holders["vm-1"].Held(h.now))
	h.server.BeginTerm(true)
	h.isConfirmed = false
	_, grant := h.server.handleReport(h.request("vm-1", true), 2)
	h.holders["vm-1"].Apply(grant)
	h.isConfirmed = true
	for range 20 {
		h.now = h.now.Add(ReportInterval)
		h.report("vm-1", 2)
		require.Equal(t, shares.Units, h.holders["vm-1"].Held(h.now))
	}
}

// Guards against all units at one VM, and targets without requests once it has to give them up, after the store did not confirm the
// leadership for longer than a lease: the first VM to report then got them all.
func TestVMsKeepTheirUnitsWhileTheStoreIsAway(t *testing.T) {
	h := newLeaseHub(t, false)
	vms := []string{"vm-1", "vm-2", "vm-3", "vm-4"}
	play := func(rounds int, check func()) {
		for range rounds {
			h.now = h.now.Add(ReportInterval)
			for _, vm := range vms {
				h.report(vm, 1)
			}
			check()
		}
	}
	equal := func() {
		h.requireDisjoint()
		for _, vm := range vms {
			require.Equal(t, shares.Units/len(vms), h.holders[vm].Held(h.now), vm)
		}
	}
	play(40, func() {})
	equal()
	h.isConfirmed = false
	play(24, h.requireDisjoint)
	require.Zero(t, h.holders["vm-1"].Held(h.now))
	h.isConfirmed = true
	play(40, equal)
}
