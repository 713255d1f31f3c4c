package soak

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tarragonpoint/tarragonpoint/internal/standin"
	"github.com/tarragonpoint/tarragonpoint/internal/testbed"
)

const (
	keyedService   = "review"
	unkeyedService = "desk"
	// safe, unsafe and keyed are the kinds of requests. The values are the names of the routes that serve them.
	safe   = "reads"
	unsafe = "notices"
	keyed  = "drafts"

	configText = `{"version":"r%d","resources":[
{"entry-kind":"routes","metadata":{"name":"reads"},"spec":{"host":"a.example","path-prefix":"/reads/","kind":"safe","timeout":"3s","target-latency":"1s","priority":2,"service":"desk","max-attempts":2}},
{"entry-kind":"routes","metadata":{"name":"notices"},"spec":{"host":"a.example","path-prefix":"/notices/","kind":"unsafe","timeout":"%dms","target-latency":"1s","priority":1,"service":"desk","max-attempts":2}},
{"entry-kind":"routes","metadata":{"name":"drafts"},"spec":{"host":"a.example","path-prefix":"/drafts/","kind":"upload","timeout":"3s","priority":1,"service":"review","max-attempts":2}},
{"entry-kind":"services","metadata":{"name":"desk"},"spec":{"health-path":"/health","warmup":"1s","warmup-per-s":20}},
{"entry-kind":"services","metadata":{"name":"review"},"spec":{"health-path":"/health","warmup":"1s","warmup-per-s":20,"sharded":true}},
{"entry-kind":"limits","metadata":{},"spec":{"max-header-bytes":16384,"max-body-bytes":65536,"header-timeout":"3s","idle-timeout":"15s"}}]}`

	// startTimeout bounds the start of the deployment, and recoveryTimeout the time from the end of the last fault until
	// all requests are served again.
	startTimeout    = 30 * time.Second
	recoveryTimeout = 30 * time.Second
	// grace is the setting -grace of the VMs: how long a stop may take. stopTolerance is how much longer a stop may take
	// before the test fails.
	grace         = 6 * time.Second
	stopTolerance = 10 * time.Second
)

var zones = []string{"a", "b"}

// vm is an entry VM and its relay to the store.
type vm struct {
	name, zone    string
	callerAddress string
	args          []string
	relay         *standin.Relay

	mu      sync.Mutex
	process *testbed.Process
}

func (v *vm) currentProcess() *testbed.Process {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.process
}

// deployment is a store, servers and entry VMs.
type deployment struct {
	t       *testing.T
	dir     string
	program string
	oracle  *oracle
	store   *standin.Store
	servers []*server
	vms     []*vm
	version int
}

func startDeployment(t *testing.T, program string) *deployment {
	d := &deployment{t: t, dir: t.TempDir(), program: program, oracle: newOracle(), store: standin.NewStore(standin.StoreOptions{})}
	web := httptest.NewServer(d.store)
	t.Cleanup(func() {
		web.CloseClientConnections()
		web.Close()
	})
	d.publishConfig()
	for i := range *vmCount * 3 / 2 {
		service := unkeyedService
		if i%2 == 1 {
			service = keyedService
		}
		s, err := newServer(d.oracle, d.store, fmt.Sprintf("i-%d", i), service, zones[(i/2)%len(zones)])
		require.NoError(t, err)
		t.Cleanup(func() {
			s.crash()
			s.relay.Close()
		})
		d.servers = append(d.servers, s)
	}
	for i := range *vmCount {
		d.vms = append(d.vms, d.addVM(i, strings.TrimPrefix(web.URL, "http://")))
	}
	return d
}

func (d *deployment) addVM(i int, store string) *vm {
	relay, err := standin.NewRelay(store)
	require.NoError(d.t, err)
	d.t.Cleanup(relay.Close)
	v := &vm{name: fmt.Sprintf("vm-%d", i), zone: zones[i%len(zones)], relay: relay}
	listen := make([]string, 4)
	for j := range listen {
		listen[j], err = addresses.Free()
		require.NoError(d.t, err)
	}
	v.callerAddress = listen[0]
	v.args = []string{
		"gateway", "-vm-id", v.name, "-zone", v.zone, "-region", "r-" + v.zone, "-zones", "a=r-a,b=r-b",
		"-listen-callers", listen[0], "-listen-ready", listen[1], "-listen-peers", listen[2], "-listen-metrics", listen[3],
		"-store-address", relay.Address, "-retry-burst", "1000", "-grace", grace.String(), "-memory-mb", strconv.Itoa(smallMemoryMB),
	}
	d.startVM(v)
	d.t.Cleanup(func() { v.currentProcess().Kill() })
	return v
}

func (d *deployment) startVM(v *vm) {
	d.oracle.recordVMFault(v.name)
	process, err := testbed.StartProgram(d.dir, v.name, d.program, v.args...)
	if err != nil {
		d.t.Errorf("%s does not start: %v", v.name, err)
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.process = process
}

// publishConfig writes the next version of the configuration. Versions increase in uneven steps.
func (d *deployment) publishConfig() {
	d.version += 1 + d.version%3
	value := fmt.Appendf(nil, configText, d.version, 2500+d.version)
	d.store.Put(standin.StorePut{Topic: "keyed.op", Records: []standin.Record{{Key: "config", Value: value}}})
}

func (d *deployment) setEvacuated(zone string, evacuated bool) {
	record := standin.Record{Key: "evacuate/" + zone}
	if evacuated {
		record.Value = []byte("{}")
	}
	d.store.Put(standin.StorePut{Topic: "keyed.op", Records: []standin.Record{record}})
}

// registerServers registers all servers periodically until ctx is canceled, as real servers do by themselves.
func (d *deployment) registerServers(ctx context.Context) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		for _, s := range d.servers {
			s.report()
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}

// awaitService waits until each VM serves each kind of request, and records a violation for each kind that a VM does
// not serve within limit.
func (d *deployment) awaitService(phase string, limit time.Duration) {
	probe := newCaller(d, phase, 0)
	for _, v := range d.vms {
		for _, kind := range []string{safe, unsafe, keyed} {
			ok := waitUntil(limit, func() bool { return probe.send(v, kind) == http.StatusOK })
			if !ok {
				d.oracle.mu.Lock()
				d.oracle.addViolation("RECOVER: %s does not serve %s within %s", v.name, kind, limit)
				d.oracle.mu.Unlock()
			}
		}
	}
}

// waitUntil polls a condition and reports whether it holds within limit.
func waitUntil(limit time.Duration, holds func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if holds() {
			return true
		}
	}
	return false
}

// saveLogs copies the output of the VMs to a directory that outlives the test, and returns its path.
func (d *deployment) saveLogs(seed uint64) string {
	kept := filepath.Join(os.TempDir(), fmt.Sprintf("soak-%d-%s", seed, time.Now().Format("150405.000")))
	if err := os.CopyFS(kept, os.DirFS(d.dir)); err != nil {
		return fmt.Sprintf("%s (%v)", kept, err)
	}
	return kept
}
