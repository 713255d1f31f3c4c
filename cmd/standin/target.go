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

// registerTimeout bounds the registration of a target in the store.
const registerTimeout = 5 * time.Second

func targetCommand() *ffcli.Command {
	options := standin.TargetOptions{OnCrash: func() { os.Exit(exitCrash) }}
	flags := flag.NewFlagSet("standin target", flag.ContinueOnError)
	listen := flags.String("listen", "127.0.0.1:0", "address to listen on")
	id := flags.String("id", "target", "ID of the target")
	vm := flags.String("vm", "", "VM of the target, under which it is registered")
	zone := flags.String("zone", "", "zone of the VM")
	store := flags.String("store", "", "URL of a stand-in store to register in")
	service := flags.String("service", "target", "service of the target")
	flags.IntVar(&options.Concurrency, "concurrency", 4, "requests that run at a time")
	flags.IntVar(&options.Queue, "queue", 8, "requests that may wait")
	flags.DurationVar(&options.ServiceTime, "service-time", 5*time.Millisecond, "time that a request takes")
	flags.DurationVar(&options.ColdStart, "cold-start", 0, "length of the ramp after the start")
	flags.IntVar(&options.ColdInitial, "cold-initial", 1, "requests that a target bears when it has just started")
	flags.DurationVar(&options.LoadLag, "load-lag", time.Second, "lag of the reported load")
	flags.DurationVar(&options.DrainGrace, "drain-grace", 0, "time for which a draining target takes requests")
	journal := flags.String("journal", "", "file to which runs are appended, one JSON line for each start and end")
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

// register lists a VM in a stand-in store.
func register(ctx context.Context, store string, listed standin.Registration) error {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	put, err := listed.Register()
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
		return fmt.Errorf("store answered with status %d", response.StatusCode)
	}
	return nil
}
