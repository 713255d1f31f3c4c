package entry

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxLatency is the highest latency that is told apart, in microseconds.
	maxLatency = 60_000_000
	// latencyDigits is the precision of the histogram in significant digits.
	latencyDigits = 2
	// latencyWindow is the number of attempts after which older ones are dropped by half a window.
	latencyWindow = 2000
	// minLatencies is the number of attempts below which the 99th percentile is not known.
	minLatencies = 100
	percentile99 = 99
)

// latencies estimates the 99th percentile of the latency of one service over its latest attempts.
type latencies struct {
	mu       sync.Mutex
	current  *hdrhistogram.Histogram
	previous *hdrhistogram.Histogram
}

func newLatencies() *latencies {
	return &latencies{current: newHistogram(), previous: newHistogram()}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency, latencyDigits)
}

func (l *latencies) add(latency time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	// A value beyond the range counts as the highest one.
	_ = l.current.RecordValue(min(maxLatency, max(1, latency.Microseconds())))
	if l.current.TotalCount() >= latencyWindow/2 {
		l.previous, l.current = l.current, l.previous
		l.current.Reset()
	}
}

// p99 returns the 99th percentile, or 0 if there are too few attempts.
func (l *latencies) p99() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.current.TotalCount()+l.previous.TotalCount() < minLatencies {
		return 0
	}
	highest := max(l.current.ValueAtQuantile(percentile99), l.previous.ValueAtQuantile(percentile99))
	return time.Duration(highest) * time.Microsecond
}
