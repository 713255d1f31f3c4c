package testbed

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tarragonpoint/tarragonpoint/internal/admin"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/record"
	"github.com/tarragonpoint/tarragonpoint/internal/result"
	"github.com/tarragonpoint/tarragonpoint/internal/standin"
)

// pauseDuration exceeds the longest lease, so that the leases of a paused process expire during the pause.
const pauseDuration = 4 * time.Second

const (
	// assignOutage is the length of an outage of the assign stream. It exceeds the time in which a planned move starts.
	assignOutage = 5 * time.Second
	// drainedService is the time in which a drained target that cannot hand its keys over must still serve them. It is below
	// the time after which entry VMs send a leaving target no more requests.
	drainedService = 3 * time.Second
)

// newWorkLimit is the time after which a zone that is out of service must get no new work (invariant 4 of the design).
const newWorkLimit = 5 * time.Second

// Guards against keys that stay unserved, and requests that run twice, after their owner and then the lessor of the
// next owner failed. Also guards against a restarted entry VM that serves requests as if it still had its former state.
func TestLossOfOwnerAndLessor(t *testing.T) {
	skipIfShort(t)
	f := newFixture(t)
	load := f.load()
	defer load.Stop()
	watch := f.watchOwner("key-1")
	owner := f.owner("key-1")
	watch.lose(owner)
	f.Targets[owner].Kill()
	t.Logf("served again after the owner failed: %s", f.awaitServed("key-1", true, f.Entries()...))
	watch.awaitReplaced()
	next := f.owner("key-1")
	require.NotEqual(t, owner, next)
	watch.regain()
	require.NoError(t, f.RestartTarget(f.ctx, owner))
	lessor := f.Lessor(f.ctx, next)
	require.NotNil(t, lessor)
	lessor.Kill()
	t.Logf("idempotent served after the lessor failed: %s", f.awaitServed("key-1", true, f.Entries()...))
	t.Logf("non-idempotent served after the lessor failed: %s", f.awaitServed("key-1", false, f.Entries()...))
	require.NoError(t, f.RestartEntry(lessor))
	require.NoError(t, Await(f.ctx, recoveryTimeout, "the restarted VM to be ready", func() bool { return slices.Contains(f.Ready(), lessor) }))
	f.awaitServed("key-1", false, lessor)
	load.Stop()
	watch.stop()
	f.checkExchanges()
}

// Guards against an entry VM that, after a pause, sends requests with an old term or responds from its outdated state.
func TestPausedEntryVM(t *testing.T) {
	skipIfShort(t)
	f := newFixture(t)
	load := f.load()
	defer load.Stop()
	paused := f.Lessor(f.ctx, f.owner("key-1"))
	require.NotNil(t, paused)
	paused.Pause()
	others := slices.DeleteFunc(f.Entries(), func(e *Entry) bool { return e == paused })
	t.Logf("non-idempotent served during the pause of the lessor: %s", f.awaitServed("key-1", false, others...))
	f.sleep(pauseDuration)
	paused.Resume()
	f.awaitServed("key-1", true, paused)
	load.Stop()
	f.checkExchanges()
}

// Guards against a target that, after a pause, serves a key that meanwhile has another owner. The responses of the log
// to the records of the takeover are lost as well.
func TestPausedTarget(t *testing.T) {
	skipIfShort(t)
	f := newFixture(t)
	load := f.load()
	defer load.Stop()
	watch := f.watchOwner("key-1")
	owner := f.owner("key-1")
	require.NoError(t, f.SetLogFault(f.ctx, standin.StoreFault{Mode: standin.StoreUp, LoseNextResponses: 2}, record.AssignStream))
	watch.lose(owner)
	f.Targets[owner].Pause()
	f.sleep(pauseDuration)
	watch.awaitReplaced()
	require.NotEqual(t, owner, f.owner("key-1"))
	watch.regain()
	f.Targets[owner].Resume()
	f.awaitServed("key-1", true, f.Entries()...)
	f.sleep(time.Second)
	load.Stop()
	watch.stop()
	f.checkExchanges()
}

