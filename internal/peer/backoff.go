package peer

import (
	"math/rand/v2"
	"time"
)

// backoff spaces the dials of one peer.
type backoff struct {
	shortest time.Duration
	longest  time.Duration
	current  time.Duration
}

// next returns the time to wait before the next dial: between half and all of a delay that doubles with each failure. Jitter keeps
// many VMs from dialling a returning peer at the same moment.
func (b *backoff) next() time.Duration {
	if b.current == 0 {
		b.current = b.shortest
	} else {
		b.current = min(2*b.current, b.longest)
	}
	return b.current/2 + rand.N(b.current/2+1)
}

// reset makes the next delay the shortest, so that the connection of a healthy peer is soon replaced.
func (b *backoff) reset() { b.current = 0 }
