package lease

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/target"
)

// Guards against a lessor that acts again after another one did, but holds the lease only one regular interval later or
// does not report it. Its last clock reading is too old, so its first renewal only reads the clock and the next one
// must follow at once.
func TestLessorActingAgainHoldsTheLeaseAtOnce(t *testing.T) {
	const incarnation, version = 7, 1
	k := NewKeeper("a")
	now := model.Instant(time.Second)
	held := model.Term{}
	renew := func(term model.Term) bool {
		directive := Directive{Active: true, Term: term, Registered: incarnation, Version: version}
		call, due := k.Next(now, directive)
		require.True(t, due)
		response := target.RenewResponse{Accepted: true, Term: term, PreviousTerm: held, Incarnation: incarnation, Clock: now, GrantsVersion: version}
		held = term
		now = now.Add(time.Millisecond)
		return k.HandleResponse(now, call.Sequence, response)
	}
	first, second := model.Term{Epoch: 1}, model.Term{Epoch: 3}
	renew(first)
	renew(first)
	_, holding := k.Holding(now)
	require.True(t, holding)
	now = now.Add(time.Minute)
	held = model.Term{Epoch: 2}
	renew(second)
	changed := renew(second)
	_, holding = k.Holding(now)
	require.True(t, holding)
	require.True(t, changed)
}

// Guards against a lessor that, after the response to its first renewal under a new term is lost, no longer counts as
// the previous sender and therefore starts a new horizon for its at-most-once table.
func TestLostResponseKeepsContinuity(t *testing.T) {
	const incarnation, version = 7, 1
	k := NewKeeper("a")
	now := model.Instant(time.Second)
	first, second := model.Term{Epoch: 1}, model.Term{Epoch: 2}
	slot := model.Slot{Service: "s"}
	renew := func(term, previous model.Term, responded bool) {
		directive := Directive{
			Active: true, Term: term, Registered: incarnation, Version: version, Grants: []target.Grant{{Slot: slot, Fence: 3}},
		}
		now = max(now, k.nextAt)
		call, due := k.Next(now, directive)
		require.True(t, due)
		now = now.Add(time.Millisecond)
		if !responded {
			k.HandleFailure(now, call.Sequence)
			return
		}
		k.HandleResponse(now, call.Sequence, target.RenewResponse{
			Accepted: true, Term: term, PreviousTerm: previous, Incarnation: incarnation, Clock: now, GrantsVersion: version,
		})
	}
	for range 3 {
		renew(first, model.Term{}, true)
	}
	before, held := k.Holding(now)
	require.True(t, held)
	renew(second, first, false)
	renew(second, first, true)
	after, held := k.Holding(now)
	require.True(t, held)
	require.Equal(t, before.Slots[slot].Since, after.Slots[slot].Since)
}
