package gateway

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/tarragonpoint/tarragonpoint/internal/keyspace"
	"github.com/tarragonpoint/tarragonpoint/platform"
)

// Guards against two holders of a key: a write whose success response cannot be decoded was executed, so it must not count as
// not executed.
func TestWriteWithUndecodedResponseMayHaveBeenExecuted(t *testing.T) {
	for _, test := range []struct {
		err     error
		failure keyspace.AppendFailure
	}{
		{platform.ErrRecord.New("response cannot be decoded"), keyspace.AppendUnanswered},
		{platform.ErrOutcomeUnknown.New("no response"), keyspace.AppendUnanswered},
		{platform.ErrConflict.New("status 412"), keyspace.AppendConflict},
		{platform.ErrUnavailable.New("status 503"), keyspace.AppendNotExecuted},
		{platform.ErrRejected.New("status 507"), keyspace.AppendNotExecuted},
		{platform.ErrFenced.New("status 409"), keyspace.AppendNotExecuted},
		{keyspace.ErrTable.New("table cannot be encoded"), keyspace.AppendNotExecuted},
	} {
		assert.Equal(t, test.failure, appendFailure(test.err), "%v", test.err)
	}
}
