package cli

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tarragonpoint/tarragonpoint/internal/config"
	"github.com/tarragonpoint/tarragonpoint/internal/record"
	"github.com/tarragonpoint/tarragonpoint/internal/result"
)

const (
	granite  = " --inventory=../../examples/granite.inventory.yaml --rules=../../examples/granite.rules.yaml"
	skyframe = " --inventory=../../examples/skyframe.inventory.yaml --rules=../../examples/skyframe.rules.yaml"
)

// TestPublishWorkflow guards against a workflow that reverts or overwrites another operator's change.
func TestPublishWorkflow(t *testing.T) {
	h, ctx := newHarness(), t.Context()
	assert.Contains(t, h.run(ctx, t, "config diff"+granite).stdout, "base: 0 ")
	first := h.run(ctx, t, "config publish --base 0"+granite)
	require.Equal(t, result.ExitOK, first.exit, first.stderr)
	assert.Equal(t, "accepted: version 1\n", first.stdout)
	assert.Equal(t, "accepted: version 2\n", h.run(ctx, t, "zone out worcester-a").stdout)
	assert.Equal(t, "unchanged: version 2\n", h.run(ctx, t, "zone out worcester-a").stdout)
	stale := h.run(ctx, t, "config publish --base 1"+granite)
	assert.Equal(t, result.ExitConflict, stale.exit)
	assert.Contains(t, stale.stderr, `tarragonpoint: 403 config-conflict: the change is based on version 1, but version 2 by "ana" is in force; what to do: `)
	diff := h.run(ctx, t, "config diff"+granite)
	assert.Equal(t, "base: 2 (by \"ana\")\nchanged zone \"worcester-a\"\n  out_of_service: true -> false\n", diff.stdout)
	assert.Equal(t, "accepted: version 3\n", h.run(ctx, t, "target drain alert-desk-01 --author ben").stdout)
	assert.Contains(t, h.run(ctx, t, "config show").stdout, "# version: 3\n# author: \"ben\"\n")
	assert.Len(t, h.log.records, 3)
}

// TestLostAnswers guards against a command that reports a wrong outcome or applies a change twice.
func TestLostAnswers(t *testing.T) {
	cases := map[string]func(int) (bool, bool){
		"stored, answer lost":      func(int) (bool, bool) { return true, false },
		"lost, then stored":        func(attempt int) (bool, bool) { return attempt == 3, attempt == 3 },
		"lost, then answer lost":   func(attempt int) (bool, bool) { return attempt == 2, false },
		"stored under every retry": func(int) (bool, bool) { return true, true },
	}
	for name, onAppend := range cases {
		t.Run(name, func(t *testing.T) {
			h := newHarness()
			h.log.onAppend = onAppend
			got := h.run(t.Context(), t, "config publish --base 0"+granite)
			assert.Equal(t, run{stdout: "accepted: version 1\n"}, got)
			assert.Len(t, h.log.records, 1)
		})
	}
}

// TestDelayedCopy guards against an outcome taken from the second copy of a record whose first copy arrived late.
func TestDelayedCopy(t *testing.T) {
	h := newHarness()
	h.log.onAppend = func(attempt int) (bool, bool) {
		h.log.isDown = attempt == 1
		return true, false
	}
	h.onPause = func() { h.log.isDown = false }
	got := h.run(t.Context(), t, "config publish --base 0"+granite)
	assert.Equal(t, run{stdout: "accepted: version 1\n"}, got)
	assert.Len(t, h.log.records, 2)
	assert.Contains(t, h.run(t.Context(), t, "config show").stdout, "# version: 1\n")
}

// TestUnknownOutcome guards against "conflict" or "accepted" when the log never showed the record.
func TestUnknownOutcome(t *testing.T) {
	h := newHarness()
	h.log.onAppend = func(int) (bool, bool) {
		h.log.isDown = true
		return false, false
	}
	ctx, cancel := context.WithCancel(t.Context())
	pauses := 0
	h.onPause = func() {
		if pauses++; pauses == 3 {
			cancel()
		}
	}
	got := h.run(ctx, t, "config publish --base 0"+granite)
	assert.Equal(t, result.ExitUnavailable, got.exit)
	assert.Contains(t, got.stderr, "tarragonpoint: 501 log-unavailable: the outcome of the change on top of version 0 is unknown")
	assert.Empty(t, got.stdout)
}

