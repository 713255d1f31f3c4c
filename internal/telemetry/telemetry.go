// Package telemetry provides the metrics of the router. Each metric has a typed method, so that callers cannot use
// arbitrary names or labels, and the number of series is bounded.
package telemetry

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/peer"
	"github.com/tarragonpoint/tarragonpoint/internal/record"
	"github.com/tarragonpoint/tarragonpoint/internal/result"
)

const (
	// DefaultTenantLimit is the maximum number of tenants with series of their own. At 17 buckets each, the histograms
	// of 200 tenants take about 3,400 lines of output.
	DefaultTenantLimit = 200
	classLimit         = 32
	serviceLimit       = 64
	// reportInterval is the interval at which tally reports values to the exporter.
	reportInterval = time.Second
	metricPrefix   = "tarragon"
)

// durationBuckets are the upper bounds of the buckets for request durations. They are closely spaced around the latency
// objective of 10 ms.
var durationBuckets = tally.DurationBuckets{
	time.Millisecond, 2 * time.Millisecond, 3 * time.Millisecond, 5 * time.Millisecond, 7500 * time.Microsecond,
	10 * time.Millisecond, 15 * time.Millisecond, 25 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond,
	250 * time.Millisecond, 500 * time.Millisecond, time.Second, 3 * time.Second, 10 * time.Second, 30 * time.Second,
}

// Metrics holds the metrics of one process. It is safe for concurrent use.
type Metrics struct {
	scope    tally.Scope
	closer   io.Closer
	exporter *Exporter
	tenants  *labelSet
	classes  *labelSet
	services *labelSet

	mu       sync.RWMutex
	requests map[requestLabels]requestMetrics
}

type requestLabels struct {
	tenant  string
	class   string
	outcome result.Outcome
	code    result.Code
}

type requestMetrics struct {
	duration tally.Histogram
	requests tally.Counter
	results  tally.Counter
}

// New returns metrics in which at most tenantLimit tenants have series of their own. Close must be called to release
// them.
func New(tenantLimit int) *Metrics {
	exporter := NewExporter()
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 metricPrefix,
		Separator:              "_",
		CachedReporter:         exporter,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	m := &Metrics{
		scope: scope, closer: closer, exporter: exporter, requests: map[requestLabels]requestMetrics{},
		tenants: newLabelSet(tenantLimit), classes: newLabelSet(classLimit), services: newLabelSet(serviceLimit),
	}
	// Without initial values, an alert on 0 would not fire for a VM that failed during startup.
	m.Ready(false)
	m.LogAvailable(false)
	m.VMListAvailable(false)
	return m
}

// Handler returns a handler that serves the metrics in the Prometheus text format. Values are at most reportInterval
// old.
func (m *Metrics) Handler() http.Handler { return m.exporter }

// Close reports the last values to the exporter and stops reporting.
func (m *Metrics) Close() error { return m.closer.Close() }

// Request describes a request for which a response was sent.
type Request struct {
	Tenant model.Tenant
	// ShowTenant allows the tenant's name as a label. It must be false for tenants that are not in the configuration,
	// and for tenants with home regions if this VM is outside of them.
	ShowTenant bool
	Class      model.Class
	Outcome    result.Outcome
	Code       result.Code
	Duration   time.Duration
}

// RequestDone records a request for which a response was sent.
func (m *Metrics) RequestDone(request Request) {
	labels := requestLabels{tenant: otherLabel, class: m.classes.label(string(request.Class)), outcome: request.Outcome,
		code: result.Lookup(request.Code).Code}
	if request.ShowTenant {
		labels.tenant = m.tenants.label(string(request.Tenant))
	}
	metrics := m.requestMetrics(labels)
	metrics.duration.RecordDuration(request.Duration)
	metrics.requests.Inc(1)
	metrics.results.Inc(1)
}

