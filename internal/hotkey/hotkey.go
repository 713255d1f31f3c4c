// Package hotkey finds the keys with the highest request rates in bounded memory.
//
// Counter implements the space-saving algorithm with exponential decay: a key without a counter takes over the counter
// of the coldest key, and the weight of a request decreases with its age. For keys of 8 bytes, a counter takes about
// 80 B, so DefaultCapacity needs less than 0.4 MB. None of the project's dependencies has such a counter.
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
	// DefaultCapacity is a number of counters that suffices to find the hottest 160 keys; see
	// TestFindsHottestOfZipfLoad.
	DefaultCapacity = 4096
	// DefaultHalfLife is the age at which a request has half of its original weight.
	DefaultHalfLife = 20 * time.Second
	// maxExponent limits the weight of new requests, as a power of two. Above it, all counts are scaled down to avoid
	// overflow.
	maxExponent = 64
)

// Entry is a key with its estimated rate.
type Entry[K comparable] struct {
	Key K
	// Rate is the estimated rate in requests per second. It exceeds the actual rate by at most Error.
	Rate float64
	// Error is the part of Rate that may belong to previous keys of the counter, in requests per second.
	Error float64
}

type counter[K comparable] struct {
	key       K
	count     float64
	inherited float64 // count at the time at which key took over the counter
	index     int
}

// Counter estimates the request rates of the hottest keys. It is safe for concurrent use and has one lock.
type Counter[K comparable] struct {
	mu        sync.Mutex
	capacity  int
	halfLife  time.Duration
	landmark  model.Instant // the instant at which a request weighs 1
	createdAt model.Instant
	counters  map[K]*counter[K]
	coldest   minHeap[K]
}

// NewCounter returns a Counter that tracks at most capacity keys.
func NewCounter[K comparable](capacity int, halfLife time.Duration, now model.Instant) *Counter[K] {
	return &Counter[K]{
		capacity: max(1, capacity), halfLife: halfLife, landmark: now, createdAt: now,
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
	victim.key, victim.inherited = key, victim.count
	victim.count += weight
	c.counters[key] = victim
	heap.Fix(&c.coldest, 0)
}

// weight returns the weight of a request at now. Instead of reducing old counts, it increases the weight of new
// requests with time, which keeps the counters in order without updating them. It scales all counts down and moves the
// landmark when the weight would exceed 2^maxExponent.
func (c *Counter[K]) weight(now model.Instant) float64 {
	exponent := float64(now.Sub(c.landmark)) / float64(c.halfLife)
	if exponent <= maxExponent {
		return math.Exp2(exponent)
	}
	scale := math.Exp2(-exponent)
	for _, each := range c.counters {
		each.count *= scale
		each.inherited *= scale
	}
	c.landmark = now
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
		result = append(result, Entry[K]{Key: each.key, Rate: each.count * perCount, Error: each.inherited * perCount})
	}
	return result
}

// ratePerCount returns the factor that converts a count to requests per second. A steady rate r yields the decayed
// count r * halfLife / ln 2 * (1 - 2^(-age/halfLife)).
func (c *Counter[K]) ratePerCount(now model.Instant) float64 {
	age := float64(max(now.Sub(c.createdAt), time.Second)) / float64(c.halfLife)
	steadyCount := c.halfLife.Seconds() / math.Ln2 * (1 - math.Exp2(-age))
	return 1 / (c.weight(now) * steadyCount)
}

// minHeap is a heap of counters with the lowest count at the top.
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
