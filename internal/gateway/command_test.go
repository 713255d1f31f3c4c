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
