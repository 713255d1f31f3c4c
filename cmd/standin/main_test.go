package main

import (
	"bufio"
	"context"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tarragonpoint/tarragonpoint/internal/platform"
)

// runMain is the environment variable that makes the test binary run the command.
const runMain = "STANDIN_TEST_RUN_MAIN"

func TestMain(m *testing.M) {
	if os.Getenv(runMain) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// start starts the command and returns it together with the address that it printed.
func start(t *testing.T, args ...string) (*exec.Cmd, string) {
	command := exec.Command(os.Args[0], args...)
	command.Env = append(os.Environ(), runMain+"=1")
	output, err := command.StdoutPipe()
	require.NoError(t, err)
	require.NoError(t, command.Start())
	t.Cleanup(func() {
		if command.ProcessState == nil {
			_ = command.Process.Kill()
			_ = command.Wait()
		}
	})
	line, err := bufio.NewReader(output).ReadString('\n')
	require.NoError(t, err)
	return command, strings.TrimSpace(line)
}

// Guards against processes that keep running after SIGTERM, a target that prints its address before it is registered,
// and a simulated crash that leaves the process running.
func TestProcessesStartRegisterAndEnd(t *testing.T) {
	store, address := start(t, "store", "--listen", "127.0.0.1:0")
	target, targetAddress := start(t, "target", "--vm", "vm7", "--zone", "coast-a", "--store", "http://"+address, "--unchecked")
	list := platform.StoreVMList{URL: "http://" + address}
	require.NoError(t, list.Provision(nil))
	reply, err := list.List(context.Background())
	require.NoError(t, err)
	require.Equal(t, []platform.VM{{ID: "vm7", Zone: "coast-a", State: platform.VMLive}}, reply.VMs)
	_, err = http.Post("http://"+targetAddress+"/x?crash=1", "", nil)
	require.Error(t, err)
	require.Error(t, target.Wait())
	require.Equal(t, exitCrash, target.ProcessState.ExitCode())
	require.NoError(t, store.Process.Signal(syscall.SIGTERM))
	require.NoError(t, store.Wait())
}
