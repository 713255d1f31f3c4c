package balance

import (
	"github.com/joomcode/errorx"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/route"
)

var (
	errNamespace = errorx.NewNamespace("balance")
	// ErrNoTarget reports that no candidate may be used. The request has not been sent.
	ErrNoTarget = errNamespace.NewType("no_target")
)

// View is the information with which an entry VM chooses a target for a request.
type View struct {
	VM     model.VMID
	Zone   model.Zone
	Region model.Region
	// Concurrency is the number of requests that one warm target runs at a time.
	Concurrency int
	// RequestBytes is the expected size of the request and its response, charged when they cross regions.
	RequestBytes int64
	// Class restricts the regions of the candidates.
	Class model.Class
	// Tried are the targets of earlier attempts; they are excluded.
	Tried []model.TargetID
	// Tracker is the state of the service at this entry VM.
	Tracker *Tracker
	// Spill is the budget for requests to other regions; nil forbids them.
	Spill *SpillBudget
}

// Choice is the target that a policy chose.
type Choice struct {
	Target *route.Target
	// Saturated is true if the target is estimated to run as many requests as it can, so that the request would queue.
	Saturated bool
}

// Policy chooses targets. Implementations are plug-ins and safe for concurrent use.
type Policy interface {
	// Seed sets the seed of the policy's random choices.
	Seed(seed uint64)
	// Choose returns a target, or ErrNoTarget. It does not record that the request starts; Tracker.Start does.
	Choose(now model.Instant, candidates []*route.Target, view View) (Choice, error)
}

// usable reports whether the router may send a request to the target at all.
func usable(target *route.Target, view *View) bool {
	status := target.Status
	if !target.InService || status == nil || !status.Serving || status.Draining || !view.class().Allows(target.Region) {
		return false
	}
	if status.Cold && status.Lessor != view.VM {
		return false
	}
	for _, tried := range view.Tried {
		if tried == target.ID {
			return false
		}
	}
	return true
}

func (v *View) class() model.Class {
	if v.Class == "" {
		return model.AnyRegion
	}
	return v.Class
}

// limit returns the number of concurrent requests of a target as its lessor reported it, or else view.Concurrency.
func limit(target *route.Target, view *View) int {
	if target.Status.Limit > 0 {
		return target.Status.Limit
	}
	return max(1, view.Concurrency)
}

func usableOf(candidates []*route.Target, view *View) []*route.Target {
	result := make([]*route.Target, 0, len(candidates))
	for _, target := range candidates {
		if usable(target, view) {
			result = append(result, target)
		}
	}
	return result
}
