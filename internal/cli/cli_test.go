package cli

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/joomcode/errorx"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tarragonpoint/tarragonpoint/internal/config"
	"github.com/tarragonpoint/tarragonpoint/internal/kernel"
	"github.com/tarragonpoint/tarragonpoint/internal/platform"
	"github.com/tarragonpoint/tarragonpoint/internal/record"
	"github.com/tarragonpoint/tarragonpoint/internal/result"
)

const (
	granite    = " --inventory=../../examples/granite.inventory.yaml --rules=../../examples/granite.rules.yaml"
	entryFlags = " --vm-id=e1 --zone=a --region=r --listen-peers=127.0.0.1:1 --platform-log-url=http://127.0.0.1:2 --platform-vmlist-url=http://127.0.0.1:3" +
		" --peer-keys=0123456789abcdef0123456789abcdef"
	skyframe = " --inventory=../../examples/skyframe.inventory.yaml --rules=../../examples/skyframe.rules.yaml"
)

// TestPublishWorkflow guards against commands that revert or overwrite another operator's change.
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
	assert.Contains(t, stale.stderr, `tarragonpoint: 403 config-conflict: the change is based on version 1, but the current version is 2, published by "ana"; what to do: `)
	diff := h.run(ctx, t, "config diff"+granite)
	assert.Equal(t, "base: 2 (by \"ana\")\nchanged zone \"worcester-a\"\n  out_of_service: true -> false\n", diff.stdout)
	assert.Equal(t, "accepted: version 3\n", h.run(ctx, t, "target drain alert-desk-01 --author ben").stdout)
	assert.Contains(t, h.run(ctx, t, "config show").stdout, "# version: 3\n# author: \"ben\"\n")
	assert.Len(t, h.log.records, 3)
}

// TestLostResponses guards against a command that reports a wrong outcome or applies a change twice when appends or
// their responses are lost.
func TestLostResponses(t *testing.T) {
	cases := map[string]func(int) (bool, bool){
		"stored, response lost":    func(int) (bool, bool) { return true, false },
		"lost, then stored":        func(attempt int) (bool, bool) { return attempt == 3, attempt == 3 },
		"lost, then response lost": func(attempt int) (bool, bool) { return attempt == 2, false },
		"stored on every attempt":  func(int) (bool, bool) { return true, true },
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

// TestDelayedCopy guards against taking the outcome from a duplicate. The first append succeeds, but the log fails
// before its outcome can be read, so the record is appended again.
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

// TestUnknownOutcome guards against reporting "conflict" or "accepted" when the record was never read from the log.
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

// TestConcurrentChange guards against a lost update: another operator's record reaches the log between the read and the
// append.
func TestConcurrentChange(t *testing.T) {
	h, ctx := newHarness(), t.Context()
	require.Equal(t, result.ExitOK, h.run(ctx, t, "config publish --base 0"+granite).exit)
	concurrent, err := record.Encode(record.Record{ID: record.NewID(), ConfigPatch: concurrentPatch(t, h)})
	require.NoError(t, err)
	h.log.onAppend = func(attempt int) (bool, bool) {
		if attempt == 2 {
			h.log.store(concurrent)
		}
		return true, true
	}
	assert.Equal(t, "accepted: version 4\n", h.run(ctx, t, "zone out worcester-a").stdout)
	shown := h.run(ctx, t, "config show").stdout
	assert.Equal(t, 2, strings.Count(shown, "out_of_service: true"), "both changes are applied")
}

func concurrentPatch(t *testing.T, h *harness) *record.ConfigPatch {
	t.Helper()
	f := newFollower(h.log, defaultTimeout)
	require.NoError(t, f.catchUp(t.Context()))
	to, err := setZoneOutOfService(true)(f.fold.State(), "worcester-b")
	require.NoError(t, err)
	patch, err := config.Diff(f.fold.State(), to, "rival")
	require.NoError(t, err)
	return &patch
}

// TestExpiredRecords guards against a command that treats a stream with expired records as an empty configuration.
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

// TestUsage guards against invalid command lines that are accepted or return the wrong exit code.
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

var adminResponses = map[string]string{
	"/admin/owner": `{"owner":"draft-review-01","zone":"seacoast-a","slot":"draft-review/any/3","epoch":12,
		"status":{"serving":true,"cold":true,"lessor":"entry-a1","term":"4.0"}}`,
	"/admin/status": `{"vm":"entry-a1","zone":"seacoast-a","region":"nh-seacoast","ready":true,"config_version":5,"assign_offset":13,
		"targets":[{"id":"d-1","service":"draft-review","zone":"seacoast-a","in_service":true,"slots":7}]}`,
}

// TestAdminRequests guards against malformed requests to admin endpoints and against error responses treated as
// success.
func TestAdminRequests(t *testing.T) {
	var requested string
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requested = r.URL.String()
		if r.URL.Query().Get("service") == "none" {
			w.WriteHeader(http.StatusNotFound)
			fmt.Fprint(w, `{"code":102,"name":"unknown-service","meaning":"The inventory has no such service."}`)
			return
		}
		fmt.Fprint(w, adminResponses[r.URL.Path])
	}))
	address := strings.TrimPrefix(server.URL, "http://")
	h, ctx := newHarness(), t.Context()
	got := h.run(ctx, t, "owner draft-review grant-7&x --tenant acme --admin "+address)
	assert.Equal(t, "/admin/owner?key=grant-7%26x&service=draft-review&tenant=acme", requested)
	assert.Contains(t, got.stdout, "owner:  draft-review-01 in zone seacoast-a (cold)\nslot:   draft-review/any/3, epoch 12\nlessor: entry-a1, term 4.0\n")
	assert.Contains(t, h.run(ctx, t, "owner draft-review k --json --admin "+address).stdout, `"owner": "draft-review-01"`)
	unknown := h.run(ctx, t, "owner none k --admin "+address)
	assert.Equal(t, result.ExitUsage, unknown.exit)
	assert.Contains(t, unknown.stderr, "102 unknown-service: The inventory has no such service.")
	status := h.run(ctx, t, "status --admin "+address)
	assert.Equal(t, result.ExitOK, status.exit)
	assert.Contains(t, status.stdout, "entry-a1 in zone seacoast-a, region nh-seacoast: ready, configuration version 5, assignment offset 13\n")
	assert.Contains(t, status.stdout, "\nd-1     draft-review  seacoast-a  no status yet  7      -     -      -\n")
	server.Close()
	down := h.run(ctx, t, "owner draft-review secret-key --admin "+address)
	assert.Equal(t, result.ExitUnavailable, down.exit)
	assert.NotContains(t, down.stderr, "secret-key")
}

