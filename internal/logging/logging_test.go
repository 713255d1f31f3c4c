package logging

import (
	"bytes"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/stretchr/testify/require"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

// A fault that repeats thousands of times a second must not flood the log, and the number of its suppressed lines must
// be reported.
func TestRepeatedLinesAreLimitedAndCounted(t *testing.T) {
	now := time.Unix(1000, 0)
	var out bytes.Buffer
	log, err := New(Settings{Level: "info", Output: &out, Now: func() time.Time { return now }})
	require.NoError(t, err)
	peer := log.Part(Peer)
	for range 100 {
		peer.Warn("connection refused")
	}
	require.Equal(t, freeRepeats, strings.Count(out.String(), "peer: connection refused"))
	log.Part(Lease).Warn("connection refused")
	require.Contains(t, out.String(), "lease: connection refused", "another part has its own limit")
	out.Reset()
	now = now.Add(repeatInterval)
	peer.Warn("connection refused")
	peer.Warn("connection refused")
	require.Equal(t, 1, strings.Count(out.String(), "\n"))
	require.Contains(t, out.String(), "suppressed=95")
}

// An error message can quote data of a caller, so only the type of the error may reach the log.
func TestErrorTypeLeavesOutTheMessage(t *testing.T) {
	var out bytes.Buffer
	log, err := New(Settings{Level: "info", Output: &out})
	require.NoError(t, err)
	_, parseErr := model.ParseRequestID("secret")
	log.Part(Front).Info("refused", ErrorType(parseErr), ErrorType(errors.New("secret")))
	require.NotContains(t, out.String(), "secret")
}

// A mistyped level must be reported at startup instead of disabling the log.
func TestUnknownLevel(t *testing.T) {
	_, err := New(Settings{Level: "lots"})
	require.True(t, errorx.IsOfType(err, ErrLevel))
}

// Guards against logs without the requests that failed and the change of the leader: while hundreds of targets changed, their lines
// used up the budget of all others.
func TestLinesAboutTargetsDisplaceNoOthers(t *testing.T) {
	now := time.Unix(1000, 0)
	var out bytes.Buffer
	log, err := New(Settings{Level: "info", Output: &out, Now: func() time.Time { return now }})
	require.NoError(t, err)
	for range 2 * requestBurst {
		log.Part(Registry).Event("target state changed")
	}
	log.Part(Keyspace).Event("this VM became the leader")
	for range 2 * requestBurst {
		log.Part(Keyspace).Event("release ended")
	}
	log.Part(Request).Request("not served")
	require.Equal(t, int(requestBurst), strings.Count(out.String(), "target state changed"), "bursts are limited")
	require.Contains(t, out.String(), "this VM became the leader")
	require.Contains(t, out.String(), "not served")
}
