package testbed

import (
	"context"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/config"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/standin"
)

const (
	fileMode = 0o600
	// startTimeout bounds the time until a started process listens or all entry VMs are ready.
	startTimeout = 30 * time.Second
	// pollInterval is the time between two checks of an awaited condition.
	pollInterval = 20 * time.Millisecond
)

// Options describe a cluster.
type Options struct {
	Programs Programs
	State    config.State
	// KeepAddresses keeps the target addresses in State that are free. All other addresses are replaced by free ones.
	KeepAddresses bool
	// Entries is the number of entry VMs, distributed evenly over the zones.
	Entries int
	// Dir receives the output of the processes, the journals of the targets and the configuration files.
	Dir string
}

// Cluster is a running deployment. Its methods are meant for one goroutine, except Ready, Publish and
// RunOperatorCommand. Callers may send requests through its entry VMs from other goroutines.
type Cluster struct {
	State   config.State
	Targets map[model.TargetID]*Target
	// StoreURL is the base URL of the platform's store.
	StoreURL string
	Zones    []model.Zone

	options   Options
	mutex     sync.Mutex
	entries   []*Entry
	processes []*Process
	// zoneLogs are the relays through which the entry VMs of each zone reach the log.
	zoneLogs map[model.Zone]*standin.Relay
	client   *http.Client
	balancer *balancer
	// commands is the number of operators' commands so far. The name of each command contains its number.
	commands int
}

// Start starts the store, all targets and all entry VMs. After an error it ends the processes that it has started.
func Start(ctx context.Context, options Options) (*Cluster, error) {
	c := &Cluster{
		options:  options,
		State:    cloneTargets(options.State),
		Targets:  map[model.TargetID]*Target{},
		zoneLogs: map[model.Zone]*standin.Relay{},
		client:   &http.Client{Timeout: controlTimeout, Transport: &http.Transport{}},
	}
	for zone := range options.State.Zones {
		c.Zones = append(c.Zones, zone)
	}
	slices.Sort(c.Zones)
	c.balancer = newBalancer(c.Entries)
	for _, step := range []func(context.Context) error{c.startPlatform, c.startTargets, c.startEntries} {
		if err := step(ctx); err != nil {
			c.Close()
			return nil, err
		}
	}
	return c, nil
}

// cloneTargets copies the targets of a state, because Start replaces their addresses.
func cloneTargets(state config.State) config.State {
	state.Targets = maps.Clone(state.Targets)
	return state
}

// Close ends all processes that the cluster started and waits for their end.
func (c *Cluster) Close() {
	c.balancer.close()
	for _, p := range c.started() {
		p.Kill()
	}
	for _, relay := range c.zoneLogs {
		relay.Close()
	}
	c.client.CloseIdleConnections()
}

// Running returns the names of the processes that have not ended.
func (c *Cluster) Running() []string {
	var names []string
	for _, p := range c.started() {
		if p.IsRunning() {
			names = append(names, p.Name)
		}
	}
	return names
}

// Entries returns all entry VMs except those that were removed.
func (c *Cluster) Entries() []*Entry {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return slices.Clone(c.entries)
}

// EntriesIn returns the entry VMs of a zone.
func (c *Cluster) EntriesIn(zone model.Zone) []*Entry {
	return slices.DeleteFunc(c.Entries(), func(e *Entry) bool { return e.Zone != zone })
}

func (c *Cluster) started() []*Process {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return slices.Clone(c.processes)
}

// run starts a process and records it for Close.
func (c *Cluster) run(started command) (*Process, error) {
	p, err := startProcess(c.options.Dir, started)
	if err != nil {
		return nil, err
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.processes = append(c.processes, p)
	return p, nil
}

// startPlatform starts the store, and a relay to it for each zone.
func (c *Cluster) startPlatform(ctx context.Context) error {
	store, err := c.startStandIn(ctx, "store")
	if err != nil {
		return err
	}
	c.StoreURL = "http://" + store
	for _, zone := range c.Zones {
		relay, err := standin.NewRelay(store)
		if err != nil {
			return err
		}
		c.zoneLogs[zone] = relay
	}
	return nil
}

func (c *Cluster) startStandIn(ctx context.Context, kind string) (string, error) {
	address, err := addresses.free()
	if err != nil {
		return "", err
	}
	p, err := c.run(command{name: kind, path: c.options.Programs.StandIn, args: []string{kind, "--listen", address}})
	if err != nil {
		return "", err
	}
	return address, awaitListening(ctx, p, address)
}

// awaitListening waits until a process accepts connections. It returns an error if the process ends.
func awaitListening(ctx context.Context, p *Process, address string) error {
	err := Await(ctx, startTimeout, p.Name+" to listen", func() bool {
		conn, err := net.DialTimeout("tcp", address, pollInterval)
		if err != nil {
			return !p.IsRunning()
		}
		_ = conn.Close()
		return true
	})
	if err == nil && !p.IsRunning() {
		err = fmt.Errorf("%s ended: %s", p.Name, p.Output())
	}
	return err
}

// Await waits until a condition holds. If it does not hold within limit, Await returns an error that contains what.
func Await(ctx context.Context, limit time.Duration, what string, holds func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !holds() {
		select {
		case <-ctx.Done():
			return fmt.Errorf("waited %s for %s: %w", limit, what, ctx.Err())
		case <-ticker.C:
		}
	}
	return nil
}

// Outputs returns the output of all entry VMs, for failure reports.
func (c *Cluster) Outputs() string {
	var text strings.Builder
	for _, p := range c.started() {
		if strings.HasPrefix(p.Name, entryPrefix) {
			fmt.Fprintf(&text, "--- %s\n%s", p.Name, p.Output())
		}
	}
	return text.String()
}
