package balance

import (
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/route"
)

// P2C (power of two choices) draws two random targets and chooses the one with the shorter expected wait, estimated
// from its load and latency. It prefers the local zone, then the local region, then other regions within the byte
// budget. A more distant tier is used if the closer ones have no target with free capacity.
type P2C struct{ *source }

// NewP2C returns the policy with seed 1.
func NewP2C() *P2C { return &P2C{source: newSource()} }

// scored is a usable candidate with its estimated load and its limit.
type scored struct {
	target *route.Target
	estimate
	limit float64
}

func (s *scored) saturated() bool { return s.load >= s.limit }

// score returns the expected wait of a request sent now, in units of the median latency.
func (s *scored) score() float64 { return (s.load + 1) / s.limit * s.slowness }

// maxDraws is the number of pairs drawn from a tier before all of its targets are examined.
const maxDraws = 3

// Choose implements Policy.
func (p *P2C) Choose(now model.Instant, candidates []*route.Target, view View) (Choice, error) {
	var fallback *scored
	for _, tier := range tiers(usableOf(candidates, &view), &view) {
		best := p.pick(now, tier, &view)
		if best == nil {
			continue
		}
		if best.target.Region != view.Region {
			if view.Spill.Take(now, view.RequestBytes) {
				return Choice{Target: best.target, Saturated: best.saturated()}, nil
			}
			continue
		}
		if !best.saturated() && best.share > 0 {
			return Choice{Target: best.target}, nil
		}
		if fallback == nil || best.score() < fallback.score() {
			fallback = best
		}
	}
	if fallback == nil {
		return Choice{}, ErrNoTarget.New("none of %d targets is usable", len(candidates))
	}
	return Choice{Target: fallback.target, Saturated: fallback.saturated()}, nil
}

// tiers groups the targets by distance: local zone, local region, other regions.
func tiers(targets []*route.Target, view *View) [3][]*route.Target {
	var result [3][]*route.Target
	for _, target := range targets {
		switch {
		case target.Zone == view.Zone:
			result[0] = append(result[0], target)
		case target.Region == view.Region:
			result[1] = append(result[1], target)
		default:
			result[2] = append(result[2], target)
		}
	}
	return result
}

// pick returns the better of two random admitted targets of a tier, or nil if there is none.
func (p *P2C) pick(now model.Instant, tier []*route.Target, view *View) *scored {
	if len(tier) > 2 {
		for range maxDraws {
			i, j := p.pair(len(tier))
			admitted, _ := p.admitted(now, []*route.Target{tier[i], tier[j]}, view)
			if len(admitted) == 2 {
				return lowerScore(admitted[0], admitted[1])
			}
		}
	}
	admitted, reserve := p.admitted(now, tier, view)
	if len(admitted) == 0 {
		admitted = reserve
	}
	switch len(admitted) {
	case 0:
		return nil
	case 1:
		return admitted[0]
	}
	i, j := p.pair(len(admitted))
	return lowerScore(admitted[i], admitted[j])
}

// admitted returns the targets that may be chosen now, with their estimates. Ejected targets, and recovering ones
// beyond their share, are kept in reserve: they are used only if no other target is left, because a slow target is
// better than none. Cold targets at their limit are excluded altogether; this VM is the lessor of all cold candidates.
func (p *P2C) admitted(now model.Instant, targets []*route.Target, view *View) (admitted, reserve []*scored) {
	ids := make([]model.TargetID, len(targets))
	for i, target := range targets {
		ids[i] = target.ID
	}
	for i, e := range view.Tracker.estimates(now, ids) {
		s := &scored{target: targets[i], estimate: e, limit: float64(limit(targets[i], view))}
		switch {
		case targets[i].Status.Cold && float64(e.inFlight) >= s.limit:
		case e.share >= 1 || e.share > 0 && p.float64() < e.share:
			admitted = append(admitted, s)
		default:
			reserve = append(reserve, s)
		}
	}
	return admitted, reserve
}

func lowerScore(a, b *scored) *scored {
	if b.score() < a.score() {
		return b
	}
	return a
}
