package proof

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tarragonpoint/tarragonpoint/internal/record"
)

// TestUnreachableMembersDoNotFloodTheLog guards against members of one cell that reach the log but not each other, and
// continuously remove each other and join again.
func TestUnreachableMembersDoNotFloodTheLog(t *testing.T) {
	w := newWorld(1, 2, 2, 3, t.Fatalf)
	w.runFor(6*time.Second, w.checkOwners)
	before := len(w.log.streams[record.AssignStream])
	w.cut[[2]string{"entry-a0", "entry-a1"}] = true
	w.cut[[2]string{"entry-a1", "entry-a0"}] = true
	w.runFor(20*time.Second, w.checkOwners)
	written := len(w.log.streams[record.AssignStream]) - before
	t.Logf("%d records in 20 s", written)
	require.Less(t, written, 100)
}
