package route

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

// Guards against routing by an outdated status: tables with the same assignments share Owners, whose targets may be
// older than the table.
func TestResolveReturnsTheStatusOfItsTable(t *testing.T) {
	before := benchTable(4)
	changed := *before.Targets["target-00000"]
	changed.Status = &Status{Draining: true}
	after := &Table{Owners: before.Owners, Targets: map[model.TargetID]*Target{changed.ID: &changed}}
	service := &Service{Name: benchService, Slots: 4}
	owner, found := after.Resolve(service, model.AnyRegion, 7)
	require.True(t, found)
	require.Same(t, &changed, owner.Target)
	require.Equal(t, model.Fence(3), owner.Fence)
	_, found = after.OwnerOf(model.Slot{Service: benchService, Class: model.AnyRegion, Index: 4})
	require.False(t, found)
}
