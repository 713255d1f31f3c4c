// Command standin runs small stand-ins of the platform and of targets for tests and the demo. It is never shipped.
//
//	standin store|target --listen 127.0.0.1:0 [flags]
//
// It prints one line with its address when it is ready and exits on SIGTERM or an interrupt.
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

// exitFailure is the exit code after an error; exitCrash is that of a target that was made to crash.
const (
	exitFailure = 1
	exitCrash   = 3
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
	flags.IntVar(&options.KeepRecords, "keep-records", 0, "records kept in each topic; 0 keeps all")
	flags.DurationVar(&options.KeepAge, "keep-age", 0, "time for which records are kept; 0 keeps them for ever")
	flags.DurationVar(&options.Lag, "lag", 0, "time after which readers see what the platform lists")
	return command("store", flags, func(ctx context.Context) error {
		return serve(ctx, *listen, standin.NewStore(options), nil)
	})
}

func command(name string, flags *flag.FlagSet, run func(ctx context.Context) error) *ffcli.Command {
	return &ffcli.Command{Name: name, FlagSet: flags, Exec: func(ctx context.Context, _ []string) error { return run(ctx) }}
}

// serve runs a stand-in until ctx ends. ready, if any, is called with the address before it is printed.
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
