package gateway

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"
	"github.com/uber-go/tally/v4"

	"github.com/tarragonpoint/tarragonpoint/internal/result"
	"github.com/tarragonpoint/tarragonpoint/internal/telemetry"
)

// reportInterval is how often tally reports values to the exporter of the metrics page.
const reportInterval = time.Second

// latencyBuckets are the upper bounds of request durations.
var latencyBuckets = tally.DurationBuckets{
	25 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 300 * time.Millisecond,
	500 * time.Millisecond, 750 * time.Millisecond, time.Second, 1500 * time.Millisecond, 2500 * time.Millisecond,
	5 * time.Second, 10 * time.Second,
}

// metrics holds the metrics of the gateway. It caches the series, because tally's lookup builds strings on each call.
type metrics struct {
	scope    tally.Scope
	closer   io.Closer
	exporter *telemetry.Exporter

	mu       sync.Mutex
	counters map[counterKey]tally.Counter
	routes   boundedHistograms
	tenants  boundedHistograms
	// quotaTenants holds the tenants whose quotas have series of their own, with the gauge of the part that this VM holds.
	quotaTenants map[string]tally.Gauge

	// wakeDelay is how late the timer of the housekeeping fires.
	wakeDelay tally.Histogram

	attempts atomic.Int64
}

type counterKey struct{ name, label, value, label2, value2 string }

func newMetrics() *metrics {
	exporter := telemetry.NewExporter()
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "tarragon_gateway", Separator: "_", CachedReporter: exporter, OmitCardinalityMetrics: true,
	}, reportInterval)
	return &metrics{
		scope: scope, closer: closer, exporter: exporter, counters: map[counterKey]tally.Counter{},
		quotaTenants: map[string]tally.Gauge{},
		routes: newBoundedHistograms(func(route string) tally.Histogram {
			return scope.Tagged(map[string]string{"route": route}).Histogram("request_seconds", latencyBuckets)
		}),
		tenants: newBoundedHistograms(func(name string) tally.Histogram {
			return scope.Tagged(map[string]string{"tenant": name}).Histogram("tenant_request_seconds", latencyBuckets)
		}),
		wakeDelay: scope.Histogram("wake_delay_seconds", latencyBuckets),
	}
}

const (
	// maxHistograms is the number of routes, and of tenants, with their own latency histogram; further ones share one. A
	// histogram has 13 buckets, so 64 of them make about 900 lines of the metrics page.
	maxHistograms = 64
	// sharedLabel is the label of the histogram that the further ones share.
	sharedLabel = "other"
)

// boundedHistograms holds histograms by the value of a label. The mutex of metrics guards it.
type boundedHistograms struct {
	byLabel map[string]tally.Histogram
	create  func(label string) tally.Histogram
}

func newBoundedHistograms(create func(label string) tally.Histogram) boundedHistograms {
	return boundedHistograms{byLabel: map[string]tally.Histogram{}, create: create}
}

// get returns the histogram of a label, which is sharedLabel if there are too many, and that label.
func (b *boundedHistograms) get(label string) (tally.Histogram, string) {
	histogram := b.byLabel[label]
	if histogram == nil && len(b.byLabel) >= maxHistograms {
		label = sharedLabel
		histogram = b.byLabel[label]
	}
	if histogram == nil {
		histogram = b.create(label)
		b.byLabel[label] = histogram
	}
	return histogram, label
}

func (m *metrics) handler() http.Handler { return m.exporter }

func (m *metrics) count(key counterKey) { m.add(key, 1) }

func (m *metrics) add(key counterKey, value int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	counter := m.counters[key]
	if counter == nil {
		tags := map[string]string{key.label: key.value}
		if key.label2 != "" {
			tags[key.label2] = key.value2
		}
		counter = m.scope.Tagged(tags).Counter(key.name)
		m.counters[key] = counter
	}
	counter.Inc(value)
}

func (m *metrics) gauge(name string, value float64) { m.scope.Gauge(name).Update(value) }

// requestDone counts a request and records its duration.
func (m *metrics) requestDone(route string, code result.Code, took time.Duration) {
	m.count(counterKey{name: "requests", label: "code", value: strconv.Itoa(int(code))})
	m.mu.Lock()
	histogram, _ := m.routes.get(route)
	m.mu.Unlock()
	histogram.RecordDuration(took)
}

// tenantDone counts a request of a tenant and records its duration.
func (m *metrics) tenantDone(name string, code result.Code, took time.Duration) {
	m.mu.Lock()
	histogram, label := m.tenants.get(name)
	m.mu.Unlock()
	histogram.RecordDuration(took)
	m.count(counterKey{name: "tenant_requests", label: "tenant", value: label, label2: "code", value2: strconv.Itoa(int(code))})
}

// Decisions of quotas on requests.
const (
	quotaAdmitted = "admitted"
	quotaRejected = "over-quota"
	quotaNoLease  = "no-lease"
)

