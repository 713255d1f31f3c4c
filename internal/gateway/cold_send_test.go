package gateway

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tarragonpoint/tarragonpoint/internal/registry"
	"github.com/tarragonpoint/tarragonpoint/internal/upstream"
	"github.com/tarragonpoint/tarragonpoint/platform"
)

// Guards against more requests to a cold target than its limit that were placed before this VM knew that it is cold, and waited for
// their connections since.
func TestRequestsPlacedBeforeAColdStartKeepItsLimit(t *testing.T) {
	t.Parallel()
	f := startFixture(t)
	f.register("d-2", "desk", "a", "draining")
	var waiting atomic.Int64
	open := make(chan struct{})
	vm := f.newVM("vm-2")
	vm.targets = platform.NewTargetClient(upstream.NewPool(upstream.Options{Dialer: &net.Dialer{
		ControlContext: func(ctx context.Context, _, _ string, _ syscall.RawConn) error {
			waiting.Add(1)
			select {
			case <-open:
			case <-ctx.Done():
			}
			return nil
		},
	}}))
	f.runVM(vm)
	require.Eventually(t, vm.leaving("d-2"), shareTime, 10*time.Millisecond)
	const requests = 30
	var all sync.WaitGroup
	for i := range requests {
		all.Go(func() { f.sendTo(vm, http.MethodGet, "/reads/1", fmt.Sprint("r-", i), "") })
	}
	require.Eventually(t, func() bool { return waiting.Load() > 20 }, shareTime, time.Millisecond)
	f.registerCold("d-1", "desk", "a", 12*time.Second)
	require.Eventually(t, func() bool {
		entry, found := vm.state.lookup(vm.clock.Now(), "d-1")
		return found && entry.State == registry.Cold
	}, shareTime, time.Millisecond)
	before := f.targets["d-1"].Arrivals()
	close(open)
	time.Sleep(500 * time.Millisecond)
	arrived := f.targets["d-1"].Arrivals() - before
	// The limit is 12.5 in a second.
	assert.LessOrEqual(t, arrived, 12)
	all.Wait()
}
