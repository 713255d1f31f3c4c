package keyspace

import "math"

const (
	// BucketKeys is the number of neighboring keys whose load is counted together. Hot spots are about 60 to 200 keys
	// wide and have to be divided among several targets.
	BucketKeys = 8
	// Buckets is the number of load counters of a service.
	Buckets = Keys / BucketKeys
)

// Bucket returns the load counter of a key.
func Bucket(key int) int { return key / BucketKeys }

// Load is the decayed load of each bucket of a service, in slots kept busy.
type Load struct {
	values [Buckets]float64
	// base is the load that each bucket is taken to have beside the measured one, so that keys without traffic are
	// divided evenly too.
	base float64
}

// NewLoad returns a load without traffic.
func NewLoad(base float64) *Load { return &Load{base: base} }

// Add adds measured load to a bucket.
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

// Sum returns the load of the keys from..to. A bucket that the range cuts counts by its share.
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

// SplitKey returns the last key of the shortest prefix of from..to that has at least the wanted load, but leaves at least
// one key after it. It returns to if the range is a single key.
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
