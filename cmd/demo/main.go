// Command demo demonstrates the router with both example deployments. It runs them one after the other as local
// processes on loopback addresses, terminates by itself and leaves no processes running.
//
//	demo [-bin bin] [-examples examples]
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/config"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/testbed"
)

const (
	// demoTimeout bounds the duration of the whole demo.
	demoTimeout = 85 * time.Second
	// entryCount is the number of entry VMs of each deployment.
	entryCount = 10
)

// deployments are the example deployments, each with a tenant that may be served in any region.
var deployments = []deployment{
	{name: "granite", keyed: "draft-review", unkeyed: "alert-desk", tenant: "river-trust"},
	{name: "skyframe", keyed: "media-svc", unkeyed: "forecast-svc", tenant: "province-wide"},
}

type deployment struct {
	name           string
	keyed, unkeyed model.Service
	tenant         model.Tenant
}

func main() {
	bin := flag.String("bin", "bin", "directory with the compiled programs")
	examples := flag.String("examples", "examples", "directory with the inventory and rules files")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	err := runAll(ctx, *bin, *examples)
	cancel()
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(1)
	}
}

func runAll(ctx context.Context, bin, examples string) error {
	started := time.Now()
	for _, d := range deployments {
		if err := d.run(ctx, bin, examples); err != nil {
			return fmt.Errorf("%s: %w", d.name, err)
		}
	}
	fmt.Printf("done in %s\n", rounded(time.Since(started)))
	return nil
}

func (d deployment) run(ctx context.Context, bin, examples string) error {
	state, err := d.load(examples)
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "tarragonpoint-demo-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	options := testbed.Options{Programs: testbed.ProgramsIn(bin), State: state, KeepAddresses: true, Entries: entryCount, Dir: dir}
	started := time.Now()
	cluster, err := testbed.Start(ctx, options)
	if err != nil {
		return err
	}
	defer cluster.Close()
	fmt.Printf("\n== %s: %d entry VMs and %d targets in %d zones, started in %s\n", d.name, len(cluster.Entries()), len(cluster.Targets),
		len(cluster.Zones), rounded(time.Since(started)))
	caller := testbed.NewCaller()
	defer caller.Close()
	s := &show{deployment: d, cluster: cluster, caller: caller}
	return s.run(ctx)
}

// load reads and validates the inventory and the rules of the deployment.
func (d deployment) load(examples string) (config.State, error) {
	var files [2]config.File
	for i, kind := range []string{"inventory", "rules"} {
		path := filepath.Join(examples, d.name+"."+kind+".yaml")
		data, err := os.ReadFile(path)
		if err != nil {
			return config.State{}, err
		}
		files[i] = config.File{Name: path, Data: data}
	}
	loaded, err := config.Load(files[0], files[1])
	if err != nil {
		return config.State{}, err
	}
	return loaded.State, loaded.Validate()
}

func rounded(length time.Duration) time.Duration { return length.Round(time.Millisecond) }
