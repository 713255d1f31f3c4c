// Command standin runs a stand-in for the platform's store or for a target, for tests and the demo. It is never
// shipped.
//
//	standin store|target --listen 127.0.0.1:0 [flags]
//
// It prints its address on one line when it is ready, and exits on SIGTERM or SIGINT.
package main

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/tarragonpoint/tarragonpoint/internal/standin"
)

// Exit codes.
const (
	// exitFailure reports an error.
	exitFailure = 1
	// exitCrash is the exit code of a target after a simulated crash.
	exitCrash = 3
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	root := &ffcli.Command{
		ShortUsage:  "standin store|target [flags]",
		FlagSet:     flag.NewFlagSet("standin", flag.ContinueOnError),
		Subcommands: []*ffcli.Command{storeCommand(), targetCommand()},
		Exec:        func(context.Context, []string) error { return flag.ErrHelp },
	}
	if err := root.ParseAndRun(ctx, os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(exitFailure)
	}
}

func storeCommand() *ffcli.Command {
	var options standin.StoreOptions
	flags := flag.NewFlagSet("standin store", flag.ContinueOnError)
	listen := flags.String("listen", "127.0.0.1:0", "address to listen on")
	flags.IntVar(&options.KeepRecords, "keep-records", 0, "maximum number of records kept in each topic; 0 keeps all")
	flags.DurationVar(&options.KeepAge, "keep-age", 0, "time for which records are kept; 0 keeps them without limit")
	flags.DurationVar(&options.Lag, "lag", 0, "delay until readers see records that the platform writes")
	return command("store", flags, func(ctx context.Context) error {
		return serve(ctx, *listen, standin.NewStore(options), nil)
	})
}

func command(name string, flags *flag.FlagSet, run func(ctx context.Context) error) *ffcli.Command {
	return &ffcli.Command{Name: name, FlagSet: flags, Exec: func(ctx context.Context, _ []string) error { return run(ctx) }}
}

// serve runs the handler on the listen address until ctx ends. It calls ready, unless nil, with the actual address
// before it prints this address.
func serve(ctx context.Context, listen string, handler http.Handler, ready func(address string) error) error {
	server, err := standin.Listen(listen, handler)
	if err != nil {
		return err
	}
	defer server.Close()
	if ready != nil {
		if err := ready(server.Address); err != nil {
			return err
		}
	}
	fmt.Println(server.Address)
	<-ctx.Done()
	return nil
}
