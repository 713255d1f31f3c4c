package gateway

import (
	"sync"
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/keyspace"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

// unheldRetryDelay is how long requests for a range wait after its owner has stated that it does not hold a key of it. The
// leader grants missing keys within one renewal interval.
const unheldRetryDelay = 250 * time.Millisecond

// unheldRanges holds the ranges whose owners do not hold their keys, although the assignment has them as ready: the owner has
// restarted, or all leaders have. Every request that is sent there would use up the retry budget, so one at a time is.
type unheldRanges struct {
	mu    sync.Mutex
	until map[rangeVersion]model.Instant
}

// rangeVersion identifies a range under one fence; a new fence ends its wait.
type rangeVersion struct {
	service model.Service
	from    int
	fence   uint64
}

func newUnheldRanges() *unheldRanges { return &unheldRanges{until: map[rangeVersion]model.Instant{}} }

func versionOf(r *keyspace.Range) rangeVersion {
	return rangeVersion{service: r.Service, from: r.From, fence: r.Fence}
}

// add records that the owner of a range does not hold its keys.
func (u *unheldRanges) add(now model.Instant, r *keyspace.Range) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for version, until := range u.until {
		if now >= until {
			delete(u.until, version)
		}
	}
	u.until[versionOf(r)] = now.Add(unheldRetryDelay)
}

// waits reports whether requests for a range wait for its owner to get the keys.
func (u *unheldRanges) waits(now model.Instant, r *keyspace.Range) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return now < u.until[versionOf(r)]
}
