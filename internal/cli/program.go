// Package cli is the command line of the router: the server roles and the commands for operators.
//
// Commands print results to standard output and numbered errors to standard error:
//
//	tarragonpoint: 403 config-conflict: MESSAGE; what to do: ACTION
//
// Exit codes are those of package result.
package cli

import (
	"bytes"
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/tarragonpoint/tarragonpoint/internal/gateway"
	"github.com/tarragonpoint/tarragonpoint/internal/kernel"
	"github.com/tarragonpoint/tarragonpoint/internal/platform"
	"github.com/tarragonpoint/tarragonpoint/internal/result"
	"github.com/tarragonpoint/tarragonpoint/internal/settings"
)

// LogFactory returns a client of the log service at a base URL, provided by the plug-in with the ID.
type LogFactory func(ctx context.Context, id kernel.ID, url string) (platform.Log, error)

// Program holds the dependencies of the commands. All fields are required; New sets them for a real process.
type Program struct {
	Stdout io.Writer
	Stderr io.Writer
	// Version is the text that the version command prints.
	Version string
	// RunEntry runs the entry role until ctx ends. Its settings have been checked.
	RunEntry func(ctx context.Context, entry settings.Entry) error
	// RunGateway runs the gateway role until ctx ends. Its settings have been checked.
	RunGateway func(ctx context.Context, settings gateway.Settings) error
	// NewLog creates the client of the log service.
	NewLog LogFactory
	// HTTP is the client for the admin endpoints of entry VMs.
	HTTP *http.Client
	// Pause waits between two attempts to reach the log, or until ctx ends.
	Pause func(ctx context.Context, wait time.Duration)

	// help buffers help texts. The flag package also writes them for each invalid flag, but they are printed only on
	// request.
	help bytes.Buffer
}

// New returns a program that writes to the standard output and standard error of the process.
func New(version string, runEntry func(ctx context.Context, entry settings.Entry) error) *Program {
	return &Program{
		Stdout:     os.Stdout,
		Stderr:     os.Stderr,
		Version:    version,
		RunEntry:   runEntry,
		RunGateway: gateway.Run,
		NewLog:     NewPluginLog,
		// The default transport would apply the proxy settings of the environment.
		HTTP:  &http.Client{Transport: &http.Transport{}},
		Pause: pause,
	}
}

// Run runs the command with the arguments args, which exclude the program name, and returns the exit code.
func (p *Program) Run(ctx context.Context, args []string) int {
	err := p.root().ParseAndRun(ctx, args)
	if errors.Is(err, flag.ErrHelp) {
		fmt.Fprint(p.Stderr, p.help.String())
		return result.ExitOK
	}
	if err == nil {
		return result.ExitOK
	}
	failed := asFailure(err)
	fmt.Fprintln(p.Stderr, failed.report())
	return failed.exit()
}

func (p *Program) root() *ffcli.Command {
	root := p.group("tarragonpoint", "router in front of servers that own keys exclusively")
	root.Subcommands = []*ffcli.Command{
		p.entryCommand(),
		p.gatewayCommand(),
		p.configCommand(),
		p.zoneCommand(),
		p.targetCommand(),
		p.ownerCommand(),
		p.statusCommand(),
		p.versionCommand(),
	}
	return root
}

func (p *Program) versionCommand() *ffcli.Command {
	return p.command("version", "", "print the version of the program", p.flags("version"), func(context.Context, []string) error {
		fmt.Fprintln(p.Stdout, p.Version)
		return nil
	})
}

func pause(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