// Guards against keys that are not served without the log, against a publish that hangs or reports success during an
// outage, and against a publish that is lost or applied twice when the response of the log is lost.
func TestLogOutageAndLostResponses(t *testing.T) {
	skipIfShort(t)
	f := newFixture(t)
	load := f.load()
	defer load.Stop()
	require.NoError(t, f.SetLogFault(f.ctx, standin.StoreFault{Mode: standin.StoreDown}, record.ConfigStream, record.AssignStream))
	outageStart := time.Now()
	state := f.State
	state.Rules.HotKeyRate = 60
	rejected, err := f.Publish(f.ctx, state, f.version, "-timeout", "3s")
	require.NoError(t, err)
	require.Equal(t, result.ExitUnavailable, rejected.ExitCode, rejected.Output)
	require.Contains(t, rejected.Output, "501 log-unavailable")
	f.sleep(10*time.Second - time.Since(outageStart))
	for _, e := range f.Entries() {
		exchange := f.caller.Do(f.ctx, e, f.request("key-1", false))
		require.True(t, exchange.Ran(), "%v", exchange)
	}
	require.NoError(t, f.SetLogFault(f.ctx, standin.StoreFault{Mode: standin.StoreUp, LoseNextResponses: 1}, record.ConfigStream))
	require.NoError(t, f.SetLogFault(f.ctx, standin.StoreFault{Mode: standin.StoreUp}, record.AssignStream))
	accepted, err := f.Publish(f.ctx, state, f.version)
	require.NoError(t, err)
	require.Equal(t, result.ExitOK, accepted.ExitCode, accepted.Output)
	totals, err := f.LogTotals(f.ctx)
	require.NoError(t, err)
	require.EqualValues(t, 1, totals.LostResponses)
	load.Stop()
	f.checkExchanges()
}

// Guards against keys that nobody serves while only the assign stream is down, because their owner is drained: it gave up
// its slots before the moves could be recorded. A leaving target serves for 4 s at most in any case (invariant 9).
func TestOwnerIsDrainedWhileAssignStreamIsDown(t *testing.T) {
	skipIfShort(t)
	f := newFixture(t)
	load := f.load()
	defer load.Stop()
	owner := f.owner("key-1")
	require.NoError(t, f.SetLogFault(f.ctx, standin.StoreFault{Mode: standin.StoreDown}, record.AssignStream))
	drained := time.Now()
	require.Equal(t, result.ExitOK, f.operatorExitCode("target", "drain", string(owner)))
	for time.Since(drained) < drainedService {
		f.requireServed("key-1")
	}
	require.NoError(t, f.SetLogFault(f.ctx, standin.StoreFault{Mode: standin.StoreUp}, record.AssignStream))
	require.NoError(t, Await(f.ctx, recoveryTimeout, "another owner of the key", func() bool { return f.owner("key-1") != owner }))
	f.awaitServed("key-1", false, f.Entries()...)
	load.Stop()
	f.checkExchanges()
}

// Guards against the same fault when slots are to move to a target that returns: their owners must go on serving them for
// as long as the outage lasts.
func TestTargetReturnsWhileAssignStreamIsDown(t *testing.T) {
	skipIfShort(t)
	f := newFixture(t)
	returning := f.owner("key-1")
	owned := func(status admin.Status) int {
		at := slices.IndexFunc(status.Targets, func(reported admin.Target) bool { return reported.ID == returning })
		return status.Targets[at].Slots
	}
	require.Equal(t, result.ExitOK, f.operatorExitCode("target", "drain", string(returning)))
	require.NoError(t, f.awaitSettled(f.ctx, recoveryTimeout, func(status admin.Status) bool { return owned(status) == 0 }))
	load := f.load()
	defer load.Stop()
	require.NoError(t, f.SetLogFault(f.ctx, standin.StoreFault{Mode: standin.StoreDown}, record.AssignStream))
	require.Equal(t, result.ExitOK, f.operatorExitCode("target", "undrain", string(returning)))
	for start := time.Now(); time.Since(start) < assignOutage; {
		for i := range loadKeys {
			f.requireServed(fmt.Sprintf("key-%d", i))
		}
	}
	require.NoError(t, f.SetLogFault(f.ctx, standin.StoreFault{Mode: standin.StoreUp}, record.AssignStream))
	require.NoError(t, f.awaitSettled(f.ctx, recoveryTimeout, func(status admin.Status) bool { return owned(status) > 0 }))
	load.Stop()
	f.checkExchanges()
}

