package testbed

import "syscall"

// processAttributes let the kernel kill a process when the thread that started it ends. A group of its own keeps an
// interrupt at the terminal from reaching it before the demo can stop it.
func processAttributes() *syscall.SysProcAttr {
	return &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
}
