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

// Guards against an outage at startup that is not reported, and against a report for every call.
func TestAvailabilityReportsChanges(t *testing.T) {
	var changes []bool
	service := availability{onChange: func(isUp bool) { changes = append(changes, isUp) }}
	down := errors.New("down")
	for _, err := range []error{down, down, nil, nil, down} {
		service.record(err)
	}
	assert.Equal(t, []bool{false, true, false}, changes)
}

// Guards against risky settings and misspelled variables that are accepted without a warning, and against values of
// settings in the log.
func TestSettingsWarningsAreLogged(t *testing.T) {
	var output bytes.Buffer
	log, err := logging.New(logging.Settings{Level: "info", Output: &output})
	require.NoError(t, err)
	configured := settings.Entry{PeerKeys: settings.Keys{settings.NewSecret("aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa")}}
	logSettingsWarnings(log.Part(logging.Entry), configured, []string{"TARRAGONPOINT_PEER_KYES=secret-value"})
	assert.Contains(t, output.String(), "setting=peer-keys")
	assert.Contains(t, output.String(), "setting=TARRAGONPOINT_PEER_KYES")
	assert.NotContains(t, output.String(), "secret-value")
	assert.NotContains(t, output.String(), "aaaa")
}