// TestRace guards against a lost update: another operator's record reaches the log between the read and the append.
func TestRace(t *testing.T) {
	h, ctx := newHarness(), t.Context()
	require.Equal(t, result.ExitOK, h.run(ctx, t, "config publish --base 0"+granite).exit)
	rival, err := record.Encode(record.Record{ID: record.NewID(), ConfigPatch: rivalPatch(t, h)})
	require.NoError(t, err)
	h.log.onAppend = func(attempt int) (bool, bool) {
		if attempt == 2 {
			h.log.store(rival)
		}
		return true, true
	}
	assert.Equal(t, "accepted: version 4\n", h.run(ctx, t, "zone out worcester-a").stdout)
	shown := h.run(ctx, t, "config show").stdout
	assert.Equal(t, 2, strings.Count(shown, "out_of_service: true"), "both changes are in force")
}

func rivalPatch(t *testing.T, h *harness) *record.ConfigPatch {
	t.Helper()
	f := newFollower(h.log, defaultTimeout)
	require.NoError(t, f.catchUp(t.Context()))
	to, err := setZone(true)(f.fold.State(), "worcester-b")
	require.NoError(t, err)
	patch, err := config.Diff(f.fold.State(), to, "rival")
	require.NoError(t, err)
	return &patch
}

// TestExpiredRecords guards against a command that takes a shortened stream for an empty configuration.
func TestExpiredRecords(t *testing.T) {
	h, ctx := newHarness(), t.Context()
	require.Equal(t, result.ExitOK, h.run(ctx, t, "config publish --base 0"+skyframe).exit)
	f := newFollower(h.log, defaultTimeout)
	require.NoError(t, f.catchUp(ctx))
	snapshot, err := f.fold.EncodeSnapshot()
	require.NoError(t, err)
	require.Equal(t, "accepted: version 2\n", h.run(ctx, t, "zone out coast-b").stdout)
	h.log.oldest = 2
	assert.Equal(t, result.ExitUnavailable, h.run(ctx, t, "zone in coast-b").exit)
	data, err := record.Encode(record.Record{ID: record.NewID(), Snapshot: &snapshot})
	require.NoError(t, err)
	h.log.store(data)
	assert.Equal(t, "accepted: version 4\n", h.run(ctx, t, "zone in coast-b").stdout)
}

// TestUsage guards against wrong command lines that are taken for something else.
func TestUsage(t *testing.T) {
	h := newHarness()
	for line, want := range map[string]int{
		"":                               result.ExitUsage,
		"config":                         result.ExitUsage,
		"zone off a":                     result.ExitUsage,
		"zone out":                       result.ExitUsage,
		"zone out nowhere":               result.ExitUsage,
		"config publish" + granite:       result.ExitUsage,
		"config diff --no-such-flag":     result.ExitUsage,
		"config validate --inventory=no": result.ExitUsage,
		"entry --zone=a":                 result.ExitUsage,
		"entry --help":                   result.ExitOK,
		"version":                        result.ExitOK,
		"config validate --rules=../../go.mod --inventory=../../go.mod": result.ExitInvalid,
	} {
		assert.Equal(t, want, h.run(t.Context(), t, line).exit, line)
	}
	assert.Zero(t, h.log.appends)
	help := h.run(t.Context(), t, "entry --help").stderr
	assert.Contains(t, help, "16384")
	assert.Contains(t, help, "Unit: bytes. Variable: TARRAGONPOINT_MAX_HEADER_BYTES.")
}

// TestAdminQuestions guards against wrong questions and against answers that are taken for success.
func TestAdminQuestions(t *testing.T) {
	var asked string
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked = r.URL.String()
		if r.URL.Query().Get("service") == "none" {
			w.WriteHeader(http.StatusNotFound)
		}
		fmt.Fprint(w, `{"target":"draft-review-01"}`)
	}))
	address := strings.TrimPrefix(server.URL, "http://")
	h, ctx := newHarness(), t.Context()
	got := h.run(ctx, t, "owner draft-review grant-7&x --tenant acme --admin "+address)
	assert.Equal(t, "/admin/owner?key=grant-7%26x&service=draft-review&tenant=acme", asked)
	assert.Contains(t, got.stdout, `"target": "draft-review-01"`)
	assert.Equal(t, result.ExitUsage, h.run(ctx, t, "owner none k --admin "+address).exit)
	assert.Equal(t, result.ExitOK, h.run(ctx, t, "status --admin "+address).exit)
	server.Close()
	down := h.run(ctx, t, "owner draft-review secret-key --admin "+address)
	assert.Equal(t, result.ExitUnavailable, down.exit)
	assert.NotContains(t, down.stderr, "secret-key")
}
