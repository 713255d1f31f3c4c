package lease

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

// Guards against bounds that omit the drift or the margin: a process would consider a lease expired while its target
// still serves, or valid after the target has stopped. The target's expiry check may be late or early by half of the
// margin.
func TestBoundsCoverDriftAndLateChecks(t *testing.T) {
	const check = 25 * time.Millisecond
	r := reading{clock: model.Instant(time.Hour), sentAt: model.Instant(time.Second), receivedAt: model.Instant(2 * time.Second)}
	length := r.validUntil().Sub(r.clock)
	slowest := length * 100 / (100 - DriftPercent)
	fastest := length * 100 / (100 + DriftPercent)
	require.GreaterOrEqual(t, r.expiredBy(), r.receivedAt.Add(slowest+check))
	require.LessOrEqual(t, r.guaranteedUntil(), r.sentAt.Add(fastest-check))
}
