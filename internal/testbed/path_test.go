package testbed

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/result"
)

// Guards against entry VMs that disagree on the owner of a key, a non-idempotent request that runs twice, and processes
// that keep running after a graceful stop.
func TestEndToEnd(t *testing.T) {
	f := newFixture(t)
	owner := f.owner("key-1")
	for _, e := range f.Entries() {
		exchange := f.caller.Do(f.ctx, e, f.request("key-1", true))
		require.Equal(t, owner, exchange.Target, "%v", exchange)
	}
	repeated := f.request("key-1", false)
	repeated.ID = model.NewRequestID().String()
	for _, e := range f.Entries()[:2] {
		exchange := f.caller.Do(f.ctx, e, repeated)
		require.True(t, exchange.Ran(), "%v", exchange)
	}
	require.NoError(t, f.StopEntries(2*drainTime))
	for _, e := range f.Entries() {
		require.Zero(t, e.ExitCode(), e.Output())
	}
	f.checkExchanges()
	f.Close()
	require.Empty(t, f.Running())
}

// Guards against two concurrent publishes that both report success although only one configuration takes effect.
func TestConcurrentPublish(t *testing.T) {
	skipIfShort(t)
	f := newFixture(t)
	completed := make(chan CommandResult, 2)
	for _, rate := range []float64{60, 70} {
		state := f.State
		state.Rules.HotKeyRate = rate
		go func() {
			published, err := f.Publish(f.ctx, state, f.version)
			if err != nil {
				published.Output = err.Error()
			}
			completed <- published
		}()
	}
	first, second := <-completed, <-completed
	codes := []int{first.ExitCode, second.ExitCode}
	require.ElementsMatch(t, []int{result.ExitOK, result.ExitConflict}, codes, "%v %v", first, second)
	version := max(first.Version(), second.Version())
	for _, e := range f.Entries() {
		require.NoError(t, Await(f.ctx, recoveryTimeout, "the new version", func() bool {
			status, err := f.Status(f.ctx, e)
			return err == nil && status.ConfigVersion == version
		}))
	}
	f.checkExchanges()
}

func skipIfShort(t *testing.T) {
	if testing.Short() {
		t.Skip("only TestEndToEnd runs with -short")
	}
}
