package main

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/standin"
)

// registerTimeout bounds the time for registering a target in the store.
const registerTimeout = 5 * time.Second

func targetCommand() *ffcli.Command {
	options := standin.TargetOptions{OnCrash: func() { os.Exit(exitCrash) }}
	flags := flag.NewFlagSet("standin target", flag.ContinueOnError)
	listen := flags.String("listen", "127.0.0.1:0", "address to listen on")
	id := flags.String("id", "target", "ID of the target")
	vm := flags.String("vm", "", "ID of the VM under which the target is registered; empty disables the registration")
	zone := flags.String("zone", "", "availability zone of the VM")
	store := flags.String("store", "",
		"URL of the stand-in store in which the target is registered; empty disables the registration")
	service := flags.String("service", "target", "service that the target provides")
	flags.IntVar(&options.Concurrency, "concurrency", 4, "maximum number of concurrent requests")
	flags.IntVar(&options.Queue, "queue", 8, "maximum number of queued requests")
	flags.DurationVar(&options.ServiceTime, "service-time", 5*time.Millisecond, "processing time of a request")
	flags.DurationVar(&options.ColdStart, "cold-start", 0, "duration of the cold-start ramp")
	flags.IntVar(&options.ColdInitial, "cold-initial", 1, "concurrency limit at the start of the cold-start ramp")
	flags.DurationVar(&options.LoadLag, "load-lag", time.Second, "maximum age of the reported load")
	flags.DurationVar(&options.DrainGrace, "drain-grace", 0, "time for which a draining target still accepts requests")
	journal := flags.String("journal", "", "file to which each start and end of a run is appended as a line of JSON")
	flags.BoolVar(&options.Unchecked, "unchecked", false, "ignore fences, terms and leases")
	return command("target", flags, func(ctx context.Context) error {
		options.ID = model.TargetID(*id)
		if *journal != "" {
			file, err := standin.OpenJournal(*journal)
			if err != nil {
				return err
			}
			defer func() { _ = file.Close() }()
			options.Journal = file.Write
		}
		return serve(ctx, *listen, standin.NewTarget(options), func(address string) error {
			if *vm == "" || *store == "" {
				return nil
			}
			return register(ctx, *store, standin.Registration{
				VM: model.VMID(*vm), Service: model.Service(*service), Address: address, Zone: model.Zone(*zone),
			})
		})
	})
}

// register registers a VM and its target in a stand-in store.
func register(ctx context.Context, store string, registration standin.Registration) error {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	put, err := registration.Register()
	if err != nil {
		return err
	}
	body, err := json.Marshal(put)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, store+standin.PutPath, bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("store responded with status %d", response.StatusCode)
	}
	return nil
}
