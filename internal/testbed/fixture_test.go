package testbed

import (
	"context"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tarragonpoint/tarragonpoint/internal/config"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/result"
	"github.com/tarragonpoint/tarragonpoint/internal/route"
)

const (
	// testTimeout bounds one test. The processes of a test are ended when it returns.
	testTimeout = 100 * time.Second
	// recoveryTimeout bounds a wait for service after a fault. The tests only check that service returns at all, not how
	// fast.
	recoveryTimeout = 30 * time.Second
	// attemptTimeout bounds each request of a wait for service, so that one stuck request does not use up the wait.
	attemptTimeout = time.Second
	// maxClusters limits the clusters that run concurrently, so that the tests do not slow each other down.
	maxClusters = 3

	keyed   model.Service = "draft-review"
	unkeyed model.Service = "alert-desk"
	tenant  model.Tenant  = "river-trust"
	zoneA   model.Zone    = "seacoast-a"
	zoneB   model.Zone    = "seacoast-b"
)

var (
	programs     Programs
	clusterSlots = make(chan struct{}, maxClusters)
)

func TestMain(m *testing.M) { os.Exit(runTests(m)) }

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "tarragonpoint-testbed-")
	if err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	if programs, err = Build(context.Background(), dir); err != nil {
		panic(err)
	}
	return m.Run()
}

// fixture is a cluster of two zones with two entry VMs each, and a caller that sends requests to it.
type fixture struct {
	*Cluster
	t       *testing.T
	ctx     context.Context
	caller  *Caller
	version model.Offset
}

func newFixture(t *testing.T) *fixture {
	t.Parallel()
	clusterSlots <- struct{}{}
	t.Cleanup(func() { <-clusterSlots })
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	f := &fixture{t: t, ctx: ctx, caller: NewCaller()}
	t.Cleanup(f.caller.Close)
	cluster, err := Start(ctx, Options{Programs: programs, State: testState(), Entries: 4, Dir: t.TempDir()})
	require.NoError(t, err)
	f.Cluster = cluster
	t.Cleanup(func() {
		if t.Failed() {
			t.Log(cluster.Outputs())
		}
		cluster.Close()
	})
	published, err := cluster.PublishFirst(ctx)
	require.NoError(t, err)
	f.version = published.Version()
	require.NoError(t, cluster.AwaitPlacement(ctx, recoveryTimeout))
	for i := range loadKeys {
		// Just after the first start, a lessor rejects non-idempotent requests whose IDs are older than its horizon.
		f.awaitServed(fmt.Sprintf("key-%d", i), false, cluster.Entries()...)
	}
	return f
}

// testState returns a configuration of six keyed and four unkeyed targets in two zones, with short cold starts.
func testState() config.State {
	state := config.Empty()
	state.Regions["nh-seacoast"] = config.Region{Name: "nh-seacoast"}
	for _, zone := range []model.Zone{zoneA, zoneB} {
		state.Zones[zone] = config.Zone{Name: zone, Region: "nh-seacoast"}
	}
	for service, count := range map[model.Service]int{keyed: 6, unkeyed: 4} {
		state.Services[service] = config.Service{Name: service, Keyed: service == keyed, Slots: 64, Fencing: route.FencingChecked,
			Concurrency: 4, ColdStart: time.Second, ColdInitial: 1, Timeout: 5 * time.Second}
		for i := range count {
			id := model.TargetID(fmt.Sprintf("%s-%02d", service, i+1))
			state.Targets[id] = config.Target{ID: id, Service: service, Zone: []model.Zone{zoneA, zoneB}[i%2], VM: model.VMID("vm-" + id),
				Address: "127.0.0.1:1"}
		}
	}
	state.Tenants[tenant] = config.Tenant{Name: tenant, RateLimit: 2000, ConcurrencyLimit: 200}
	return state
}

func (f *fixture) load() *Load {
	return StartLoad(f.Cluster, f.caller, Workload{Tenant: tenant, Keyed: keyed, Unkeyed: unkeyed})
}

func (f *fixture) request(key string, idempotent bool) Request {
	return Request{Tenant: tenant, Service: keyed, Key: key, Path: "x", Idempotent: idempotent, Body: "hello",
		Deadline: attemptTimeout}
}

// awaitServed sends new requests for a key through the given entry VMs in turn until one ran, and returns the time that
// this took. It fails the test after recoveryTimeout.
func (f *fixture) awaitServed(key string, idempotent bool, through ...*Entry) time.Duration {
	f.t.Helper()
	start := time.Now()
	var last Exchange
	for i := 0; time.Since(start) < recoveryTimeout; i++ {
		if last = f.caller.Do(f.ctx, through[i%len(through)], f.request(key, idempotent)); last.Ran() {
			return time.Since(start)
		}
		f.sleep(pollInterval)
	}
	require.Fail(f.t, "key is not served", "%v", last)
	return 0
}

func (f *fixture) owner(key string) model.TargetID {
	f.t.Helper()
	response, err := f.Owner(f.ctx, f.Ready()[0], keyed, tenant, key)
	require.NoError(f.t, err)
	return response.Owner
}

// sleep lets a fault last for a time. To wait for a condition, use Await.
func (f *fixture) sleep(length time.Duration) {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-f.ctx.Done():
		require.NoError(f.t, f.ctx.Err())
	}
}

// checkExchanges fails the test for every mismatch between the responses to callers and the runs on targets. It first
// checks that requests ran at all.
func (f *fixture) checkExchanges() {
	f.t.Helper()
	runs, err := f.Runs()
	require.NoError(f.t, err)
	exchanges := f.caller.Exchanges()
	counts := map[string]int{}
	codes := map[result.Code]int{}
	for _, exchange := range exchanges {
		if exchange.TransportErr != nil {
			counts["no response"]++
			continue
		}
		counts[exchange.Outcome]++
		codes[exchange.Code]++
	}
	f.t.Logf("%d requests, %d runs, outcomes %v, codes %v", len(exchanges), len(runs), counts, codes)
	require.Positive(f.t, counts[result.Ran.String()])
	for _, mismatch := range Compare(exchanges, runs) {
		f.t.Error(mismatch)
	}
}