// quota counts a decision on a request of a tenant.
func (m *metrics) quota(name, decision string) {
	m.mu.Lock()
	_, label := m.quotaGauge(name)
	m.mu.Unlock()
	m.count(counterKey{name: "quota_requests", label: "tenant", value: label, label2: "decision", value2: decision})
}

// quotaGauge returns the gauge of the part of a tenant's limit that this VM holds, and its label. Further tenants have no gauge. The
// caller must hold the mutex.
func (m *metrics) quotaGauge(name string) (tally.Gauge, string) {
	gauge := m.quotaTenants[name]
	if gauge == nil {
		if len(m.quotaTenants) >= maxHistograms {
			return nil, sharedLabel
		}
		gauge = m.scope.Tagged(map[string]string{"tenant": name}).Gauge("quota_part")
		m.quotaTenants[name] = gauge
	}
	return gauge, name
}

// quotaParts sets the parts of the tenants' limits that this VM holds, from 0 to 1.
func (m *metrics) quotaParts(parts map[string]float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, gauge := range m.quotaTenants {
		gauge.Update(parts[name])
	}
}

func (m *metrics) storeCall(call string, err error) {
	value := "ok"
	if typed := errorx.Cast(err); typed != nil {
		value = typed.Type().FullName()
	} else if err != nil {
		value = "error"
	}
	m.count(counterKey{name: "store_calls", label: "call", value: call, label2: "result", value2: value})
}

// unknownConfig sets the number of parts of the configuration in force that this program does not know.
func (m *metrics) unknownConfig(parts int) { m.gauge("config_unknown_parts", float64(parts)) }

// parentChange counts a parent that failed, and each time that the records come from a parent or from the leader again.
func (m *metrics) parentChange(event string) {
	m.count(counterKey{name: "parent_changes", label: "event", value: event})
}

func (m *metrics) command(kind, outcome string) {
	m.count(counterKey{name: "orders", label: "kind", value: kind, label2: "outcome", value2: outcome})
}

// departure counts a request whose caller disconnected before its response.
func (m *metrics) departure(d departure) {
	m.count(counterKey{name: "departed_callers", label: "phase", value: d.phase.String(), label2: "detected", value2: d.detectedBy()})
}

func (m *metrics) retry(service string) {
	m.count(counterKey{name: "retries", label: "service", value: service})
}

// refusedSend counts an attempt that was not sent because its target may not get it any more.
func (m *metrics) refusedSend(reason string) {
	m.count(counterKey{name: "sends_refused", label: "reason", value: reason})
}

// healthCheck counts a health check of a target by its result.
func (m *metrics) healthCheck(state string) {
	m.count(counterKey{name: "health_checks", label: "result", value: state})
}

// slowDelivery counts a response that was cut off because its caller read too slowly.
func (m *metrics) slowDelivery() {
	m.count(counterKey{name: "deliveries_cut", label: "reason", value: "timeout"})
}

// ownerWait counts a request that waited for the owner of its key or was rejected because it could not, or a response in which an
// owner stated that it does not hold a key.
func (m *metrics) ownerWait(effect, reason string) {
	m.count(counterKey{name: "owner_waits", label: "effect", value: effect, label2: "reason", value2: reason})
}

// pause counts a response in which a target asked for a pause.
func (m *metrics) pause() { m.count(counterKey{name: "pauses", label: "by", value: "target"}) }

// trial counts a request that was sent although its estimate was too high.
func (m *metrics) trial(service string) {
	m.count(counterKey{name: "trials", label: "service", value: service})
}

func (m *metrics) hedge(service string) {
	m.count(counterKey{name: "hedges", label: "service", value: service})
}

// brokenAttempt counts an attempt whose connection the target closed before its response was complete.
func (m *metrics) brokenAttempt(target string) {
	m.count(counterKey{name: "broken_attempts", label: "target", value: target})
}

// strike counts a strike that this VM has learned, by what told it.
func (m *metrics) strike(source string, withdrawn bool) {
	m.count(counterKey{name: "strikes", label: "source", value: source, label2: "withdrawn", value2: strconv.FormatBool(withdrawn)})
}

// bytes counts an attempt and the bytes of its request and response bodies by the distance of the target.
func (m *metrics) bytes(route, distance string, size int) {
	m.add(counterKey{name: "body_bytes", label: "route", value: route, label2: "distance", value2: distance}, int64(size))
	m.count(counterKey{name: "attempts", label: "route", value: route, label2: "distance", value2: distance})
}

// attempt counts an attempt in flight until the returned function is called.
func (m *metrics) attempt() func() {
	m.attempts.Add(1)
	return func() { m.attempts.Add(-1) }
}

// inFlight returns the number of attempts in flight.
func (m *metrics) inFlight() int64 { return m.attempts.Load() }
