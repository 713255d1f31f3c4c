package gateway

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/tarragonpoint/tarragonpoint/internal/keyspace"
	"github.com/tarragonpoint/tarragonpoint/internal/upstream"
	"github.com/tarragonpoint/tarragonpoint/platform"
)

// Guards against two holders of a key: a grant whose response cannot be attributed to it may have taken effect.
func TestCommandWithoutAttributableResponseMayHaveTakenEffect(t *testing.T) {
	for _, result := range []platform.CommandResult{platform.Applied, platform.Fenced, platform.Rejected, platform.Replaced} {
		assert.Equal(t, keyspace.Unresponsive, commandOutcome(result, upstream.ErrMalformed.New("response to another command")))
	}
}

// A refused connection shows that the target's host is reachable; a connection that cannot be opened shows nothing.
func TestRefusedConnectionIsToldApart(t *testing.T) {
	assert.Equal(t, keyspace.ConnectionRefused, failureOutcome(upstream.ErrRefused.New("connection refused")))
	assert.Equal(t, keyspace.NotSent, failureOutcome(upstream.ErrNotSent.New("dial timeout")))
	assert.Equal(t, keyspace.Disconnected, failureOutcome(upstream.ErrNotConnected.New("connection is closed")))
}
