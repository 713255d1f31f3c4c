package cli

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tarragonpoint/tarragonpoint/internal/kernel"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/platform"
	"github.com/tarragonpoint/tarragonpoint/internal/record"
	"github.com/tarragonpoint/tarragonpoint/internal/settings"
)

// fakeLog is an in-memory log. onAppend may inject faults.
type fakeLog struct {
	oldest  model.Offset
	records []platform.StoredRecord
	// onAppend returns whether the record is stored and whether the append succeeds for the caller.
	onAppend func(attempt int) (isStored, isAcknowledged bool)
	appends  int
	isDown   bool
}

func (f *fakeLog) Append(_ context.Context, _ record.Stream, data []byte) (model.Offset, error) {
	f.appends++
	isStored, isAcknowledged := true, true
	if f.onAppend != nil {
		isStored, isAcknowledged = f.onAppend(f.appends)
	}
	if isStored {
		f.store(data)
	}
	if !isAcknowledged {
		return 0, platform.ErrUnavailable.New("no response")
	}
	return model.Offset(len(f.records)), nil
}

func (f *fakeLog) store(data []byte) {
	f.records = append(f.records, platform.StoredRecord{Offset: model.Offset(len(f.records) + 1), Data: data})
}

func (f *fakeLog) Read(_ context.Context, _ record.Stream, from model.Offset, limit int, _ time.Duration) (platform.ReadReply, error) {
	reply := platform.ReadReply{Oldest: max(1, f.oldest), End: model.Offset(len(f.records) + 1)}
	if f.isDown {
		return platform.ReadReply{}, platform.ErrUnavailable.New("down")
	}
	if from < reply.Oldest {
		return reply, platform.ErrExpired.New("expired")
	}
	reply.Records = f.records[from-1:]
	reply.Records = reply.Records[:min(limit, len(reply.Records))]
	return reply, nil
}

// run is the result of one run of the program.
type run struct {
	exit   int
	stdout string
	stderr string
}

type harness struct {
	log     *fakeLog
	entry   settings.Entry
	onPause func()
	// entryErr is the error that the entry role returns.
	entryErr error
}

func (h *harness) run(ctx context.Context, t *testing.T, line string) run {
	t.Helper()
	var stdout, stderr strings.Builder
	program := Program{
		Stdout: &stdout, Stderr: &stderr, Version: "1.2.3", HTTP: http.DefaultClient,
		RunEntry: func(_ context.Context, entry settings.Entry) error {
			h.entry = entry
			return h.entryErr
		},
		NewLog: func(_ context.Context, id kernel.ID, _ string) (platform.Log, error) {
			require.Equal(t, kernel.ID(defaultLogPlugin), id)
			return h.log, nil
		},
		Pause: func(context.Context, time.Duration) { h.onPause() },
	}
	t.Setenv("TARRAGONPOINT_PLATFORM_LOG_URL", "http://127.0.0.1:1")
	t.Setenv("TARRAGONPOINT_AUTHOR", "ana")
	exit := program.Run(ctx, strings.Fields(line))
	return run{exit: exit, stdout: stdout.String(), stderr: stderr.String()}
}

func newHarness() *harness { return &harness{log: &fakeLog{}, onPause: func() {}} }
