package subset

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tarragonpoint/tarragonpoint/internal/fleet"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

// fleetOf returns targets, half of them in each of two regions.
func fleetOf(targets int) []*fleet.Target {
	var list []*fleet.Target
	for i := range targets {
		region := model.Region("north")
		if i%2 == 1 {
			region = "south"
		}
		list = append(list, &fleet.Target{ID: model.TargetID(fmt.Sprint("t-", i)), Region: region})
	}
	return list
}

// With 300 VMs and 600 targets, each VM keeps connections to 45 targets of its region, and no target is in the subsets of
// many more VMs than another.
func TestTargetsAreInEquallyManySubsets(t *testing.T) {
	const (
		vms  = 300
		size = 45
	)
	targets := fleetOf(600)
	uses := map[model.TargetID]int{}
	for vm := range vms {
		region := model.Region([]string{"north", "south"}[vm%2])
		chosen := Of(fmt.Sprint("vm-", vm), region, targets, size)
		require.Len(t, chosen, size)
		for _, target := range chosen {
			require.Equal(t, region, target.Region)
			uses[target.ID]++
		}
	}
	mean := float64(vms) * size / float64(len(targets))
	for id, n := range uses {
		assert.InDelta(t, mean, n, mean*0.75, id)
	}
	assert.Len(t, uses, len(targets))
}

// A target that goes is replaced by one other target, and the rest of the subset keeps its connections.
func TestSubsetIsStable(t *testing.T) {
	targets := fleetOf(100)
	before := Of("vm", "north", targets, 20)
	after := Of("vm", "north", append(append([]*fleet.Target{}, targets[:10]...), targets[11:]...), 20)
	kept := 0
	for _, target := range after {
		for _, former := range before {
			if former == target {
				kept++
			}
		}
	}
	assert.GreaterOrEqual(t, kept, 19)
}

// A region with fewer targets than the subset is filled up with others, and a small service is used whole.
func TestSmallServicesAreUsedWhole(t *testing.T) {
	targets := fleetOf(20)
	chosen := Of("vm", "north", targets, 15)
	local := 0
	for _, target := range chosen {
		if target.Region == "north" {
			local++
		}
	}
	assert.Equal(t, 10, local)
	assert.Len(t, chosen, 15)
	assert.Equal(t, targets, Of("vm", "north", targets, 20))
	assert.Equal(t, minSize, Size(0))
	assert.Equal(t, 53, Size(20))
}
