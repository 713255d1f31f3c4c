package soak

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// smallMemoryMB is the memory of a small VM, in MB.
const smallMemoryMB = 184

// peakMemoryMB returns the largest resident memory that a process has had.
func peakMemoryMB(t *testing.T, pid int) int {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	require.NoError(t, err)
	_, rest, found := strings.Cut(string(raw), "VmHWM:")
	require.True(t, found)
	kilobytes, err := strconv.Atoi(strings.Fields(rest)[0])
	require.NoError(t, err)
	return kilobytes / 1024
}

// Guards against VMs that run out of memory while targets send bytes without end, in a head, a body or chunks, and end
// the requests of other callers with them.
func TestEndlessResponsesDoNotEndVMs(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	t.Parallel()
	d := startDeployment(t, program)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	running.Go(func() { d.registerServers(ctx) })
	d.awaitService("start", startTimeout)
	for i := range 40 {
		c := newCaller(d, fmt.Sprint("c", i), uint64(i))
		running.Go(func() { c.run(ctx) })
	}
	chunk := "400\r\n" + strings.Repeat("x", 1<<10) + "\r\n"
	for _, text := range []string{
		strings.Repeat("Name: value\r\n", 1000),
		"Connection: close\r\n\r\n" + strings.Repeat("x", 16<<10),
		"Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat(chunk, 16),
	} {
		for _, s := range d.servers[:2] {
			s.setEndless([]byte(text))
		}
		time.Sleep(3 * time.Second)
	}
	for _, s := range d.servers[:2] {
		s.setEndless(nil)
	}
	d.awaitService("recovery", recoveryTimeout)
	cancel()
	running.Wait()
	for _, v := range d.vms {
		require.True(t, v.currentProcess().IsRunning(), "%s: %s", v.name, v.currentProcess().Status())
		peak := peakMemoryMB(t, v.currentProcess().PID())
		t.Logf("%s: peak of %d MB", v.name, peak)
		assert.Less(t, peak, smallMemoryMB, v.name)
	}
	assert.Empty(t, d.oracle.check())
}

func (s *server) setEndless(text []byte) {
	s.oracle.mu.Lock()
	defer s.oracle.mu.Unlock()
	s.endless = text
}
