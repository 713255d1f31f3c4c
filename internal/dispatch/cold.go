package dispatch

import (
	"sync"
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/route"
)

// coldNoteLife is how long an answer that says "cold" counts. The lessor sees the cold start at its next renewal, within
// 500 ms, and its status arrives within another 500 ms.
const coldNoteLife = time.Second

// coldNotes remembers the targets whose own answers said that they are in a cold start.
type coldNotes struct {
	mu    sync.Mutex
	until map[model.TargetID]model.Instant
}

func (c *coldNotes) note(id model.TargetID, now model.Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.until == nil {
		c.until = map[model.TargetID]model.Instant{}
	}
	c.until[id] = now.Add(coldNoteLife)
}

func (c *coldNotes) holds(id model.TargetID, now model.Instant) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	end, noted := c.until[id]
	if noted && now >= end {
		delete(c.until, id)
		return false
	}
	return noted
}

// isCold reports whether only the lessor may send to a target, by its status or by its latest answers.
func (d *Dispatcher) isCold(t *route.Target) bool {
	return t.Status.Cold || d.cold.holds(t.ID, d.Clock.Now())
}
