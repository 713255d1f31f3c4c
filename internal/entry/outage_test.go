package entry

import (
	"bytes"
	"errors"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tarragonpoint/tarragonpoint/internal/logging"
	"github.com/tarragonpoint/tarragonpoint/internal/settings"
)

// TestOutageReportsChanges guards against an outage at the start that nobody sees, and against a line for every call.
func TestOutageReportsChanges(t *testing.T) {
	var changes []bool
	o := outage{changed: func(isUp bool) { changes = append(changes, isUp) }}
	down := errors.New("down")
	for _, err := range []error{down, down, nil, nil, down} {
		o.note(err)
	}
	assert.Equal(t, []bool{false, true, false}, changes)
}

// TestSettingsAreWarnedOf guards against weak settings and mistyped variables that are accepted silently, and against values
// of settings in the log.
func TestSettingsAreWarnedOf(t *testing.T) {
	var output bytes.Buffer
	log, err := logging.New(logging.Settings{Level: "info", Output: &output})
	require.NoError(t, err)
	configured := settings.Entry{PeerKeys: settings.Keys{settings.NewSecret("aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa")}}
	warnOfSettings(log.Part(logging.Entry), configured, []string{"TARRAGONPOINT_PEER_KYES=secret-value"})
	assert.Contains(t, output.String(), "setting=peer-keys")
	assert.Contains(t, output.String(), "setting=TARRAGONPOINT_PEER_KYES")
	assert.NotContains(t, output.String(), "secret-value")
	assert.NotContains(t, output.String(), "aaaa")
}
