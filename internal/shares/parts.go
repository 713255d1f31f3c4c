package shares

import (
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

// joinMargin is the factor by which the number of VMs may grow before a VM that joins gets less than an equal part.
const joinMargin = 1.25

// equalPart returns the part of the budget that each of a number of VMs gets.
func equalPart(vms int) float64 { return 1 / (float64(vms)*joinMargin + 1) }

// parts counts the parts of the budget that the VMs have had within its window.
type parts struct {
	// window is the window of the budget, with a margin for the drift between clocks.
	window time.Duration
	// granted holds for each VM what it may have used or may still use: the largest part first, and each later one for longer.
	granted map[string][]grantedPart
	// sum is the sum of the largest parts of all VMs. It is too large until the next sweep if some have ended.
	sum float64
	// freeFrom is when all that former leaders granted has left the window.
	freeFrom model.Instant
}

// grantedPart is a part that counts until an instant: the end of its lease and of the window after it.
type grantedPart struct {
	part  float64
	until model.Instant
}

func (p *parts) begin(now model.Instant, hasPredecessor bool) {
	p.granted, p.sum, p.freeFrom = map[string][]grantedPart{}, 0, now.Add(connectTime)
	if hasPredecessor {
		p.freeFrom = now.Add(ConfirmationTTL + LeaseTTL + clockMargin + p.window)
	}
}

// adopt counts a part that a former leader granted to a VM.
func (p *parts) adopt(now model.Instant, vm string, part float64) {
	if len(p.granted[vm]) == 0 && part > 0 && part <= 1-p.sum {
		p.add(now, vm, part)
	}
}

// renew grants a VM up to the wanted part, and less if the others have had more than the rest.
func (p *parts) renew(now model.Instant, vm string, wanted float64) float64 {
	own := p.largest(vm)
	left := 1 - p.sum
	if now < p.freeFrom {
		left = 0
	}
	part := min(wanted, own+max(0, left))
	if part > 0 {
		p.add(now, vm, part)
	}
	return part
}

func (p *parts) largest(vm string) float64 {
	if granted := p.granted[vm]; len(granted) > 0 {
		return granted[0].part
	}
	return 0
}

func (p *parts) add(now model.Instant, vm string, part float64) {
	before := p.largest(vm)
	kept := p.granted[vm]
	for len(kept) > 0 && kept[len(kept)-1].part <= part {
		kept = kept[:len(kept)-1]
	}
	p.granted[vm] = append(kept, grantedPart{part: part, until: now.Add(LeaseTTL + clockMargin + p.window)})
	p.sum += p.largest(vm) - before
}

// sweep drops what has left the window.
func (p *parts) sweep(now model.Instant) {
	p.sum = 0
	for vm, granted := range p.granted {
		for len(granted) > 0 && now >= granted[0].until {
			granted = granted[1:]
		}
		if len(granted) == 0 {
			delete(p.granted, vm)
			continue
		}
		p.granted[vm] = granted
		p.sum += granted[0].part
	}
}
