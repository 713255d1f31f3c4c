package gateway

import (
	"context"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/tarragonpoint/tarragonpoint/internal/keyspace"
	"github.com/tarragonpoint/tarragonpoint/internal/logging"
)

// Guards against a lost leader that is replaced late: the time for which VMs may take to connect to it counts from when an elected VM
// first saw it in the table, not from its election.
func TestLostLeaderIsReplacedByAVMThatIsElectedLate(t *testing.T) {
	t.Parallel()
	g := newFixture(t, logging.Discard()).newVM("vm-2")
	c := g.controller
	c.tableReceived(g.clock.Now(), &keyspace.Table{Leader: "vm-1/x", LeaderAddress: "127.0.0.1:1", Nonce: 1})
	c.handleQueued()
	c.step(context.Background())
	seen := g.clock.Now()
	assert.True(t, c.mayClaimLeadership(seen.Add(leaderConnectGrace)))
	assert.False(t, c.mayClaimLeadership(seen), "VMs may still be connecting to the leader")
}
