package testbed

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/record"
	"github.com/tarragonpoint/tarragonpoint/internal/result"
	"github.com/tarragonpoint/tarragonpoint/internal/standin"
)

// pauseTime exceeds the bound of a lease, so that a paused process misses its end.
const pauseTime = 4 * time.Second

// newWorkLimit is the time after which a zone out of service gets no new work (invariant 4).
const newWorkLimit = 5 * time.Second

// Guards against keys that stay unserved, and requests that run twice, after the loss of their owner and of its lessor,
// and against a restarted VM that serves from what it no longer knows.
func TestLossOfOwnerAndLessor(t *testing.T) {
	skipIfShort(t)
	b := newBed(t)
	load := b.load()
	defer load.Stop()
	owner := b.owner("key-1")
	b.Targets[owner].Kill()
	t.Logf("served again after the loss of the owner: %s", b.served("key-1", true, b.Entries()...))
	require.NoError(t, b.RestartTarget(b.ctx, owner))
	next := b.owner("key-1")
	require.NotEqual(t, owner, next)
	lessor := b.Lessor(b.ctx, next)
	require.NotNil(t, lessor)
	lessor.Kill()
	t.Logf("idempotent served after the loss of the lessor: %s", b.served("key-1", true, b.Entries()...))
	t.Logf("non-idempotent served after the loss of the lessor: %s", b.served("key-1", false, b.Entries()...))
	require.NoError(t, b.RestartEntry(lessor))
	require.NoError(t, Await(b.ctx, recovery, "the restarted VM to be ready", func() bool { return slices.Contains(b.Ready(), lessor) }))
	b.served("key-1", false, lessor)
	load.Stop()
	b.compare()
}

// Guards against an entry VM that, after a pause, sends with an old term or answers with what it knew before.
func TestPausedEntryVM(t *testing.T) {
	skipIfShort(t)
	b := newBed(t)
	load := b.load()
	defer load.Stop()
	paused := b.Lessor(b.ctx, b.owner("key-1"))
	require.NotNil(t, paused)
	paused.Pause()
	others := slices.DeleteFunc(b.Entries(), func(e *Entry) bool { return e == paused })
	t.Logf("non-idempotent served during the pause of the lessor: %s", b.served("key-1", false, others...))
	b.pause(pauseTime)
	paused.Resume()
	b.served("key-1", true, paused)
	load.Stop()
	b.compare()
}

// Guards against a target that, after a pause, serves a key that has another owner, also when the log loses the answers to
// the records of the takeover.
func TestPausedTarget(t *testing.T) {
	skipIfShort(t)
	b := newBed(t)
	load := b.load()
	defer load.Stop()
	owner := b.owner("key-1")
	require.NoError(t, b.SetLogFault(b.ctx, standin.StoreFault{Mode: standin.StoreUp, LoseNextResponses: 2}, record.AssignStream))
	b.Targets[owner].Pause()
	b.pause(pauseTime)
	b.Targets[owner].Resume()
	b.served("key-1", true, b.Entries()...)
	b.pause(time.Second)
	require.NotEqual(t, owner, b.owner("key-1"))
	load.Stop()
	b.compare()
}

// Guards against keys that need the log, a publish that hangs or reports success in an outage, and a publish that is lost or
// counted twice when the answer of the log is lost.
func TestLogOutageAndLostAnswers(t *testing.T) {
	skipIfShort(t)
	b := newBed(t)
	load := b.load()
	defer load.Stop()
	require.NoError(t, b.SetLogFault(b.ctx, standin.StoreFault{Mode: standin.StoreDown}, record.ConfigStream, record.AssignStream))
	down := time.Now()
	state := b.State
	state.Rules.HotKeyRate = 60
	refused, err := b.Publish(b.ctx, state, b.version, "-timeout", "3s")
	require.NoError(t, err)
	require.Equal(t, result.ExitUnavailable, refused.ExitCode, refused.Output)
	require.Contains(t, refused.Output, "501 log-unavailable")
	b.pause(10*time.Second - time.Since(down))
	for _, e := range b.Entries() {
		exchange := b.caller.Do(b.ctx, e, b.request("key-1", false))
		require.True(t, exchange.Ran(), "%v", exchange)
	}
	require.NoError(t, b.SetLogFault(b.ctx, standin.StoreFault{Mode: standin.StoreUp, LoseNextResponses: 1}, record.ConfigStream))
	require.NoError(t, b.SetLogFault(b.ctx, standin.StoreFault{Mode: standin.StoreUp}, record.AssignStream))
	accepted, err := b.Publish(b.ctx, state, b.version)
	require.NoError(t, err)
	require.Equal(t, result.ExitOK, accepted.ExitCode, accepted.Output)
	totals, err := b.LogTotals(b.ctx)
	require.NoError(t, err)
	require.EqualValues(t, 1, totals.LostResponses)
	load.Stop()
	b.compare()
}

