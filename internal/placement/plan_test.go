package placement

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

func fixture(targets, slots, zones int) Input {
	input := Input{Class: model.AnyRegion, ImbalancePercent: 25}
	for i := range targets {
		input.Targets = append(input.Targets, Target{
			ID: model.TargetID(fmt.Sprintf("t%03d", i)), Zone: model.Zone(fmt.Sprintf("z%d", i%zones)),
			Region: model.Region(fmt.Sprintf("r%d", i%zones/2)), InService: true, Alive: true,
		})
	}
	for i := range slots {
		input.Slots = append(input.Slots, Slot{ID: model.Slot{Service: "s", Class: model.AnyRegion, Index: uint32(i)}})
	}
	return input
}

func counts(slots []Slot) map[model.TargetID]int {
	result := map[model.TargetID]int{}
	for _, slot := range slots {
		result[slot.Owner]++
	}
	return result
}

// Guards against slots without a usable owner, violated bounds, different plans for the same input, and a second plan
// that moves slots again although no target has changed.
func TestPlanUnderRandomMembership(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		input := fixture(rapid.IntRange(2, 14).Draw(t, "targets"), rapid.IntRange(1, 300).Draw(t, "slots"), 4)
		for range 6 {
			i := rapid.IntRange(0, len(input.Targets)-1).Draw(t, "target")
			target := &input.Targets[i]
			target.Alive = rapid.Bool().Draw(t, "alive")
			target.Draining = rapid.Bool().Draw(t, "draining")
			moves := Plan(input)
			require.Equal(t, moves, Plan(input), "the same input must give the same plan")
			input.Slots = Apply(input.Slots, moves)
			require.Empty(t, Plan(input), "a plan must be stable")
			requireBound(t, input)
		}
	})
}

func requireBound(t *rapid.T, input Input) {
	eligibleCount := 0
	for i := range input.Targets {
		if eligible(&input.Targets[i], input.Class) {
			eligibleCount++
		}
	}
	if eligibleCount == 0 {
		return
	}
	mean := float64(len(input.Slots)) / float64(eligibleCount)
	owned := counts(input.Slots)
	for i := range input.Targets {
		n := owned[input.Targets[i].ID]
		if !eligible(&input.Targets[i], input.Class) {
			require.Zero(t, n)
			continue
		}
		require.LessOrEqual(t, float64(n), max(mean+1, mean*1.25))
		require.GreaterOrEqual(t, float64(n), mean*0.75-1)
	}
}

// Guards against moving slots whose owner is not the failed target.
func TestPlanMovesOnlySlotsOfFailedTarget(t *testing.T) {
	input := fixture(12, 256, 4)
	input.Slots = Apply(input.Slots, Plan(input))
	failed := counts(input.Slots)["t005"]
	input.Targets[5].Alive = false
	moves := Plan(input)
	require.Len(t, moves, failed)
	for _, m := range moves {
		require.Equal(t, Unowned, m.Reason)
	}
}

// Guards against placing a slot outside its tenants' home regions, even if no other target is available.
func TestPlanKeepsClass(t *testing.T) {
	input := fixture(8, 64, 4)
	input.Class = "r1"
	for _, m := range Plan(input) {
		require.Contains(t, []model.TargetID{"t002", "t003", "t006", "t007"}, m.To)
	}
	for i := range input.Targets {
		input.Targets[i].Alive = input.Targets[i].Region == "r0"
	}
	require.Empty(t, Plan(input))
}

// Guards against declared keys that move away from their target, or that have no owner while it is down.
func TestPlanKeepsDeclaredTargets(t *testing.T) {
	input := fixture(4, 16, 4)
	input.Slots[3].DeclaredTarget = "t002"
	input.Slots = Apply(input.Slots, Plan(input))
	require.Equal(t, model.TargetID("t002"), input.Slots[3].Owner)
	input.Targets[2].Alive = false
	input.Slots = Apply(input.Slots, Plan(input))
	require.NotEqual(t, model.TargetID("t002"), input.Slots[3].Owner)
	require.NotEmpty(t, input.Slots[3].Owner)
}

// Guards against hot slots that accumulate on a target and against hot slots that move back when rates vary by 10 %.
func TestPlanHotSlotsSpreadAndStay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		input := fixture(6, 120, 4)
		input.Slots = Apply(input.Slots, Plan(input))
		base := map[int]float64{}
		for i := range input.Slots {
			if input.Slots[i].Owner == "t001" && len(base) < 4 {
				base[i] = 100
			}
		}
		hotMoves := 0
		for range 12 {
			for i, rate := range base {
				input.Slots[i].Rate = rate * (1 + 0.1*rapid.Float64Range(-1, 1).Draw(t, "noise"))
			}
			moves := Plan(input)
			hotMoves += len(moves)
			input.Slots = Apply(input.Slots, moves)
		}
		require.Equal(t, 3, hotMoves, "each hot slot except one must move exactly once")
	})
}

// Guards against a target that keeps its full share of slots in addition to a slot that is as busy as all of them, and
// against slots that move back and forth as the rates vary.
func TestPlanRelievesTargetOfHotSlot(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		input := fixture(12, 256, 4)
		input.Slots = Apply(input.Slots, Plan(input))
		owner := input.Slots[9].Owner
		input.BaseRate = 1
		moves := 0
		for range 20 {
			input.Slots[9].Rate = 20 * (1 + 0.1*rapid.Float64Range(-1, 1).Draw(t, "noise"))
			plan := Plan(input)
			moves += len(plan)
			input.Slots = Apply(input.Slots, plan)
		}
		require.Equal(t, owner, input.Slots[9].Owner)
		require.LessOrEqual(t, counts(input.Slots)[owner], 10)
		require.LessOrEqual(t, moves, 16)
	})
}

// Guards against plans that exceed MaxMoves and against urgent moves that are delayed by less urgent ones.
func TestPlanMaxMovesUrgentFirst(t *testing.T) {
	input := fixture(12, 256, 4)
	input.Slots = Apply(input.Slots, Plan(input))
	input.Targets[1].Draining = true
	input.Targets[7].Alive = false
	input.MaxMoves = 10
	moves := Plan(input)
	require.Len(t, moves, 10)
	for _, m := range moves {
		require.Equal(t, Unowned, m.Reason)
	}
}

// BenchmarkPlan measures the first plan ("fresh") and the plan after a target failed ("loss").
func BenchmarkPlan(b *testing.B) {
	for _, size := range []struct{ targets, slots, zones int }{{12, 256, 4}, {100, 6400, 8}, {500, 32000, 14}} {
		fresh := fixture(size.targets, size.slots, size.zones)
		loss := fresh
		loss.Slots = Apply(fresh.Slots, Plan(fresh))
		loss.Targets = append([]Target(nil), fresh.Targets...)
		loss.Targets[1].Alive = false
		b.Run(fmt.Sprintf("fresh/%dx%d", size.targets, size.slots), func(b *testing.B) {
			for b.Loop() {
				Plan(fresh)
			}
		})
		b.Run(fmt.Sprintf("loss/%dx%d", size.targets, size.slots), func(b *testing.B) {
			for b.Loop() {
				Plan(loss)
			}
		})
	}
}
