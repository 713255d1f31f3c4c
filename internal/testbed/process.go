package testbed

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// variablePrefix is the prefix of the program's own environment variables. Those of the surrounding shell are not
// inherited.
const variablePrefix = "TARRAGONPOINT_"

// Process is a process that the testbed started.
type Process struct {
	// Name is the name of the output file without its extension.
	Name   string
	output string
	cmd    *exec.Cmd
	done   chan struct{}
}

// command describes a process to start.
type command struct {
	name string
	path string
	args []string
	// variables are added to the environment, in the form NAME=value.
	variables []string
}

// startProcess starts a command and appends its output to the file NAME.out in dir.
func startProcess(dir string, c command) (*Process, error) {
	path := filepath.Join(dir, c.name+".out")
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, fileMode)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	cmd := exec.Command(c.path, c.args...)
	cmd.Env = append(environment(), c.variables...)
	cmd.Stdout, cmd.Stderr = file, file
	cmd.SysProcAttr = ownGroup()
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", c.name, err)
	}
	p := &Process{Name: c.name, output: path, cmd: cmd, done: make(chan struct{})}
	watchErr := watch("+", p.PID())
	go func() {
		defer close(p.done)
		_ = cmd.Wait()          // The error is not needed: ExitCode and Status read the process state.
		_ = watch("-", p.PID()) // If there is no watchdog, the start fails below.
	}()
	if watchErr != nil {
		p.Kill()
		return nil, fmt.Errorf("watch %s: %w", c.name, watchErr)
	}
	return p, nil
}

// StartProgram starts a program and appends its output to the file NAME.out in dir.
func StartProgram(dir, name, path string, args ...string) (*Process, error) {
	return startProcess(dir, command{name: name, path: path, args: args})
}

// environment returns the environment of this process without the program's own variables.
func environment() []string {
	var kept []string
	for _, variable := range os.Environ() {
		if !strings.HasPrefix(variable, variablePrefix) {
			kept = append(kept, variable)
		}
	}
	return kept
}

// PID returns the process ID.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// IsRunning reports whether the process has not ended.
func (p *Process) IsRunning() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Kill sends SIGKILL, which ends the process as abruptly as a VM failure, and waits for its end.
func (p *Process) Kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// Pause suspends the process with SIGSTOP, which the process cannot notice; Resume continues it.
func (p *Process) Pause() { p.signal(syscall.SIGSTOP) }

// Resume continues a paused process with SIGCONT.
func (p *Process) Resume() { p.signal(syscall.SIGCONT) }

// Reload sends SIGHUP, upon which the process reloads its settings.
func (p *Process) Reload() { p.signal(syscall.SIGHUP) }

// Stop sends SIGTERM and waits for the process to end. It returns an error if the process still runs after limit.
func (p *Process) Stop(limit time.Duration) error {
	p.signal(syscall.SIGTERM)
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	return p.wait(ctx)
}

func (p *Process) wait(ctx context.Context) error {
	select {
	case <-p.done:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("%s did not end: %w", p.Name, ctx.Err())
	}
}

// ExitCode returns the exit code, or -1 if the process is running or was ended by a signal.
func (p *Process) ExitCode() int {
	if p.IsRunning() {
		return -1
	}
	return p.cmd.ProcessState.ExitCode()
}

// Status describes how the process ended, or is "running".
func (p *Process) Status() string {
	if p.IsRunning() {
		return "running"
	}
	return p.cmd.ProcessState.String()
}

// Output returns what the process has written so far, or the error of reading it.
func (p *Process) Output() string {
	data, err := os.ReadFile(p.output)
	if err != nil {
		return err.Error()
	}
	return string(data)
}

// signal sends a signal to the process. The error is ignored, because a process that has ended needs no signal.
func (p *Process) signal(signal os.Signal) { _ = p.cmd.Process.Signal(signal) }
