package balance

import (
	"sync/atomic"

	"github.com/tarragonpoint/tarragonpoint/internal/kernel"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/route"
)

// Plug-in IDs of the policies.
const (
	RandomID     kernel.ID = "balance.random"
	RoundRobinID kernel.ID = "balance.roundrobin"
	P2CID        kernel.ID = "balance.p2c"
)

func init() {
	kernel.Register(RandomID, func() any { return &random{source: newSource()} })
	kernel.Register(RoundRobinID, func() any { return &roundRobin{} })
	kernel.Register(P2CID, func() any { return NewP2C() })
}

// random is a baseline policy that chooses each usable target with the same probability.
type random struct{ *source }

// Choose implements Policy.
func (r *random) Choose(_ model.Instant, candidates []*route.Target, view View) (Choice, error) {
	targets := usableOf(candidates, &view)
	if len(targets) == 0 {
		return Choice{}, ErrNoTarget.New("none of %d targets is usable", len(candidates))
	}
	return Choice{Target: targets[r.intN(len(targets))]}, nil
}

// roundRobin is a baseline policy that chooses the usable targets in turn.
type roundRobin struct{ next atomic.Uint64 }

// Seed sets the first position, so that entry VMs do not start at the same target.
func (r *roundRobin) Seed(seed uint64) { r.next.Store(seed) }

// Choose implements Policy.
func (r *roundRobin) Choose(_ model.Instant, candidates []*route.Target, view View) (Choice, error) {
	targets := usableOf(candidates, &view)
	if len(targets) == 0 {
		return Choice{}, ErrNoTarget.New("none of %d targets is usable", len(candidates))
	}
	return Choice{Target: targets[(r.next.Add(1)-1)%uint64(len(targets))]}, nil
}
