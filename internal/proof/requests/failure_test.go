package requests

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestSingleFailure guards against a key that is not served within 3 s after the failure of one entry VM or one target.
func TestSingleFailure(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			failures := inWorld(t, seed, func(w *world) {
				w.awaitServed(recoveryLimit, "at the start")
				time.Sleep(5 * time.Second)
				w.failOneProcess()
				w.awaitServed(failoverLimit, "after a single failure")
			})
			require.Empty(t, failures)
		})
	}
}
