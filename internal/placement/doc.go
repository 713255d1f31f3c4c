// Package placement assigns the slots of a service and placement class to targets.
//
// Plan returns the fewest moves that give every slot a usable owner and keep the number of slots of each target within
// a bound around its share. Rendezvous is the baseline for comparison. Both are deterministic functions of their input.
package placement

import "github.com/tarragonpoint/tarragonpoint/internal/model"

// Slot is a slot with its current owner.
type Slot struct {
	ID model.Slot
	// Owner is empty if the slot has none.
	Owner model.TargetID
	// DeclaredTarget is the target for which the inventory declares the slot's key; empty if none. The slot belongs to
	// it while it is eligible.
	DeclaredTarget model.TargetID
	// Rate is the request rate of a hot slot in requests per second; 0 for slots that are not hot.
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

// Input is the state for which Plan computes moves. It is not modified.
type Input struct {
	// Class restricts the regions of eligible targets.
	Class   model.Class
	Slots   []Slot
	Targets []Target
	// BaseRate is the mean rate of slots that are not hot, in requests per second. If it is set, the load of a target is
	// the number of its slots plus the rate of its hot slots divided by BaseRate, of which at most the target's share
	// counts. With 0, each slot counts as one.
	BaseRate float64
	// ImbalancePercent is how far the number of slots of a target may deviate from its share, in percent of the share.
	ImbalancePercent float64
	// MaxMoves limits the moves of one plan; 0 means no limit.
	MaxMoves int
}

// Reason states why a slot moves. Lower values are more urgent and come first in a plan.
type Reason uint8

// Reasons for a move, most urgent first.
const (
	// Unowned is a slot that has no owner, or whose owner is unknown or not alive.
	Unowned Reason = iota
	// OutOfService is a slot whose owner's zone is out of service or not permitted for the class.
	OutOfService
	// Drain is a slot whose owner is draining.
	Drain
	// Declared is a slot whose key the inventory declares for another target.
	Declared
	// Hot is a hot slot that moves away from an overloaded target.
	Hot
	// Balance is a slot that moves to bring targets back within the bound.
	Balance
)

// Move is one change of owner.
type Move struct {
	Slot   model.Slot
	From   model.TargetID
	To     model.TargetID
	Reason Reason
}
