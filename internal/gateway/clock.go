package gateway

import (
	"time"

	"golang.org/x/sys/unix"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

// clock reads the time since the machine booted, including time in suspension. A leader that was suspended must detect
// that its leadership has expired.
type clock struct {
	started time.Time
}

func newClock() clock { return clock{started: time.Now()} }

// Now returns the current instant.
func (c clock) Now() model.Instant {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// The monotonic clock does not advance while the machine is suspended, but no better clock is available.
		return model.Instant(time.Since(c.started))
	}
	return model.Instant(now.Nano())
}
