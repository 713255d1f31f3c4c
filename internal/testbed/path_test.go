package testbed

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/result"
)

// Guards against entry VMs that disagree on an owner, a non-idempotent request that runs twice, and processes that a stop
// leaves behind.
func TestWholePath(t *testing.T) {
	b := newBed(t)
	owner := b.owner("key-1")
	for _, e := range b.Entries() {
		exchange := b.caller.Do(b.ctx, e, b.request("key-1", true))
		require.Equal(t, owner, exchange.Target, "%v", exchange)
	}
	twice := b.request("key-1", false)
	twice.ID = model.NewRequestID().String()
	for _, e := range b.Entries()[:2] {
		exchange := b.caller.Do(b.ctx, e, twice)
		require.True(t, exchange.Ran(), "%v", exchange)
	}
	require.NoError(t, b.StopEntries(2*drainTime))
	for _, e := range b.Entries() {
		require.Zero(t, e.ExitCode(), e.Output())
	}
	b.compare()
	b.Close()
	require.Empty(t, b.Running())
}

// Guards against two operators who both believe that their configuration is in force.
func TestOperatorsPublishAtOnce(t *testing.T) {
	skipIfShort(t)
	b := newBed(t)
	finished := make(chan CommandResult, 2)
	for _, rate := range []float64{60, 70} {
		state := b.State
		state.Rules.HotKeyRate = rate
		go func() {
			f, err := b.Publish(b.ctx, state, b.version)
			if err != nil {
				f.Output = err.Error()
			}
			finished <- f
		}()
	}
	first, second := <-finished, <-finished
	codes := []int{first.ExitCode, second.ExitCode}
	require.ElementsMatch(t, []int{result.ExitOK, result.ExitConflict}, codes, "%v %v", first, second)
	version := max(first.Version(), second.Version())
	for _, e := range b.Entries() {
		require.NoError(t, Await(b.ctx, recovery, "the new version", func() bool {
			status, err := b.Status(b.ctx, e)
			return err == nil && status.ConfigVersion == version
		}))
	}
	b.compare()
}

func skipIfShort(t *testing.T) {
	if testing.Short() {
		t.Skip("only the whole path runs with -short")
	}
}
