package balance

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/tarragonpoint/tarragonpoint/internal/kernel"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/route"
)

func fleet(n int) []*route.Target {
	var targets []*route.Target
	for i := range n {
		zone := i % 4
		targets = append(targets, &route.Target{
			ID: model.TargetID(fmt.Sprint("t", i)), Zone: model.Zone(fmt.Sprint("z", zone)),
			Region: model.Region(fmt.Sprint("r", zone/2)), InService: true,
			Status: &route.Status{Serving: true, Limit: 4, Lessor: "vm1"},
		})
	}
	return targets
}

func view(tracker *Tracker) View {
	return View{VM: "vm0", Zone: "z0", Region: "r0", Concurrency: 4, Tracker: tracker}
}

// Guards against a policy that chooses a target that is draining, cold, out of service, without status, already tried,
// or outside the home regions.
func TestPoliciesNeverUseForbiddenTargets(t *testing.T) {
	for _, id := range []kernel.ID{RandomID, RoundRobinID, P2CID} {
		policy, err := kernel.New[Policy](id)
		require.NoError(t, err)
		rapid.Check(t, func(t *rapid.T) {
			targets := fleet(8)
			for _, target := range targets {
				target.InService = rapid.Bool().Draw(t, "in service")
				target.Status.Cold = rapid.Bool().Draw(t, "cold")
				target.Status.Draining = rapid.Bool().Draw(t, "draining")
				if rapid.Bool().Draw(t, "no status") {
					target.Status = nil
				}
			}
			v := view(NewTracker(30))
			v.Class, v.Tried = "r0", []model.TargetID{"t0"}
			choice, err := policy.Choose(0, targets, v)
			if err != nil {
				require.True(t, errorx.IsOfType(err, ErrNoTarget))
				return
			}
			status := choice.Target.Status
			require.True(t, status != nil && choice.Target.InService && !status.Cold && !status.Draining)
			require.Equal(t, model.Region("r0"), choice.Target.Region)
			require.NotEqual(t, model.TargetID("t0"), choice.Target.ID)
		})
	}
}

func fill(tracker *Tracker, id model.TargetID) {
	for range 4 {
		tracker.Start(id)
	}
}

// Guards against entry VMs that all follow the same outdated load report: a report must count only while the requests
// in it can still be running.
func TestLateReportsCountOnlyForLongRequests(t *testing.T) {
	for latency, counts := range map[time.Duration]bool{10 * time.Millisecond: false, 10 * time.Second: true} {
		tracker := NewTracker(30)
		for i := range 60 {
			id := model.TargetID(fmt.Sprint("t", i%3))
			tracker.Start(id)
			tracker.Finish(model.Instant(i)*model.Instant(time.Second), Observation{Target: id, Latency: latency})
		}
		now := model.Instant(time.Minute)
		tracker.Report(now, "t0", 4)
		tracker.Report(now, "t1", 0)
		loads := tracker.estimates(now, []model.TargetID{"t0", "t1"})
		require.Equal(t, counts, loads[0].load-loads[1].load > 3)
		require.Equal(t, !counts, loads[0].load-loads[1].load < 0.1)
	}
}

// Guards against requests that leave the zone unnecessarily, and against spill beyond the byte budget.
func TestP2CTiersAndSpillBudget(t *testing.T) {
	targets, tracker, policy := fleet(8), NewTracker(30), NewP2C()
	v := view(tracker)
	v.RequestBytes, v.Spill = 600, NewSpillBudget(1000, 0)
	choice, err := policy.Choose(0, targets, v)
	require.NoError(t, err)
	require.Equal(t, model.Zone("z0"), choice.Target.Zone)
	for _, target := range targets {
		if target.Zone == "z0" {
			fill(tracker, target.ID)
		}
	}
	choice, _ = policy.Choose(0, targets, v)
	require.Equal(t, model.Zone("z1"), choice.Target.Zone)
	for _, target := range targets {
		if target.Zone == "z1" {
			fill(tracker, target.ID)
		}
	}
	choice, _ = policy.Choose(0, targets, v)
	require.Equal(t, model.Region("r1"), choice.Target.Region)
	choice, _ = policy.Choose(0, targets, v)
	require.Equal(t, model.Region("r0"), choice.Target.Region, "the budget is exhausted")
	require.True(t, choice.Saturated)
}

