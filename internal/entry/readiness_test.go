package entry

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/route"
)

// Guards against a new VM that takes requests before it knows the targets, and one that a lost target keeps from serving.
func TestReadyOnlyWithStatuses(t *testing.T) {
	known := &route.Target{InService: true}
	table := &route.Table{Targets: map[model.TargetID]*route.Target{"t": known}}
	var waiting, complete readiness
	require.False(t, waiting.isReady(0, table))
	table.Ready = true
	require.False(t, waiting.isReady(1, table))
	require.True(t, waiting.isReady(1+model.Instant(statusWait), table))
	require.False(t, complete.isReady(1, table))
	known.Status = &route.Status{}
	require.True(t, complete.isReady(2, table))
	known.Status = nil
	require.True(t, complete.isReady(3, table))
}
