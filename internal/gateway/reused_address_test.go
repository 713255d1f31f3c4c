package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tarragonpoint/tarragonpoint/internal/fleet"
	"github.com/tarragonpoint/tarragonpoint/internal/keyspace"
	"github.com/tarragonpoint/tarragonpoint/internal/logging"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/standin/platformstub"
)

// Guards against keys that stay without an owner until all grants of a former leader have expired, although a target of another
// service responds at the address of their former owner.
func TestKeysOfATargetWhoseAddressIsReusedMoveAtOnce(t *testing.T) {
	t.Parallel()
	f := newFixture(t, logging.Discard())
	successor := platformstub.NewTarget("d-3", time.Millisecond)
	t.Cleanup(successor.Close)
	successor.HoldNoKeys()
	f.targets["d-3"] = successor
	f.register("d-3", "desk", "a", "ready")
	former := keyspace.Holder{Incarnation: fleet.Incarnation{ID: "k-0", StartedAtMillis: 1}, Address: successor.Address()}
	raw, err := (&keyspace.Table{Leader: "vm-0/x", LeaderAddress: "127.0.0.1:1", Nonce: 1, Ranges: []keyspace.Range{
		{Service: "review", From: 0, To: keyspace.Keys - 1, Owner: former, Fence: 1 << 16, Ready: true},
	}}).Encode()
	require.NoError(t, err)
	f.store.Put(topicAssignment, keyAssignment, raw)
	f.gateway = f.startVM("vm-1")
	isServed := func() bool {
		r := f.gateway.state.table.Load().Find("review", 7)
		return r != nil && r.Ready && r.Owner != former
	}
	require.Eventually(t, isServed, settleTime, time.Millisecond)
	var formerGrantsUntil, now model.Instant
	read := make(chan bool)
	f.gateway.controller.post(func(at model.Instant) {
		now, formerGrantsUntil = at, f.gateway.controller.manager.FormerGrantsUntil()
		read <- true
	})
	<-read
	require.Less(t, now, formerGrantsUntil, "the former leader may still renew its grants")
}
