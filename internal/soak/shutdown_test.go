package soak

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tarragonpoint/tarragonpoint/internal/testbed"
)

const (
	// pausedVMs is the number of VMs of TestRequestAtPausedVMIsAnsweredDuringStop. Whether one of them fails depends on
	// what its process does first when it continues.
	pausedVMs = 16
	// shutdownDelay is the time from the stop signal until a VM closes idle connections.
	shutdownDelay = 2500 * time.Millisecond
	// pauseMargin is how long before that a VM is paused, and how long after it continues. It covers a test that wakes late.
	pauseMargin = time.Second
)

// Guards against a request without an answer, because a VM that stops closed its connection without having read it. The
// VM is paused when the request arrives and when it is due to close idle connections.
func TestRequestAtPausedVMIsAnsweredDuringStop(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	for i := range pausedVMs {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			t.Parallel()
			callers, process := startLoneVM(t, fmt.Sprintf("vm-%d", i))
			caller, err := net.Dial("tcp4", callers)
			require.NoError(t, err)
			t.Cleanup(func() { _ = caller.Close() })
			require.NoError(t, caller.SetDeadline(time.Now().Add(startTimeout)))
			reader := bufio.NewReader(caller)
			requireAnswer(t, caller, reader)
			stopped := make(chan error, 1)
			go func() { stopped <- process.Stop(grace + stopTolerance) }()
			time.Sleep(shutdownDelay - pauseMargin)
			process.Pause()
			time.AfterFunc(2*pauseMargin, process.Resume)
			requireAnswer(t, caller, reader)
			assert.NoError(t, <-stopped)
		})
	}
}

// startLoneVM starts a VM without a store, which rejects all requests. It returns its address for callers.
func startLoneVM(t *testing.T, name string) (string, *testbed.Process) {
	listen := make([]string, 3)
	for i := range listen {
		address, err := addresses.Free()
		require.NoError(t, err)
		listen[i] = address
	}
	process, err := testbed.StartProgram(t.TempDir(), name, program,
		"gateway", "-vm-id", name, "-zone", "a", "-region", "r", "-zones", "a=r", "-store-address", "127.0.0.1:1",
		"-listen-callers", listen[0], "-listen-ready", listen[1], "-listen-peers", listen[2], "-grace", grace.String())
	require.NoError(t, err)
	t.Cleanup(process.Kill)
	require.True(t, waitUntil(startTimeout, func() bool {
		socket, err := net.Dial("tcp4", listen[0])
		if err == nil {
			_ = socket.Close()
		}
		return err == nil
	}), process.Output())
	return listen[0], process
}

// requireAnswer sends a request and reads its response.
func requireAnswer(t *testing.T, caller net.Conn, reader *bufio.Reader) {
	_, err := io.WriteString(caller, "GET /reads/1 HTTP/1.1\r\nHost: a.example\r\nX-Tarragonpoint-Attempt-Id: 1\r\n\r\n")
	require.NoError(t, err)
	response, err := http.ReadResponse(reader, nil)
	require.NoError(t, err)
	_, err = io.Copy(io.Discard, response.Body)
	require.NoError(t, err)
}
