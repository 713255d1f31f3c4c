package testbed

import (
	"fmt"
	"io"
	"os/exec"
	"sync"
	"syscall"
)

// watchScript maintains a list of process IDs. An input line "+ID" adds an ID and "-ID" removes it. At the end of the
// input, the script kills all processes in the list.
const watchScript = `pids=
while read -r line; do
  id=${line#?}; kept=
  for p in $pids; do [ "$p" = "$id" ] || kept="$kept $p"; done
  pids=$kept
  case $line in +*) pids="$pids $id";; esac
done
[ -z "$pids" ] || kill -9 $pids`

// watchdog starts, on the first call, a shell that kills the running processes when this process ends, however it ends,
// and returns the shell's input. The input reaches its end when this process ends, because no other process holds its
// writing side.
var watchdog = sync.OnceValues(func() (io.Writer, error) {
	shell := exec.Command("sh", "-c", watchScript)
	shell.SysProcAttr = ownGroup()
	input, err := shell.StdinPipe()
	if err != nil {
		return nil, err
	}
	return input, shell.Start()
})

// watch adds a process to the list of the watchdog if change is "+", and removes it if change is "-".
func watch(change string, id int) error {
	list, err := watchdog()
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(list, "%s%d\n", change, id)
	return err
}

// ownGroup puts a process into a process group of its own, so that an interrupt from the terminal (Ctrl-C) does not
// reach the process before the demo stops it.
func ownGroup() *syscall.SysProcAttr { return &syscall.SysProcAttr{Setpgid: true} }
