package testbed

import (
	"net"
	"os/exec"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against an address that still accepts connections after it was found free, because a child process that was forked
// meanwhile holds a copy of the listener until it executes its program.
func TestFreeAddressIsNotHeldByChildren(t *testing.T) {
	const (
		checks   = 1000
		starters = 4
	)
	// The kernel copies the arguments before it closes the copy of the listener.
	arguments := make([]string, 10)
	for i := range arguments {
		arguments[i] = strings.Repeat("a", 100<<10)
	}
	var done atomic.Bool
	var running sync.WaitGroup
	for range starters {
		running.Go(func() {
			for !done.Load() {
				assert.NoError(t, exec.Command("true", arguments...).Run())
			}
		})
	}
	accepted := 0
	tried := make([]string, 0, checks)
	for range checks {
		address, err := addresses.free()
		require.NoError(t, err)
		tried = append(tried, address)
		if conn, err := net.Dial("tcp", address); err == nil {
			accepted++
			_ = conn.Close()
		}
	}
	done.Store(true)
	running.Wait()
	addresses.mutex.Lock()
	for _, address := range tried {
		delete(addresses.used, address)
	}
	addresses.mutex.Unlock()
	assert.Zero(t, accepted, "free addresses that accepted a connection, of %d", checks)
}
