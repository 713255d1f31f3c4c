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

// variablePrefix starts the names of the program's own variables. Those of the surrounding shell are not passed on.
const variablePrefix = "TARRAGONPOINT_"

// Process is a process that the testbed started.
type Process struct {
	// Name is the name of its output file, without the extension.
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
	// variables are added to the environment, as NAME=value.
	variables []string
}

// startProcess starts a command with its output appended to a file in dir.
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
		_ = cmd.Wait()          // The exit code is read from the state.
		_ = watch("-", p.PID()) // Without a watcher the start has failed.
	}()
	if watchErr != nil {
		p.Kill()
		return nil, fmt.Errorf("watch %s: %w", c.name, watchErr)
	}
	return p, nil
}

// StartProgram starts a program with its output appended to the file NAME.out in dir.
func StartProgram(dir, name, path string, args ...string) (*Process, error) {
	return startProcess(dir, command{name: name, path: path, args: args})
}

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

// Kill ends the process at once, as the loss of its VM does, and waits for its end.
func (p *Process) Kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// Pause stops the process without its knowledge; Resume continues it.
func (p *Process) Pause() { p.signal(syscall.SIGSTOP) }

// Resume continues a paused process.
func (p *Process) Resume() { p.signal(syscall.SIGCONT) }

// Reload tells the process that its settings have changed.
func (p *Process) Reload() { p.signal(syscall.SIGHUP) }

// Stop asks the process to stop and waits until it has, or returns an error after limit.
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

// ExitCode returns the exit code, or -1 if the process runs or a signal ended it.
func (p *Process) ExitCode() int {
	if p.IsRunning() {
		return -1
	}
	return p.cmd.ProcessState.ExitCode()
}

// Status says how the process ended, or "running".
func (p *Process) Status() string {
	if p.IsRunning() {
		return "running"
	}
	return p.cmd.ProcessState.String()
}

// Output returns what the process has written so far.
func (p *Process) Output() string {
	data, err := os.ReadFile(p.output)
	if err != nil {
		return err.Error()
	}
	return string(data)
}

// signal sends a signal to the process. One that has ended needs none.
func (p *Process) signal(signal os.Signal) { _ = p.cmd.Process.Signal(signal) }
