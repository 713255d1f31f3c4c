package entry

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/route"
)

// Guards against a new VM that accepts requests before it has the statuses of the targets, and against a VM that never
// becomes ready because of a failed target.
func TestReadyNeedsStatuses(t *testing.T) {
	target := &route.Target{InService: true}
	table := &route.Table{Targets: map[model.TargetID]*route.Target{"t": target}}
	var waiting, complete readiness
	require.False(t, waiting.isReady(0, table))
	table.Ready = true
	require.False(t, waiting.isReady(1, table))
	require.True(t, waiting.isReady(1+model.Instant(maxStatusWait), table))
	require.False(t, complete.isReady(1, table))
	target.Status = &route.Status{}
	require.True(t, complete.isReady(2, table))
	target.Status = nil
	require.True(t, complete.isReady(3, table))
}
