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

// Exporter is a tally reporter that keeps the current values in memory and serves them in the Prometheus text format.
// It replaces tally's own Prometheus reporter, which needs a client library that this project does not depend on.
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

// family is a metric: all series with one name.
type family struct {
	kind   kind
	series map[string]series
}

// series is the values of a family for one combination of labels.
type series interface {
	// write appends the lines of the series. labels are formatted label pairs without braces.
	write(out *strings.Builder, name, labels string)
}

var _ tally.CachedStatsReporter = (*Exporter)(nil)

// NewExporter returns an exporter without series.
func NewExporter() *Exporter { return &Exporter{families: map[string]*family{}} }

// Capabilities reports that the exporter supports reporting and tags.
func (*Exporter) Capabilities() tally.Capabilities { return capabilities{} }

// Flush does nothing, since reported values are stored at once.
func (*Exporter) Flush() {}

type capabilities struct{}

// Reporting is always true.
func (capabilities) Reporting() bool { return true }

// Tagging is always true.
func (capabilities) Tagging() bool { return true }

// allocate returns the series of a name and tags, and adds the given one if there is none. tally allocates a series
// again when a closed scope is reused, so an existing series is kept.
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

// AllocateTimer returns a timer that drops its values, since the router measures durations with histograms.
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

// ReportSamples adds to the counter of a histogram bucket.
func (c *counter) ReportSamples(value int64) { c.value.Add(value) }

type gauge struct{ bits atomic.Uint64 }

// ReportGauge sets the gauge.
func (g *gauge) ReportGauge(value float64) { g.bits.Store(math.Float64bits(value)) }

// histogram counts samples by the upper bound of their bucket. Bounds of durations are in seconds.
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

// ValueBucket returns the bucket with the given upper bound. tally represents infinity by math.MaxFloat64.
func (h *histogram) ValueBucket(_, upper float64) tally.CachedHistogramBucket {
	if upper == math.MaxFloat64 {
		upper = math.Inf(1)
	}
	return h.bucket(upper)
}

// DurationBucket returns the bucket with the given upper bound. tally represents infinity by math.MaxInt64 nanoseconds.
func (h *histogram) DurationBucket(_, upper time.Duration) tally.CachedHistogramBucket {
	if upper == time.Duration(math.MaxInt64) {
		return h.bucket(math.Inf(1))
	}
	return h.bucket(upper.Seconds())
}

// sortedBounds returns the upper bounds in ascending order.
func (h *histogram) sortedBounds() []float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	bounds := make([]float64, 0, len(h.buckets))
	for upper := range h.buckets {
		bounds = append(bounds, upper)
	}
	sort.Float64s(bounds)
	return bounds
}
