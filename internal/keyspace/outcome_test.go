package keyspace

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
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
