package telemetry

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/record"
	"github.com/tarragonpoint/tarragonpoint/internal/result"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func completedRequest(tenant model.Tenant, show bool) Request {
	return Request{Tenant: tenant, ShowTenant: show, Class: model.AnyRegion, Outcome: result.Ran, Code: result.OK, Duration: 4 * time.Millisecond}
}

// Many tenants must not exhaust the memory, a tenant with special characters in its name must not break the text
// format, and every request must be counted.
func TestTenantsBeyondTheLimitShareALabel(t *testing.T) {
	m := New(2)
	for i := range 50 {
		m.RequestDone(completedRequest(model.Tenant(fmt.Sprintf("t\"%d\n", i)), true))
	}
	require.NoError(t, m.Close())
	text := m.exporter.Text()
	require.Contains(t, text, `tarragon_requests_total{class="any",outcome="ran",tenant="t\"0\n"} 1`)
	require.Contains(t, text, `tarragon_requests_total{class="any",outcome="ran",tenant="other"} 48`)
	require.Equal(t, 3, strings.Count(text, "tarragon_requests_total{"))
	require.Contains(t, text, `tarragon_results_total{code="0",outcome="ran"} 50`)
}

// The name of a tenant with home regions must not leave those regions, and hidden tenants must not use up the labels of
// others.
func TestHiddenTenantsHaveNoLabel(t *testing.T) {
	m := New(1)
	m.RequestDone(completedRequest("secret", false))
	m.RequestDone(completedRequest("open", true))
	require.NoError(t, m.Close())
	text := m.exporter.Text()
	require.NotContains(t, text, "secret")
	require.Contains(t, text, `tenant="open"`)
}

// Buckets must be cumulative and end with +Inf, otherwise Prometheus computes wrong quantiles.
func TestHistogramText(t *testing.T) {
	m := New(1)
	slow := completedRequest("a", true)
	slow.Duration = time.Hour
	m.RequestDone(slow)
	m.RequestDone(completedRequest("a", true))
	require.NoError(t, m.Close())
	text := m.exporter.Text()
	labels := `class="any",tenant="a"`
	require.Contains(t, text, "# TYPE tarragon_request_duration_seconds histogram\n")
	require.Contains(t, text, `tarragon_request_duration_seconds_bucket{`+labels+`,le="0.003"} 0`)
	require.Contains(t, text, `tarragon_request_duration_seconds_bucket{`+labels+`,le="0.005"} 1`)
	require.Contains(t, text, `tarragon_request_duration_seconds_bucket{`+labels+`,le="30"} 1`)
	require.Contains(t, text, `tarragon_request_duration_seconds_bucket{`+labels+`,le="+Inf"} 2`)
	require.Contains(t, text, `tarragon_request_duration_seconds_count{`+labels+`} 2`)
}

// Gauges must show the last value and counters the sum, also for series that are updated more than once.
func TestCountersAndGauges(t *testing.T) {
	m := New(1)
	m.ConfigVersion(7)
	m.ConfigVersion(9)
	m.Retry("alert-desk")
	m.Retry("alert-desk")
	m.LeaseRenewal(RenewalRefused)
	m.Takeover(record.EvidenceLeaseExpired, 3)
	require.NoError(t, m.Close())
	text := m.exporter.Text()
	require.Contains(t, text, "tarragon_config_version 9\n")
	require.Contains(t, text, `tarragon_retries_total{service="alert-desk"} 2`)
	require.Contains(t, text, `tarragon_lease_renewals_total{outcome="refused"} 1`)
	require.Contains(t, text, `tarragon_slots_reassigned_total{evidence="lapsed"} 3`)
}
