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
	"github.com/tarragonpoint/tarragonpoint/internal/platform"
	"github.com/tarragonpoint/tarragonpoint/internal/standin"
)

// registerTimeout bounds the registration of a target in the VM list.
const registerTimeout = 5 * time.Second

func targetCommand() *ffcli.Command {
	options := standin.TargetOptions{OnCrash: func() { os.Exit(exitCrash) }}
	flags := flag.NewFlagSet("standin target", flag.ContinueOnError)
	listen := flags.String("listen", "127.0.0.1:0", "address to listen on")
	id := flags.String("id", "target", "ID of the target")
	vm := flags.String("vm", "", "VM of the target in the VM list")
	zone := flags.String("zone", "", "zone of the VM")
	vmList := flags.String("vmlist", "", "URL of a stand-in VM list to register in")
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
		entry := platform.VM{ID: model.VMID(*vm), Zone: model.Zone(*zone), State: platform.VMLive}
		return serve(ctx, *listen, standin.NewTarget(options), func(string) error {
			if *vm == "" || *vmList == "" {
				return nil
			}
			return register(ctx, *vmList, entry)
		})
	})
}

// register adds a VM to a stand-in VM list.
func register(ctx context.Context, vmList string, entry platform.VM) error {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	body, err := json.Marshal(standin.VMListChange{Set: []platform.VM{entry}})
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, vmList+"/control", bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("VM list answered with status %d", response.StatusCode)
	}
	return nil
}
