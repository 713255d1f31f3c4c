package keyspace

import "math"

const (
	// BucketKeys is the number of adjacent keys that share a load counter. Hot spots span about 60 to 200 keys and have
	// to be divided among several targets, so a bucket must be much smaller than that.
	BucketKeys = 8
	// Buckets is the number of load counters of a service.
	Buckets = Keys / BucketKeys
)

// Bucket returns the index of a key's load counter.
func Bucket(key int) int { return key / BucketKeys }

// Load is the exponentially decayed load of each bucket of a service, in busy slots.
type Load struct {
	values [Buckets]float64
	// base is added to the measured load of each bucket, so that keys without traffic are distributed evenly too.
	base float64
}

// NewLoad returns a load without measured traffic, in which each bucket counts as base busy slots.
func NewLoad(base float64) *Load { return &Load{base: base} }

// Add adds measured load to a bucket. It ignores unknown buckets and values that are not positive and finite.
func (l *Load) Add(bucket int, slots float64) {
	if bucket >= 0 && bucket < Buckets && slots > 0 && !math.IsInf(slots, 0) && !math.IsNaN(slots) {
		l.values[bucket] += slots
	}
}

// Decay multiplies the measured load by a factor.
func (l *Load) Decay(factor float64) {
	for i := range l.values {
		l.values[i] *= factor
	}
}

// Sum returns the load of the keys from..to, both inclusive. A bucket that lies partly in the range counts in
// proportion to its keys there.
func (l *Load) Sum(from, to int) float64 {
	sum := float64(to-from+1) / BucketKeys * l.base
	for bucket := from / BucketKeys; bucket <= to/BucketKeys; bucket++ {
		if l.values[bucket] == 0 {
			continue
		}
		low := max(from, bucket*BucketKeys)
		high := min(to, bucket*BucketKeys+BucketKeys-1)
		sum += l.values[bucket] * float64(high-low+1) / BucketKeys
	}
	return sum
}

// SplitKey returns the last key of the shortest prefix of from..to that has at least the wanted load. The prefix leaves
// at least one key after it, unless the range is a single key, in which case SplitKey returns to.
func (l *Load) SplitKey(from, to int, want float64) int {
	sum := 0.0
	for key := from; key < to; key++ {
		sum += (l.values[key/BucketKeys] + l.base) / BucketKeys
		if sum >= want {
			return key
		}
	}
	return max(from, to-1)
}
