package telemetry

import (
	"math"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
)

// Exporter is a tally reporter that keeps the current values in memory and serves them in the Prometheus text format. tally's own
// Prometheus reporter needs a client library that this project does not declare.
type Exporter struct {
	mu       sync.Mutex
	families map[string]*family
}

type kind string

const (
	counterKind   kind = "counter"
	gaugeKind     kind = "gauge"
	histogramKind kind = "histogram"
)

// family is all series of one name.
type family struct {
	kind   kind
	series map[string]series
}

// series is one combination of labels of a family.
type series interface {
	// write appends the lines of the series. labels are formatted pairs without braces.
	write(out *strings.Builder, name, labels string)
}

var _ tally.CachedStatsReporter = (*Exporter)(nil)

// NewExporter returns an exporter without series.
func NewExporter() *Exporter { return &Exporter{families: map[string]*family{}} }

// Capabilities says that the exporter reports and knows tags.
func (*Exporter) Capabilities() tally.Capabilities { return capabilities{} }

// Flush does nothing; values are current when they are reported.
func (*Exporter) Flush() {}

type capabilities struct{}

// Reporting is always true.
func (capabilities) Reporting() bool { return true }

// Tagging is always true.
func (capabilities) Tagging() bool { return true }

// allocate returns the series of a name and tags. tally allocates a series anew when a scope was closed and is used again, so an
// existing series is kept.
func allocate[T series](e *Exporter, name string, k kind, tags map[string]string, fresh T) T {
	e.mu.Lock()
	defer e.mu.Unlock()
	f := e.families[name]
	if f == nil {
		f = &family{kind: k, series: map[string]series{}}
		e.families[name] = f
	}
	labels := formatLabels(tags)
	if existing, found := f.series[labels].(T); found {
		return existing
	}
	f.series[labels] = fresh
	return fresh
}

// AllocateCounter returns the counter of a name and tags.
func (e *Exporter) AllocateCounter(name string, tags map[string]string) tally.CachedCount {
	return allocate(e, name, counterKind, tags, &counter{})
}

// AllocateGauge returns the gauge of a name and tags.
func (e *Exporter) AllocateGauge(name string, tags map[string]string) tally.CachedGauge {
	return allocate(e, name, gaugeKind, tags, &gauge{})
}

// AllocateTimer returns a timer that drops its values: the router uses histograms of durations.
func (*Exporter) AllocateTimer(string, map[string]string) tally.CachedTimer { return droppedTimer{} }

// AllocateHistogram returns the histogram of a name and tags.
func (e *Exporter) AllocateHistogram(name string, tags map[string]string, _ tally.Buckets) tally.CachedHistogram {
	return allocate(e, name, histogramKind, tags, &histogram{buckets: map[float64]*counter{}})
}

type droppedTimer struct{}

// ReportTimer drops the value.
func (droppedTimer) ReportTimer(time.Duration) {}

type counter struct{ value atomic.Int64 }

// ReportCount adds to the counter.
func (c *counter) ReportCount(value int64) { c.value.Add(value) }

// ReportSamples adds to the counter of a histogram's bucket.
func (c *counter) ReportSamples(value int64) { c.value.Add(value) }

type gauge struct{ bits atomic.Uint64 }

// ReportGauge sets the gauge.
func (g *gauge) ReportGauge(value float64) { g.bits.Store(math.Float64bits(value)) }

// histogram counts samples by the upper bound of their bucket; durations are in seconds.
type histogram struct {
	mu      sync.Mutex
	buckets map[float64]*counter
}

func (h *histogram) bucket(upper float64) *counter {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.buckets[upper] == nil {
		h.buckets[upper] = &counter{}
	}
	return h.buckets[upper]
}

// ValueBucket returns the bucket with an upper bound. tally's largest bound stands for infinity.
func (h *histogram) ValueBucket(_, upper float64) tally.CachedHistogramBucket {
	if upper == math.MaxFloat64 {
		upper = math.Inf(1)
	}
	return h.bucket(upper)
}

// DurationBucket returns the bucket with an upper bound. tally's largest bound stands for infinity.
func (h *histogram) DurationBucket(_, upper time.Duration) tally.CachedHistogramBucket {
	if upper == time.Duration(math.MaxInt64) {
		return h.bucket(math.Inf(1))
	}
	return h.bucket(upper.Seconds())
}

// sorted returns the upper bounds in order.
func (h *histogram) sorted() []float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	bounds := make([]float64, 0, len(h.buckets))
	for upper := range h.buckets {
		bounds = append(bounds, upper)
	}
	sort.Float64s(bounds)
	return bounds
}