// requireServed sends an idempotent and a non-idempotent request for a key through every entry VM and requires that they
// run.
func (f *fixture) requireServed(key string) {
	f.t.Helper()
	for _, e := range f.Entries() {
		for _, idempotent := range []bool{true, false} {
			exchange := f.caller.Do(f.ctx, e, f.request(key, idempotent))
			require.True(f.t, exchange.Ran(), "%v", exchange)
		}
	}
}

// Guards against two lessors or two owners when the entry VMs of one zone can reach neither the entry VMs of the other
// zone nor the log. Also guards against keys that are not served in the zone of their owner during the partition.
func TestPartitionBetweenZones(t *testing.T) {
	skipIfShort(t)
	f := newFixture(t)
	load := f.load()
	defer load.Stop()
	keys := map[model.Zone]string{}
	for i := range loadKeys {
		key := fmt.Sprintf("key-%d", i)
		keys[f.Targets[f.owner(key)].Inventory.Zone] = key
	}
	require.Len(t, keys, 2)
	require.NoError(t, f.SetPartitioned(zoneB, true))
	f.sleep(8 * time.Second)
	for zone, key := range keys {
		t.Logf("idempotent served in %s during the partition: %s", zone, f.awaitServed(key, true, f.EntriesIn(zone)...))
		t.Logf("non-idempotent served in %s during the partition: %s", zone, f.awaitServed(key, false, f.EntriesIn(zone)...))
	}
	require.NoError(t, f.SetPartitioned(zoneB, false))
	for _, key := range keys {
		for _, e := range f.Entries() {
			t.Logf("non-idempotent served through %s after the partition: %s", e.VM, f.awaitServed(key, false, e))
		}
	}
	load.Stop()
	f.checkExchanges()
}

// Guards against a planned stop that aborts a request, and against new entry VMs that serve before they know the owners
// of the slots.
func TestRollingReplacement(t *testing.T) {
	skipIfShort(t)
	f := newFixture(t)
	load := f.load()
	defer load.Stop()
	for _, old := range f.Entries() {
		added, err := f.AddEntry(f.ctx, old.VM+"-next", old.Zone)
		require.NoError(t, err)
		require.NoError(t, Await(f.ctx, recoveryTimeout, "the new VM to be ready", func() bool { return slices.Contains(f.Ready(), added) }))
		require.NoError(t, old.Stop(2*drainTime))
		require.Zero(t, old.ExitCode(), old.Output())
		require.NoError(t, f.RemoveEntry(f.ctx, old))
	}
	f.awaitServed("key-1", false, f.Entries()...)
	load.Stop()
	for _, exchange := range f.caller.Exchanges() {
		require.NoError(t, exchange.TransportErr, "%v", exchange)
	}
	f.checkExchanges()
}

// Guards against new work in a zone that operators took out of service, and against a zone that gets no work after it
// was returned to service.
func TestZoneOutOfServiceAndBack(t *testing.T) {
	skipIfShort(t)
	f := newFixture(t)
	load := f.load()
	defer load.Stop()
	require.Equal(t, result.ExitOK, f.operatorExitCode("zone", "out", string(zoneB)))
	published := time.Now()
	f.sleep(8 * time.Second)
	returned := time.Now()
	require.Equal(t, result.ExitOK, f.operatorExitCode("zone", "in", string(zoneB)))
	require.NoError(t, Await(f.ctx, recoveryTimeout, "new work in the zone", func() bool {
		return f.countRuns(zoneB, returned, time.Now()) > 0
	}))
	load.Stop()
	require.Zero(t, f.countRuns(zoneB, published.Add(newWorkLimit), returned))
	require.Positive(t, f.countRuns(zoneA, published.Add(newWorkLimit), returned))
	f.checkExchanges()
}

func (f *fixture) operatorExitCode(args ...string) int {
	f.t.Helper()
	completed, err := f.RunOperatorCommand(f.ctx, args...)
	require.NoError(f.t, err)
	return completed.ExitCode
}

// countRuns returns the number of runs that started in a zone between two times.
func (f *fixture) countRuns(zone model.Zone, from, until time.Time) int {
	f.t.Helper()
	runs, err := f.Runs()
	require.NoError(f.t, err)
	count := 0
	for _, run := range runs {
		if run.Zone == zone && run.StartedAt.After(from) && run.StartedAt.Before(until) {
			count++
		}
	}
	return count
}
