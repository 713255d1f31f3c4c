// Package placement decides which slot of a service and placement class belongs on which target.
//
// Plan returns the fewest moves that give every slot a usable owner and keep the number of slots of each target within
// a bound around its share. Rendezvous is the baseline for comparison. Both are deterministic functions of their input.
package placement

import "github.com/tarragonpoint/tarragonpoint/internal/model"

// Slot is a slot with its present owner.
type Slot struct {
	ID model.Slot
	// Owner is empty if the slot has none.
	Owner model.TargetID
	// Pin is the target that the inventory declares for the slot's key; empty if none.
	Pin model.TargetID
	// Rate is the request rate of a hot slot in requests a second; 0 for slots that are not hot.
	Rate float64
}

// Target is a candidate for slots.
type Target struct {
	ID     model.TargetID
	Zone   model.Zone
	Region model.Region
	// InService is false while operators have taken the zone out of service.
	InService bool
	Draining  bool
	Alive     bool
	// Weight is the capacity relative to other targets; 0 counts as 1.
	Weight float64
	// OtherSlots is the number of slots that the target owns in other classes; it breaks ties.
	OtherSlots int
}

// Input is the state on which Plan decides. It is not modified.
type Input struct {
	// Class restricts the regions of eligible targets.
	Class   model.Class
	Slots   []Slot
	Targets []Target
	// BaseRate is the mean rate of slots that are not hot, in requests a second. With it, a hot slot counts as the number
	// of slots that have its rate together, at most one target's share; 0 counts each slot as one.
	BaseRate float64
	// ImbalancePercent is how far the slots of a target may be from its share, in percent of the share.
	ImbalancePercent float64
	// MaxMoves limits the moves of one plan; 0 means no limit.
	MaxMoves int
}

// Reason says why a slot moves. Lower values are more urgent and come first in a plan.
type Reason uint8

// Reasons for a move, most urgent first.
const (
	// Unowned is a slot without an owner, or whose owner is dead or unknown.
	Unowned Reason = iota
	// OutOfService is a slot whose owner's zone is out of service or not permitted for the class.
	OutOfService
	// Drain is a slot whose owner leaves.
	Drain
	// Pinned is a slot that the inventory declares for another target.
	Pinned
	// Hot is a hot slot that leaves an overloaded target.
	Hot
	// Balance is a slot moved to restore the bound.
	Balance
)

// Move is one change of owner.
type Move struct {
	Slot   model.Slot
	From   model.TargetID
	To     model.TargetID
	Reason Reason
}
