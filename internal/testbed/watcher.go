package testbed

import (
	"fmt"
	"io"
	"os/exec"
	"sync"
	"syscall"
)

// watchScript keeps a list of process IDs, to which "+ID" adds and from which "-ID" removes, and kills the processes on it
// when its input ends.
const watchScript = `pids=
while read -r line; do
  id=${line#?}; kept=
  for p in $pids; do [ "$p" = "$id" ] || kept="$kept $p"; done
  pids=$kept
  case $line in +*) pids="$pids $id";; esac
done
[ -z "$pids" ] || kill -9 $pids`

// watcher is the input of a shell that kills the running processes when this process ends, however it ends. The input ends
// with the last process that holds it, and only this one does.
var watcher = sync.OnceValues(func() (io.Writer, error) {
	shell := exec.Command("sh", "-c", watchScript)
	shell.SysProcAttr = ownGroup()
	input, err := shell.StdinPipe()
	if err != nil {
		return nil, err
	}
	return input, shell.Start()
})

// watch adds a process to the list of the watcher ("+") or removes it ("-").
func watch(change string, id int) error {
	list, err := watcher()
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(list, "%s%d\n", change, id)
	return err
}

// ownGroup keeps an interrupt at the terminal from reaching a process before the demo can stop it.
func ownGroup() *syscall.SysProcAttr { return &syscall.SysProcAttr{Setpgid: true} }