// Guards against two lessors, or two owners, when the entry VMs of one zone see neither those of the other nor the log, and
// against keys that are not served inside the zone of their owner during that time.
func TestCutBetweenZones(t *testing.T) {
	skipIfShort(t)
	b := newBed(t)
	load := b.load()
	defer load.Stop()
	keys := map[model.Zone]string{}
	for i := range loadKeys {
		key := fmt.Sprintf("key-%d", i)
		keys[b.Targets[b.owner(key)].Inventory.Zone] = key
	}
	require.Len(t, keys, 2)
	require.NoError(t, b.SetPartitioned(zoneB, true))
	b.pause(8 * time.Second)
	for zone, key := range keys {
		t.Logf("idempotent served in %s during the cut: %s", zone, b.served(key, true, b.EntriesIn(zone)...))
		t.Logf("non-idempotent served in %s during the cut: %s", zone, b.served(key, false, b.EntriesIn(zone)...))
	}
	require.NoError(t, b.SetPartitioned(zoneB, false))
	for _, key := range keys {
		for _, e := range b.Entries() {
			t.Logf("non-idempotent served through %s after the cut: %s", e.VM, b.served(key, false, e))
		}
	}
	load.Stop()
	b.compare()
}

// Guards against a planned stop that cuts a request, and new VMs that serve before they know the owners.
func TestRollingReplacement(t *testing.T) {
	skipIfShort(t)
	b := newBed(t)
	load := b.load()
	defer load.Stop()
	for _, old := range b.Entries() {
		added, err := b.AddEntry(b.ctx, old.VM+"-next", old.Zone)
		require.NoError(t, err)
		require.NoError(t, Await(b.ctx, recovery, "the new VM to be ready", func() bool { return slices.Contains(b.Ready(), added) }))
		require.NoError(t, old.Stop(2*drainTime))
		require.Zero(t, old.ExitCode(), old.Output())
		require.NoError(t, b.RemoveEntry(b.ctx, old))
	}
	b.served("key-1", false, b.Entries()...)
	load.Stop()
	for _, exchange := range b.caller.Exchanges() {
		require.NoError(t, exchange.TransportErr, "%v", exchange)
	}
	b.compare()
}

// Guards against new work in a zone that operators took out, and a zone that gets none after its return.
func TestZoneOutOfServiceAndBack(t *testing.T) {
	skipIfShort(t)
	b := newBed(t)
	load := b.load()
	defer load.Stop()
	require.Equal(t, result.ExitOK, b.operate("zone", "out", string(zoneB)))
	published := time.Now()
	b.pause(8 * time.Second)
	returned := time.Now()
	require.Equal(t, result.ExitOK, b.operate("zone", "in", string(zoneB)))
	require.NoError(t, Await(b.ctx, recovery, "new work in the zone", func() bool {
		return b.startsIn(zoneB, returned, time.Now()) > 0
	}))
	load.Stop()
	require.Zero(t, b.startsIn(zoneB, published.Add(newWorkLimit), returned))
	require.Positive(t, b.startsIn(zoneA, published.Add(newWorkLimit), returned))
	b.compare()
}

func (b *bed) operate(args ...string) int {
	b.t.Helper()
	finished, err := b.RunOperatorCommand(b.ctx, args...)
	require.NoError(b.t, err)
	return finished.ExitCode
}

// startsIn counts the runs that started in a zone in a span of time.
func (b *bed) startsIn(zone model.Zone, from, until time.Time) int {
	b.t.Helper()
	runs, err := b.Runs()
	require.NoError(b.t, err)
	count := 0
	for _, run := range runs {
		if run.Zone == zone && run.StartedAt.After(from) && run.StartedAt.Before(until) {
			count++
		}
	}
	return count
}
