// Package lease implements the lessor's side of the lease protocol. The lessor of a target is the entry VM that renews
// its lease. One Keeper for each target determines when to renew the lease, when it has certainly expired, and since
// when this process has been the only sender to the target.
package lease

import (
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

const (
	// Duration is the length of a lease on the target's clock, from the last reading of that clock.
	Duration = 2 * time.Second
	// RenewInterval is the time between two renewals.
	RenewInterval = 500 * time.Millisecond
	// RenewTimeout is the time after which a renewal counts as failed.
	RenewTimeout = 400 * time.Millisecond
	// RetryInterval is the time between a failed renewal and the next one.
	RetryInterval = 100 * time.Millisecond
	// RevokeInterval is the time between two revocations while requests are still running.
	RevokeInterval = 25 * time.Millisecond
	// DriftPercent is the largest difference between the rates of two clocks, in percent.
	DriftPercent = 1
	// Margin covers the resolution of the clocks and the scheduling delay of the target's expiry check.
	Margin = 50 * time.Millisecond
)

// Bound is the time after which a lease of Duration has certainly expired, on a clock within DriftPercent.
const Bound = Duration*(100+DriftPercent)/100 + Margin

// guaranteedValidity is the time for which a lease of Duration is guaranteed to be valid, on a clock within
// DriftPercent.
const guaranteedValidity = Duration*(100-DriftPercent)/100 - Margin

// reading is one reading of a target's clock.
type reading struct {
	clock      model.Instant
	sentAt     model.Instant
	receivedAt model.Instant
}

// validUntil returns the end of a lease that is based on the reading, on the target's clock.
func (r reading) validUntil() model.Instant { return r.clock.Add(Duration) }

// expiredBy returns the time on this process's clock by which a lease that is based on the reading has expired.
func (r reading) expiredBy() model.Instant { return r.receivedAt.Add(Bound) }

// guaranteedUntil returns the time on this process's clock until which a lease that is based on the reading is valid.
func (r reading) guaranteedUntil() model.Instant { return r.sentAt.Add(guaranteedValidity) }
