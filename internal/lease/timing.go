// Package lease is the lessor's side of the lease protocol: one Keeper for each target decides when to renew, when the
// lease has surely run out, and from when on this process has been the only sender to the target.
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
	// Margin covers the resolution of the clocks and the scheduling of the target's check.
	Margin = 50 * time.Millisecond
)

// Bound is the time after which a lease of Duration has surely run out, on a clock within DriftPercent.
const Bound = Duration*(100+DriftPercent)/100 + Margin

// surelyValidFor is the time for which a lease of Duration is surely valid, on a clock within DriftPercent.
const surelyValidFor = Duration*(100-DriftPercent)/100 - Margin

// reading is one reading of a target's clock.
type reading struct {
	clock      model.Instant
	sentAt     model.Instant
	receivedAt model.Instant
}

// validUntil is the end of a lease that rests on the reading, on the target's clock.
func (r reading) validUntil() model.Instant { return r.clock.Add(Duration) }

// endsBy is the time on this process's clock by which a lease that rests on the reading has run out.
func (r reading) endsBy() model.Instant { return r.receivedAt.Add(Bound) }

// holdsUntil is the time on this process's clock until which a lease that rests on the reading is valid.
func (r reading) holdsUntil() model.Instant { return r.sentAt.Add(surelyValidFor) }
