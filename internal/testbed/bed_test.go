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
	// testTimeout bounds one test; its processes end with it.
	testTimeout = 100 * time.Second
	// recovery bounds a wait for service after a fault. It only tells whether service returns at all.
	recovery = 30 * time.Second
	// attemptTime bounds one request of a wait for service, which would otherwise last as long as one stuck request.
	attemptTime = time.Second
	// clustersAtOnce limits the clusters that run at a time, so that the tests do not slow each other down.
	clustersAtOnce = 3

	keyed   model.Service = "draft-review"
	unkeyed model.Service = "alert-desk"
	tenant  model.Tenant  = "river-trust"
	zoneA   model.Zone    = "seacoast-a"
	zoneB   model.Zone    = "seacoast-b"
)

var (
	programs Programs
	slots    = make(chan struct{}, clustersAtOnce)
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

// bed is a cluster of two zones with two entry VMs each, and a caller.
type bed struct {
	*Cluster
	t       *testing.T
	ctx     context.Context
	caller  *Caller
	version model.Offset
}

func newBed(t *testing.T) *bed {
	t.Parallel()
	slots <- struct{}{}
	t.Cleanup(func() { <-slots })
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	b := &bed{t: t, ctx: ctx, caller: NewCaller()}
	t.Cleanup(b.caller.Close)
	cluster, err := Start(ctx, Options{Programs: programs, State: testState(), Entries: 4, Dir: t.TempDir()})
	require.NoError(t, err)
	b.Cluster = cluster
	t.Cleanup(func() {
		if t.Failed() {
			t.Log(cluster.Outputs())
		}
		cluster.Close()
	})
	published, err := cluster.PublishFirst(ctx)
	require.NoError(t, err)
	b.version = published.Version()
	require.NoError(t, cluster.AwaitPlacement(ctx, recovery))
	for i := range loadKeys {
		// A lessor takes no non-idempotent request whose ID is older than its horizon, just after the first start.
		b.served(fmt.Sprintf("key-%d", i), false, cluster.Entries()...)
	}
	return b
}

// testState has six keyed and four unkeyed targets in two zones, with short cold starts.
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

func (b *bed) load() *Load {
	return StartLoad(b.Cluster, b.caller, Workload{Tenant: tenant, Keyed: keyed, Unkeyed: unkeyed})
}

func (b *bed) request(key string, idempotent bool) Request {
	return Request{Tenant: tenant, Service: keyed, Key: key, Path: "x", Idempotent: idempotent, Body: "hello",
		Deadline: attemptTime}
}

// served sends fresh requests for a key through the entry VMs in turn until one ran, and returns the time that took.
func (b *bed) served(key string, idempotent bool, through ...*Entry) time.Duration {
	b.t.Helper()
	start := time.Now()
	var last Exchange
	for i := 0; time.Since(start) < recovery; i++ {
		if last = b.caller.Do(b.ctx, through[i%len(through)], b.request(key, idempotent)); last.Ran() {
			return time.Since(start)
		}
		b.pause(pollInterval)
	}
	require.Fail(b.t, "key is not served", "%v", last)
	return 0
}

func (b *bed) owner(key string) model.TargetID {
	b.t.Helper()
	answer, err := b.Owner(b.ctx, b.Ready()[0], keyed, tenant, key)
	require.NoError(b.t, err)
	return answer.Owner
}

// pause lets a fault last. It is no wait for a condition.
func (b *bed) pause(length time.Duration) {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-b.ctx.Done():
		require.NoError(b.t, b.ctx.Err())
	}
}

// compare fails the test for every contradiction between callers and targets. It first checks that there was load.
func (b *bed) compare() {
	b.t.Helper()
	runs, err := b.Runs()
	require.NoError(b.t, err)
	exchanges := b.caller.Exchanges()
	counts := map[string]int{}
	codes := map[result.Code]int{}
	for _, exchange := range exchanges {
		if exchange.TransportErr != nil {
			counts["no answer"]++
			continue
		}
		counts[exchange.Outcome]++
		codes[exchange.Code]++
	}
	b.t.Logf("%d requests, %d runs, outcomes %v, codes %v", len(exchanges), len(runs), counts, codes)
	require.Positive(b.t, counts[result.Ran.String()])
	for _, fault := range Compare(exchanges, runs) {
		b.t.Error(fault)
	}
}
