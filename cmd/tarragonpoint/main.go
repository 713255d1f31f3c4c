// Command tarragonpoint is the router and its operators' command line.
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
	// A reload that is asked for before a role listens for it must not end the process. Roles that reload are notified of
	// later ones.
	signal.Ignore(syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(cli.New(version, entry.Run).Run(ctx, os.Args[1:]))
}
