package entry

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tarragonpoint/tarragonpoint/internal/balance"
	"github.com/tarragonpoint/tarragonpoint/internal/config"
	"github.com/tarragonpoint/tarragonpoint/internal/control"
	"github.com/tarragonpoint/tarragonpoint/internal/dispatch"
	"github.com/tarragonpoint/tarragonpoint/internal/front"
	"github.com/tarragonpoint/tarragonpoint/internal/logging"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/route"
	"github.com/tarragonpoint/tarragonpoint/internal/telemetry"
)

const review model.Service = "draft-review"

// testTable returns a table with a tenant without home regions, one whose home is the table's region and one whose home
// is another region.
func testTable() *route.Table {
	table := &route.Table{
		Region:   "nh-seacoast",
		Services: map[model.Service]*route.Service{review: {Name: review, Keyed: true, Slots: 4}},
		Tenants:  map[model.Tenant]*route.Tenant{},
	}
	homes := map[model.Tenant][]model.Region{"free": nil, "here": {"nh-seacoast"}, "elsewhere": {"mass-central"}}
	for name, home := range homes {
		table.Tenants[name] = &route.Tenant{Name: name, HomeRegions: home, Class: model.ClassOf(home)}
	}
	return table
}

// Guards against metrics that disclose the name of a tenant outside its home regions, or that contain names invented by
// callers.
func TestMetricsNameTenantsOnlyInHomeRegions(t *testing.T) {
	c := newClock()
	e := &entry{clock: c, metrics: telemetry.New(tenantLabels), hotKeys: newHotKeys(c), loop: newLoop(control.NewNode(control.Settings{}), c)}
	e.loop.table.Store(testTable())
	for _, tenant := range []model.Tenant{"free", "here", "elsewhere", "invented"} {
		e.requestDone(front.CompletedRequest{Preview: dispatch.Preview{Tenant: tenant, Service: review, Key: "k"}})
	}
	require.NoError(t, e.metrics.Close())
	response := httptest.NewRecorder()
	e.metrics.Handler().ServeHTTP(response, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	text := response.Body.String()
	assert.Contains(t, text, `tenant="free"`)
	assert.Contains(t, text, `tenant="here"`)
	assert.NotContains(t, text, `tenant="elsewhere"`)
	assert.NotContains(t, text, "invented")
	assert.Contains(t, text, `class="mass-central"`)
}

// Guards against reports that contain keys of tenants with home regions, keys below the minimum rate, or requests that
// a previous report has counted.
func TestHotKeysTake(t *testing.T) {
	h := newHotKeys(newClock())
	table := testTable()
	for range 1000 {
		h.add(table, "free", review, "hot")
		h.add(table, "here", review, "at home")
	}
	h.add(table, "free", review, "quiet")
	hot := model.KeyHash(review, model.AnyRegion, "hot")
	all := h.take(0)
	require.Len(t, all.Keys, 2)
	require.Equal(t, hot, all.Keys[0].KeyHash)
	require.Zero(t, all.Keys[0].Slot.KeyHash, "the report contains the hash slot")
	require.Len(t, all.Totals, 1)
	require.Positive(t, all.Totals[0].Rate)
	aboveRate := h.take(10 * all.Keys[1].Rate)
	require.Len(t, aboveRate.Keys, 1)
	require.Equal(t, hot, aboveRate.Keys[0].KeyHash)
	require.Empty(t, aboveRate.Totals, "requests are counted in one report only")
}

// Guards against a percentile from too few attempts, one that does not adapt to new attempts, and values above the
// range of the histogram.
func TestLatencyPercentile(t *testing.T) {
	l := newLatencyEstimator()
	for range minLatencySamples - 1 {
		l.add(time.Hour)
	}
	require.Zero(t, l.p99())
	l.add(time.Hour)
	require.InEpsilon(t, maxLatencyMicros*time.Microsecond, l.p99(), 0.01)
	for range 2 * latencyWindow {
		l.add(10 * time.Millisecond)
	}
	require.InEpsilon(t, 10*time.Millisecond, l.p99(), 0.01)
}

// Guards against rules with an unknown balance plug-in that stop the choice of targets, or that are ignored as a whole.
func TestUnknownBalancePluginKeepsPolicy(t *testing.T) {
	var output bytes.Buffer
	log, err := logging.New(logging.Settings{Level: "info", Output: &output})
	require.NoError(t, err)
	p := newPolicies(newClock(), log.Part(logging.Dispatch), telemetry.New(tenantLabels))
	state := config.Empty()
	state.Services[review] = config.Service{Name: review}
	state.Rules.Balance = string(balance.RoundRobinID)
	p.applyRules(0, state)
	before := fmt.Sprintf("%T", p.balancer)
	require.NotEqual(t, fmt.Sprintf("%T", balance.NewP2C()), before)
	kept := p.service(review)
	state.Rules.Balance = "balance.newer"
	state.Rules.SpillBytesPerSecond = 1
	p.applyRules(0, state)
	require.Equal(t, before, fmt.Sprintf("%T", p.balancer))
	require.Equal(t, state.Rules, p.rules)
	require.Same(t, kept, p.service(review), "the state of a service is kept when the rules change")
	require.Contains(t, output.String(), "unknown balance plug-in")
}
