package testbed

import (
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tarragonpoint/tarragonpoint/internal/standin"
)

// Guards against a comparison that misses a mismatch, or reports one where there is none.
func TestCompareFindsMismatches(t *testing.T) {
	at := func(millis int64) time.Time { return time.UnixMilli(millis) }
	exchange := func(outcome string, sent, responded int64) Exchange {
		return Exchange{Request: Request{ID: "id"}, Outcome: outcome, Target: "t1", SentAt: at(sent), RespondedAt: at(responded)}
	}
	run := func(start int64, outcome standin.Outcome) Run {
		return Run{Run: standin.Run{RequestID: "id", Outcome: outcome}, Target: "t1", StartedAt: at(start)}
	}
	damaged := exchange("ran", 0, 10)
	damaged.ResponseErr = errors.New("damaged")
	otherTarget := run(5, standin.RunDone)
	otherTarget.Target = "t2"
	for name, c := range map[string]struct {
		exchanges  []Exchange
		runs       []Run
		mismatches int
	}{
		"ran":                    {[]Exchange{exchange("ran", 0, 10)}, []Run{run(5, standin.RunDone)}, 0},
		"ran twice":              {[]Exchange{exchange("ran", 0, 10)}, []Run{run(5, standin.RunDone), run(6, standin.RunDone)}, 1},
		"no run":                 {[]Exchange{exchange("ran", 0, 10)}, nil, 1},
		"run by another target":  {[]Exchange{exchange("ran", 0, 10)}, []Run{otherTarget}, 1},
		"crashed run":            {[]Exchange{exchange("ran", 0, 10)}, []Run{run(5, standin.RunCrashed)}, 1},
		"damaged response":       {[]Exchange{damaged}, []Run{run(5, standin.RunDone)}, 1},
		"not run and none":       {[]Exchange{exchange("not-run", 0, 10)}, nil, 0},
		"not run but ran":        {[]Exchange{exchange("not-run", 0, 10)}, []Run{run(5, standin.RunDone)}, 1},
		"not run, then late run": {[]Exchange{exchange("not-run", 0, 10)}, []Run{run(15, standin.RunDone)}, 1},
		"not run, then sent again": {
			[]Exchange{exchange("not-run", 0, 10), exchange("ran", 12, 20)}, []Run{run(15, standin.RunDone)}, 0},
		"unknown":    {[]Exchange{exchange("unknown", 0, 10)}, []Run{run(5, standin.RunOpen)}, 0},
		"no outcome": {[]Exchange{exchange("", 0, 10)}, nil, 1},
	} {
		require.Len(t, Compare(c.exchanges, c.runs), c.mismatches, name)
	}
}
