package soak

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tarragonpoint/tarragonpoint/internal/testbed"
)

// Guards against a reload signal that ends a process which has not read its settings yet. The settings come from a
// pipe, so that the process is still waiting for them when the signal arrives.
func TestReloadBeforeSettingsAreRead(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	dir := t.TempDir()
	pipe := filepath.Join(dir, "settings")
	require.NoError(t, syscall.Mkfifo(pipe, 0o600))
	process, err := testbed.StartProgram(dir, "vm", program, "gateway", "-config", pipe)
	require.NoError(t, err)
	t.Cleanup(process.Kill)
	settings, err := os.OpenFile(pipe, os.O_WRONLY, 0)
	require.NoError(t, err)
	process.Reload()
	time.Sleep(50 * time.Millisecond)
	text := "vm-id vm\nzone a\nregion r\nzones a=r\nstore-address 127.0.0.1:1\n"
	for _, name := range []string{"callers", "ready", "peers"} {
		address, err := addresses.Free()
		require.NoError(t, err)
		text += fmt.Sprintf("listen-%s %s\n", name, address)
	}
	_, err = settings.WriteString(text)
	require.NoError(t, err)
	require.NoError(t, settings.Close())
	require.True(t, waitUntil(startTimeout, func() bool {
		return strings.Contains(process.Output(), "process starts")
	}), process.Output())
	require.True(t, process.IsRunning())
}
