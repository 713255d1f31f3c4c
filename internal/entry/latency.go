package entry

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxLatencyMicros is the highest latency that the histogram can represent, in microseconds.
	maxLatencyMicros = 60_000_000
	// latencyDigits is the precision of the histogram, in significant decimal digits.
	latencyDigits = 2
	// latencyWindow is the maximum number of latest attempts that are evaluated; older ones are dropped half a window
	// at a time.
	latencyWindow = 2000
	// minLatencySamples is the number of attempts below which the 99th percentile is treated as unknown.
	minLatencySamples = 100
	percentile99      = 99
)

// latencyEstimator estimates the 99th percentile of the latency of one service over its latest attempts.
type latencyEstimator struct {
	mu       sync.Mutex
	current  *hdrhistogram.Histogram
	previous *hdrhistogram.Histogram
}

func newLatencyEstimator() *latencyEstimator {
	return &latencyEstimator{current: newHistogram(), previous: newHistogram()}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatencyMicros, latencyDigits)
}

func (l *latencyEstimator) add(latency time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	// A value above the range is recorded as the highest one.
	_ = l.current.RecordValue(min(maxLatencyMicros, max(1, latency.Microseconds())))
	if l.current.TotalCount() >= latencyWindow/2 {
		l.previous, l.current = l.current, l.previous
		l.current.Reset()
	}
}

// p99 returns the higher of the 99th percentiles of the two halves of the window, or 0 with fewer than
// minLatencySamples attempts.
func (l *latencyEstimator) p99() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.current.TotalCount()+l.previous.TotalCount() < minLatencySamples {
		return 0
	}
	highest := max(l.current.ValueAtQuantile(percentile99), l.previous.ValueAtQuantile(percentile99))
	return time.Duration(highest) * time.Microsecond
}
