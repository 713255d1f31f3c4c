package entry

import (
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

// clock reads the clocks of this process. Instants count from the start of the process, on the monotonic clock.
type clock struct{ start time.Time }

func newClock() clock { return clock{start: time.Now()} }

// Now reads the monotonic clock.
func (c clock) Now() model.Instant { return model.Instant(time.Since(c.start)) }

// Wall reads the wall clock.
func (c clock) Wall() time.Time { return time.Now() }
