package gateway

import (
	"time"

	"golang.org/x/sys/unix"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

// clock reads the time since the machine started, including the time for which it was suspended: a leader that was
// suspended must see that its office has run out.
type clock struct {
	started time.Time
}

func newClock() clock { return clock{started: time.Now()} }

// Now returns the present instant.
func (c clock) Now() model.Instant {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// The monotonic clock stands while the machine is suspended, but it is the best reading left.
		return model.Instant(time.Since(c.started))
	}
	return model.Instant(now.Nano())
}
