package keyspace

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tarragonpoint/tarragonpoint/internal/fleet"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

// Guards against keys that stay with a terminated target: a 421 that proves nothing ends a grant without a response, so the
// next grant, which can get the proof over a new connection, must not wait.
func TestReplacementIsProvenByTheNextGrant(t *testing.T) {
	sim := newSimulation(1, 1, 2)
	sim.run(2 * time.Second)
	m := sim.vms[0].manager
	now := sim.now.Add(sim.settings.RenewEvery)
	first := grantOf(t, m.Step(now), nil)
	require.NotZero(t, first.ConnectionID, "a renewal")
	m.GrantEnded(now, first, Unresponsive, 0)
	assert.False(t, m.holdEnded(now, first.Target.Incarnation), "the grant may have taken effect")
	next := grantOf(t, m.Step(now), &first)
	assert.Zero(t, next.ConnectionID)
	m.GrantEnded(now, next, Replaced, 0)
	assert.True(t, m.holdEnded(now, first.Target.Incarnation))
}

// grantOf returns the first grant among commands, or the first one of the same range as former.
func grantOf(t *testing.T, commands []Command, former *Command) Command {
	for _, command := range commands {
		if command.Kind == GrantKeys && (former == nil || command.From == former.From && command.To == former.To) {
			return command
		}
	}
	require.Fail(t, "no grant is due")
	return Command{}
}

// Guards against two holders of a key: a rejection of a grant with any status may be a copy of an earlier response or come from
// another process, so the target may hold the keys until the grant expires.
func TestGrantMayHaveTakenEffectUnlessNothingWasSent(t *testing.T) {
	ended := map[Outcome]bool{NotSent: true, Disconnected: true, ConnectionRefused: true, Replaced: true}
	for _, outcome := range []Outcome{Done, Fenced, Rejected, NotSent, Unresponsive, Replaced, Disconnected, ConnectionRefused} {
		sim := newSimulation(1, 1, 2)
		sim.run(time.Second)
		m := sim.vms[0].manager
		owner := m.table.Ranges[0].Owner
		m.holdUntil = map[fleet.Incarnation]model.Instant{}
		m.grantsInFlight = map[fleet.Incarnation]int{owner.Incarnation: 1}
		m.GrantEnded(sim.now, Command{Kind: GrantKeys, Target: owner}, outcome, 0)
		assert.Equal(t, ended[outcome], m.holdEnded(sim.now, owner.Incarnation), "%s", outcome)
		end := sim.now.Add(sim.settings.holdBound())
		if outcome == Unresponsive {
			assert.False(t, m.holdEnded(end, owner.Incarnation), "the grant may still be on its way")
			end = end.Add(sim.settings.MaxDelivery)
		}
		assert.True(t, m.holdEnded(end, owner.Incarnation), "%s", outcome)
	}
}

// Guards against two holders of a key: only the response of the addressed target to a release, or the proof that the target has
// terminated, ends its ownership of the keys.
func TestReleaseEndsOwnershipOnlyIfProven(t *testing.T) {
	ends := map[Outcome]bool{Done: true, Replaced: true}
	for _, outcome := range []Outcome{Done, Fenced, Rejected, NotSent, Unresponsive, Replaced, Disconnected, ConnectionRefused} {
		sim := newSimulation(1, 1, 2)
		sim.run(time.Second)
		m := sim.vms[0].manager
		r := &m.table.Ranges[0]
		previous := m.table.Ranges[1].Owner
		require.NotEqual(t, r.Owner, previous)
		r.Previous = []Holder{previous}
		m.extendHold(previous.Incarnation, sim.now.Add(sim.settings.holdBound()))
		command := Command{
			Kind: ReleaseKeys, Service: r.Service, Target: previous, From: r.From, To: r.To, Fence: r.Fence, recordFence: r.Fence,
		}
		m.ReleaseEnded(sim.now, command, outcome, "")
		assert.Equal(t, ends[outcome], m.previousReleased(sim.now, r, m.stateOf(r)), "%s", outcome)
	}
}
