// Package hotkey finds the keys with the highest request rates in bounded memory.
//
// Counter is the space-saving algorithm with exponential decay: a key that is not counted takes over the counter of the
// coldest one, and old requests lose weight. For model-sized keys of 8 bytes a counter takes about 80 B, so
// DefaultCapacity needs under 0.4 MB. No declared library has such a counter.
package hotkey

import (
	"container/heap"
	"math"
	"sort"
	"sync"
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

const (
	// DefaultCapacity is the number of counters that finds the hottest 160 keys; see TestFindsHottestOfZipfLoad.
	DefaultCapacity = 4096
	// DefaultHalfLife is the age at which a request counts half.
	DefaultHalfLife = 20 * time.Second
	// maxExponent bounds the weight of new requests, in powers of two, before all counts are scaled down.
	maxExponent = 64
)

// Entry is a key with its estimated rate.
type Entry[K comparable] struct {
	Key K
	// Rate is the estimated rate in requests a second. It may be too high by at most Error.
	Rate float64
	// Error is the part of the rate that may belong to keys that held the counter before, in requests a second.
	Error float64
}

type counter[K comparable] struct {
	key   K
	count float64
	taken float64 // count at the time the key took the counter over
	index int
}

// Counter estimates the rates of the hottest keys. It is safe for concurrent use and has one lock.
type Counter[K comparable] struct {
	mu       sync.Mutex
	capacity int
	halfLife time.Duration
	start    model.Instant // the instant at which a request weighs 1
	born     model.Instant
	counters map[K]*counter[K]
	coldest  minHeap[K]
}

// NewCounter returns a counter of at most capacity keys.
func NewCounter[K comparable](capacity int, halfLife time.Duration, now model.Instant) *Counter[K] {
	return &Counter[K]{
		capacity: max(1, capacity), halfLife: halfLife, start: now, born: now,
		counters: make(map[K]*counter[K], capacity),
	}
}

// Add records one request.
func (c *Counter[K]) Add(now model.Instant, key K) {
	c.mu.Lock()
	defer c.mu.Unlock()
	weight := c.weight(now)
	if found := c.counters[key]; found != nil {
		found.count += weight
		heap.Fix(&c.coldest, found.index)
		return
	}
	if len(c.counters) < c.capacity {
		added := &counter[K]{key: key, count: weight}
		c.counters[key] = added
		heap.Push(&c.coldest, added)
		return
	}
	c.replace(key, weight)
}

func (c *Counter[K]) replace(key K, weight float64) {
	victim := c.coldest[0]
	delete(c.counters, victim.key)
	victim.key, victim.taken = key, victim.count
	victim.count += weight
	c.counters[key] = victim
	heap.Fix(&c.coldest, 0)
}

// weight returns the weight of a request now. Weights grow with time instead of counts that shrink, which orders the
// counters without touching them.
func (c *Counter[K]) weight(now model.Instant) float64 {
	exponent := float64(now.Sub(c.start)) / float64(c.halfLife)
	if exponent <= maxExponent {
		return math.Exp2(exponent)
	}
	scale := math.Exp2(-exponent)
	for _, each := range c.counters {
		each.count *= scale
		each.taken *= scale
	}
	c.start = now
	return 1
}

// Top returns the n hottest keys, hottest first.
func (c *Counter[K]) Top(now model.Instant, n int) []Entry[K] {
	c.mu.Lock()
	defer c.mu.Unlock()
	sorted := append([]*counter[K](nil), c.coldest...)
	sort.SliceStable(sorted, func(i, j int) bool { return sorted[i].count > sorted[j].count })
	perCount := c.ratePerCount(now)
	result := make([]Entry[K], 0, min(n, len(sorted)))
	for _, each := range sorted[:min(n, len(sorted))] {
		result = append(result, Entry[K]{Key: each.key, Rate: each.count * perCount, Error: each.taken * perCount})
	}
	return result
}

// ratePerCount converts a decayed count to requests a second. A steady rate r has the decayed count
// r * halfLife / ln 2 * (1 - 2^(-age/halfLife)).
func (c *Counter[K]) ratePerCount(now model.Instant) float64 {
	age := float64(max(now.Sub(c.born), time.Second)) / float64(c.halfLife)
	full := c.halfLife.Seconds() / math.Ln2 * (1 - math.Exp2(-age))
	return 1 / (c.weight(now) * full)
}

// minHeap orders counters by count, the lowest first.
type minHeap[K comparable] []*counter[K]

// Len implements heap.Interface.
func (h minHeap[K]) Len() int { return len(h) }

// Less implements heap.Interface.
func (h minHeap[K]) Less(i, j int) bool { return h[i].count < h[j].count }

// Swap implements heap.Interface.
func (h minHeap[K]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *minHeap[K]) Push(x any) {
	added := x.(*counter[K])
	added.index = len(*h)
	*h = append(*h, added)
}

// Pop implements heap.Interface.
func (h *minHeap[K]) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
