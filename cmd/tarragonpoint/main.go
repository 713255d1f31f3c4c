// Command tarragonpoint runs the router and provides the command line for its operators.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/tarragonpoint/tarragonpoint/internal/cli"
	"github.com/tarragonpoint/tarragonpoint/internal/entry"
)

// version is set by the linker of a release build.
var version = "development"

func main() {
	// By default SIGHUP ends the process. A reload signal that arrives before a role handles it must be ignored
	// instead; roles that support reloads register their own handler later.
	signal.Ignore(syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(cli.New(version, entry.Run).Run(ctx, os.Args[1:]))
}
