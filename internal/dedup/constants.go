package dedup

import "time"

const (
	// MaxAge is the greatest age of a request ID that is admitted.
	MaxAge = 5 * time.Minute
	// Retention is how long the entry of an ID is kept after the ID's creation time. It exceeds MaxAge, so an ID whose
	// entry was removed is too old to be admitted.
	Retention = 6 * time.Minute
	// MaxAhead is how far the time of an ID may lie ahead of the lessor's clock.
	MaxAhead = time.Second
	// ClockMargin is the largest difference between the wall clocks of two entry VMs.
	ClockMargin = 250 * time.Millisecond
	// MaxAheadOfReceipt is how far the time of an ID may lie ahead of its receipt by an entry VM. It is shorter than
	// MaxAhead by ClockMargin: if one lessor refuses an ID as ahead of its own clock, the ID is also too far ahead of
	// the receipt of each attempt already received, and every other lessor refuses those attempts.
	MaxAheadOfReceipt = MaxAhead - ClockMargin
	// NotRunValidity is how long a "not run" of Close stays true: attempts received within it are refused too. The
	// requester must respond to its caller within this time after it sent its query. It covers a round trip between
	// regions of 24 ms and queues; an attempt under the same ID is refused for this time + ClockMargin.
	NotRunValidity = 200 * time.Millisecond
	// DefaultMaxEntries is the default maximum number of IDs kept. At about 200 bytes each they take 52 MB.
	DefaultMaxEntries = 1 << 18
	// DefaultMaxBodyBytes is the default limit of the memory for stored bodies and headers, in bytes.
	DefaultMaxBodyBytes = 8 << 20
	// MaxHandoverBytes is the maximum size of the replies in one handover, in bytes. Replies beyond it are sent without
	// bodies.
	MaxHandoverBytes = 512 << 10
	// MaxPendingHandovers is the maximum number of slots whose handovers are kept until Cover is called.
	MaxPendingHandovers = 1 << 16

	// shardCount is the number of shards; a power of two.
	shardCount = 64
	// sweepInterval is the minimum time between two removals of expired entries from a shard.
	sweepInterval = 10 * time.Second
	// fullSweepInterval is the same minimum for a full shard.
	fullSweepInterval = time.Second
)
