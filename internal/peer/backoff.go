package peer

import (
	"math/rand/v2"
	"time"
)

// backoff computes the delays between dials to one peer.
type backoff struct {
	shortest time.Duration
	longest  time.Duration
	current  time.Duration
}

// next returns the time to wait before the next dial: a random time between half of a delay and the whole delay, which
// doubles with each call. The jitter prevents many VMs from dialing a restarted peer at the same moment.
func (b *backoff) next() time.Duration {
	if b.current == 0 {
		b.current = b.shortest
	} else {
		b.current = min(2*b.current, b.longest)
	}
	return b.current/2 + rand.N(b.current/2+1)
}

// reset sets the next delay to the shortest one, so that the connection to a healthy peer is replaced quickly.
func (b *backoff) reset() { b.current = 0 }