// TestEntryFailures guards against failures of the entry role that are reported with the code internal, with Go types
// or with the help text.
func TestEntryFailures(t *testing.T) {
	h, ctx := newHarness(), t.Context()
	taken := kernel.ErrLifecycle.Wrap(platform.ErrUnavailable.New("cannot listen on 127.0.0.1:1"), "plug-in %q failed to start", "front.http")
	for _, cause := range []error{taken, kernel.ErrUnknownPlugin.New("no plug-in")} {
		h.entryErr = errorx.IllegalState.Wrap(cause, "the entry role cannot start")
		got := h.run(ctx, t, "entry"+entryFlags)
		assert.Equal(t, result.ExitUsage, got.exit)
		assert.Contains(t, got.stderr, "601 settings-invalid: the entry role cannot start: ")
		assert.NotContains(t, got.stderr, "kernel.")
	}
	malformed := h.run(ctx, t, "entry --read-timeout 3"+entryFlags)
	assert.Contains(t, malformed.stderr, "601 settings-invalid: -read-timeout (TARRAGONPOINT_READ_TIMEOUT): ")
	assert.NotContains(t, h.run(ctx, t, "entry --no-such 3").stderr, "USAGE", "the help text would hide the error")
}

// TestUnknownNames guards against errors about unknown names that do not list the existing names.
func TestUnknownNames(t *testing.T) {
	h, ctx := newHarness(), t.Context()
	require.Equal(t, result.ExitOK, h.run(ctx, t, "config publish --base 0"+granite).exit)
	assert.Contains(t, h.run(ctx, t, "zone out worcester").stderr, "it has seacoast-a, seacoast-b, worcester-a, worcester-b;")
	assert.Contains(t, h.run(ctx, t, "target drain x").stderr, " more;")
	assert.Contains(t, h.run(ctx, t, "config diff"+granite).stdout, "no changes\n")
}

// TestLastZoneOut guards against taking the last zone of a service out of service without a warning.
func TestLastZoneOut(t *testing.T) {
	h, ctx := newHarness(), t.Context()
	require.Equal(t, result.ExitOK, h.run(ctx, t, "config publish --base 0"+granite).exit)
	for _, zone := range []string{"seacoast-a", "seacoast-b", "worcester-a"} {
		assert.Empty(t, h.run(ctx, t, "zone out "+zone).stderr)
	}
	assert.Contains(t, h.run(ctx, t, "zone out worcester-b").stderr, `warning: service "draft-review" has no target in service`)
}
