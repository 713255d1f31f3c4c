package testbed

import (
	"context"
	"fmt"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

const (
	entryPrefix = "entry-"
	// peerKeys sets the shared key of all entry VMs of a testbed.
	peerKeys = "TARRAGONPOINT_PEER_KEYS=testbed-key-of-thirty-two-bytes!"
	// cutVariable is the environment variable with the path of the file that lists the peers which an entry VM cannot
	// reach; package entry reads it.
	cutVariable = "TARRAGONPOINT_TEST_CUT_FILE"
	// drainTime is the setting -drain-time of all entry VMs.
	drainTime = 15 * time.Second
)

// Entry is one entry VM.
type Entry struct {
	*Process
	VM   model.VMID
	Zone model.Zone
	// CallerAddress, AdminAddress and PeerAddress are the addresses for callers, admin requests and other entry VMs,
	// each IP:port.
	CallerAddress, AdminAddress, PeerAddress string
	command                                  command
	// cutFile lists the VMs that this one cannot reach, one per line.
	cutFile string
}

func (c *Cluster) startEntries(ctx context.Context) error {
	for i := range c.options.Entries {
		zone := c.Zones[i%len(c.Zones)]
		if _, err := c.AddEntry(ctx, model.VMID(fmt.Sprintf("%s%s-%d", entryPrefix, zone, i/len(c.Zones)+1)), zone); err != nil {
			return err
		}
	}
	for _, started := range c.Entries() {
		if err := awaitListening(ctx, started.Process, started.AdminAddress); err != nil {
			return err
		}
	}
	return nil
}

// AddEntry adds an entry VM to the VM list and starts it. It does not wait until the VM is ready.
func (c *Cluster) AddEntry(ctx context.Context, vm model.VMID, zone model.Zone) (*Entry, error) {
	e := &Entry{VM: vm, Zone: zone, cutFile: filepath.Join(c.options.Dir, string(vm)+".cut")}
	for _, address := range []*string{&e.CallerAddress, &e.AdminAddress, &e.PeerAddress} {
		free, err := addresses.free()
		if err != nil {
			return nil, err
		}
		*address = free
	}
	if err := c.register(ctx, e); err != nil {
		return nil, err
	}
	var knownPeers []string
	for _, other := range c.Entries() {
		knownPeers = append(knownPeers, string(other.VM)+"="+other.PeerAddress)
	}
	e.command = command{name: string(vm), path: c.options.Programs.Router, variables: []string{peerKeys, cutVariable + "=" + e.cutFile},
		args: []string{"entry", "-vm-id", string(vm), "-zone", string(zone), "-region", string(c.State.RegionOf(zone)),
			"-listen-callers", e.CallerAddress, "-listen-admin", e.AdminAddress, "-listen-peers", e.PeerAddress, "-peers", strings.Join(knownPeers, ","),
			"-platform-log-url", "http://" + c.zoneLogs[zone].Address, "-platform-vmlist-url", c.StoreURL,
			"-drain-time", drainTime.String()}}
	p, err := c.run(e.command)
	if err != nil {
		return nil, err
	}
	e.Process = p
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.entries = append(c.entries, e)
	return e, nil
}

// RestartEntry restarts an entry VM that has ended, with the same addresses and without its former state.
func (c *Cluster) RestartEntry(e *Entry) error {
	p, err := c.run(e.command)
	if err != nil {
		return err
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	e.Process = p
	return nil
}

// RemoveEntry removes an entry VM that has ended from the VM list and from the cluster.
func (c *Cluster) RemoveEntry(ctx context.Context, e *Entry) error {
	c.mutex.Lock()
	c.entries = slices.DeleteFunc(c.entries, func(other *Entry) bool { return other == e })
	c.mutex.Unlock()
	return c.unregister(ctx, e.VM)
}

// StopEntries stops all entry VMs gracefully and concurrently. It returns the first error, after all calls have
// returned.
func (c *Cluster) StopEntries(limit time.Duration) error {
	entries := c.Entries()
	errs := make(chan error, len(entries))
	for _, e := range entries {
		go func() { errs <- e.Stop(limit) }()
	}
	var first error
	for range entries {
		if err := <-errs; err != nil && first == nil {
			first = err
		}
	}
	return first
}