// requestMetrics returns the metrics with the given labels. They are cached, because tally's lookup builds strings on
// each call.
func (m *Metrics) requestMetrics(labels requestLabels) requestMetrics {
	m.mu.RLock()
	metrics, found := m.requests[labels]
	m.mu.RUnlock()
	if found {
		return metrics
	}
	tenant := m.scope.Tagged(map[string]string{"tenant": labels.tenant, "class": labels.class})
	outcome := map[string]string{"outcome": labels.outcome.String()}
	code := map[string]string{"outcome": labels.outcome.String(), "code": strconv.Itoa(int(labels.code))}
	metrics = requestMetrics{
		duration: tenant.Histogram("request_duration_seconds", durationBuckets),
		requests: tenant.Tagged(outcome).Counter("requests_total"),
		results:  m.scope.Tagged(code).Counter("results_total"),
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.requests[labels] = metrics
	return metrics
}

func (m *Metrics) service(service model.Service) tally.Scope {
	return m.scope.Tagged(map[string]string{"service": m.services.label(string(service))})
}

// Retry counts a retry of a request of a service.
func (m *Metrics) Retry(service model.Service) { m.service(service).Counter("retries_total").Inc(1) }

// Hedge counts a hedged attempt of a request of a service.
func (m *Metrics) Hedge(service model.Service) { m.service(service).Counter("hedges_total").Inc(1) }

// RetryRefused counts a retry that the retry budget of a service did not allow.
func (m *Metrics) RetryRefused(service model.Service) {
	m.service(service).Counter("retries_refused_total").Inc(1)
}

// Ejected sets the number of targets of a service that outlier detection currently ejects.
func (m *Metrics) Ejected(service model.Service, targets int) {
	m.service(service).Gauge("ejected_targets").Update(float64(targets))
}

// RenewalOutcome is the outcome of a lease renewal that was sent to a target.
type RenewalOutcome string

// Outcomes of a lease renewal. RenewalNoResponse means that no response arrived.
const (
	RenewalAccepted   RenewalOutcome = "accepted"
	RenewalRefused    RenewalOutcome = "refused"
	RenewalNoResponse RenewalOutcome = "unanswered"
)

// LeaseRenewal counts a renewal of a target's lease.
func (m *Metrics) LeaseRenewal(outcome RenewalOutcome) {
	m.scope.Tagged(map[string]string{"outcome": string(outcome)}).Counter("lease_renewals_total").Inc(1)
}

// LessorChange counts a target of which this VM became the lessor.
func (m *Metrics) LessorChange() { m.scope.Counter("lessor_changes_total").Inc(1) }

// Takeover counts slots that were reassigned on the given evidence.
func (m *Metrics) Takeover(evidence record.Evidence, slots int) {
	tags := map[string]string{"evidence": evidenceLabel(evidence)}
	m.scope.Tagged(tags).Counter("slots_reassigned_total").Inc(int64(slots))
}

// ConfigVersion sets the version of the applied configuration, which is an offset of the config stream.
func (m *Metrics) ConfigVersion(version model.Offset) {
	m.scope.Gauge("config_version").Update(float64(version))
}

// AssignOffset sets the offset of the last folded record of the assign stream.
func (m *Metrics) AssignOffset(offset model.Offset) {
	m.scope.Gauge("assign_offset").Update(float64(offset))
}

// LogAvailable sets whether the log service responds.
func (m *Metrics) LogAvailable(available bool) { m.setFlag("log_available", available) }

// VMListAvailable sets whether the VM list service responds.
func (m *Metrics) VMListAvailable(available bool) { m.setFlag("vm_list_available", available) }

// Ready sets whether this VM accepts requests.
func (m *Metrics) Ready(ready bool) { m.setFlag("ready", ready) }

func (m *Metrics) setFlag(name string, isSet bool) {
	value := 0.0
	if isSet {
		value = 1
	}
	m.scope.Gauge(name).Update(value)
}

// Strike counts a request that crashed a target.
func (m *Metrics) Strike() { m.scope.Counter("strikes_total").Inc(1) }

// PeerEvent counts an event of the connections between entry VMs.
func (m *Metrics) PeerEvent(event peer.Event) {
	m.scope.Tagged(map[string]string{"event": event.String()}).Counter("peer_events_total").Inc(1)
}
