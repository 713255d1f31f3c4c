//go:build !linux

package testbed

import "syscall"

// processAttributes put a process into a group of its own, so that an interrupt at the terminal does not reach it before
// the demo can stop it.
func processAttributes() *syscall.SysProcAttr { return &syscall.SysProcAttr{Setpgid: true} }
