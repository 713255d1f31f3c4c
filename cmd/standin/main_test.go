package main

import (
	"bufio"
	"encoding/json"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tarragonpoint/tarragonpoint/internal/platform"
)

// runMain makes the test binary act as the command.
const runMain = "STANDIN_TEST_RUN_MAIN"

func TestMain(m *testing.M) {
	if os.Getenv(runMain) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// start runs the command and returns it with the address that it printed.
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

// Guards against processes that outlive SIGTERM, a target that prints its address before it is in the VM list, and a
// crash that leaves the process running.
func TestProcessesStartRegisterAndEnd(t *testing.T) {
	list, address := start(t, "vmlist", "--listen", "127.0.0.1:0")
	service, _ := start(t, "log")
	server, targetAddress := start(t, "target", "--vm", "vm7", "--zone", "coast-a", "--vmlist", "http://"+address, "--unchecked")
	response, err := http.Get("http://" + address + "/v1/vms")
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	var reply platform.VMListReply
	require.NoError(t, json.NewDecoder(response.Body).Decode(&reply))
	require.Equal(t, []platform.VM{{ID: "vm7", Zone: "coast-a", State: platform.VMLive}}, reply.VMs)
	_, err = http.Post("http://"+targetAddress+"/x?crash=1", "", nil)
	require.Error(t, err)
	require.Error(t, server.Wait())
	require.Equal(t, exitCrash, server.ProcessState.ExitCode())
	for _, command := range []*exec.Cmd{list, service} {
		require.NoError(t, command.Process.Signal(syscall.SIGTERM))
		require.NoError(t, command.Wait())
	}
}