// Guards against exceeding the ramped limit of a cold target, and against VMs other than its lessor sending to it.
func TestColdRampAndLessorOnly(t *testing.T) {
	ramp := Ramp{Initial: 1, Concurrency: 4, Duration: 9 * time.Second}
	require.Equal(t, 1, Limit(0, 0, ramp))
	require.Equal(t, 2, Limit(0, model.Instant(3*time.Second), ramp))
	require.Equal(t, 4, Limit(0, model.Instant(9*time.Second), ramp))
	targets, tracker := fleet(1), NewTracker(30)
	targets[0].Status.Cold, targets[0].Status.Limit, targets[0].Status.Lessor = true, 1, "vm0"
	_, err := NewP2C().Choose(0, targets, view(tracker))
	require.NoError(t, err)
	tracker.Start("t0")
	_, err = NewP2C().Choose(0, targets, view(tracker))
	require.Error(t, err)
}

func observeAll(tracker *Tracker, now model.Instant, slow map[model.TargetID]bool, n int) {
	for i := range n {
		id := model.TargetID(fmt.Sprint("t", i))
		latency := 10 * time.Millisecond
		if slow[id] {
			latency = 60 * time.Millisecond
		}
		tracker.Start(id)
		tracker.Finish(now, Observation{Target: id, Latency: latency})
	}
}

func shares(tracker *Tracker, now model.Instant, n int) []float64 {
	var ids []model.TargetID
	for i := range n {
		ids = append(ids, model.TargetID(fmt.Sprint("t", i)))
	}
	var result []float64
	for _, e := range tracker.estimates(now, ids) {
		result = append(result, e.share)
	}
	return result
}

// Guards against slow targets that are not ejected, ejections above the cap, and targets that return at full share.
func TestOutliersAreEjectedUpToTheCapAndRecoverGradually(t *testing.T) {
	tracker := NewTracker(30)
	slow := map[model.TargetID]bool{"t1": true, "t2": true, "t3": true, "t4": true}
	now := model.Instant(0)
	for range 40 {
		now = now.Add(50 * time.Millisecond)
		observeAll(tracker, now, slow, 10)
	}
	ejected := 0
	for _, share := range shares(tracker, now, 10) {
		if share == 0 {
			ejected++
		}
	}
	require.Equal(t, 3, ejected)
	require.Zero(t, tracker.Share(now, "t1"))
	now = now.Add(2 * time.Second)
	observeAll(tracker, now, nil, 10)
	require.Less(t, shares(tracker, now, 10)[1], 0.5)
	for range 200 {
		now = now.Add(50 * time.Millisecond)
		observeAll(tracker, now, nil, 10)
	}
	for _, share := range shares(tracker, now, 10) {
		require.Equal(t, 1.0, share)
	}
}

// Guards against data races between choices, observations and reports.
func TestConcurrentUse(t *testing.T) {
	targets, tracker, policy := fleet(8), NewTracker(30), NewP2C()
	spill := NewSpillBudget(1000, 0)
	var group sync.WaitGroup
	for w := range 8 {
		group.Go(func() {
			for i := range 300 {
				now := model.Instant(time.Duration(i) * time.Millisecond)
				v := view(tracker)
				v.Spill, v.RequestBytes = spill, 10
				choice, err := policy.Choose(now, targets, v)
				if err != nil {
					continue
				}
				tracker.Start(choice.Target.ID)
				tracker.Report(now, choice.Target.ID, w)
				tracker.Finish(now, Observation{Target: choice.Target.ID, Latency: time.Millisecond})
			}
		})
	}
	group.Wait()
	for _, target := range targets {
		require.Zero(t, tracker.InFlight(target.ID))
	}
}

// Guards against rejecting a request when the only usable target is ejected: a slow target is better than none.
func TestEjectedTargetServesAsLastResort(t *testing.T) {
	tracker := NewTracker(100)
	for i := range 40 {
		observeAll(tracker, model.Instant(i)*model.Instant(50*time.Millisecond), map[model.TargetID]bool{"t0": true}, 4)
	}
	now := model.Instant(2 * time.Second)
	require.Zero(t, shares(tracker, now, 1)[0])
	choice, err := NewP2C().Choose(now, fleet(1), view(tracker))
	require.NoError(t, err)
	require.Equal(t, model.TargetID("t0"), choice.Target.ID)
}

func BenchmarkP2C(b *testing.B) {
	for _, n := range []int{12, 100, 500} {
		targets, tracker, policy := fleet(n), NewTracker(30), NewP2C()
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				_, _ = policy.Choose(0, targets, view(tracker))
			}
		})
	}
}
