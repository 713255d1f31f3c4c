package gateway

import (
	"flag"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tarragonpoint/tarragonpoint/internal/fleet"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/shares"
)

const settingsFile = `vm-id front-1
zone a
region north
zones a=north,b=south
listen-callers 10.0.0.1:80
listen-ready 10.0.0.1:81
listen-peers 10.0.0.1:82
store-address 10.0.0.9:90
retry-window 10s
memory-mb 160
a-setting-of-a-later-version 7
`

func parse(t *testing.T, file string) (Settings, error) {
	path := filepath.Join(t.TempDir(), "settings")
	require.NoError(t, os.WriteFile(path, []byte(file), 0o600))
	var settings Settings
	flags := flag.NewFlagSet("gateway", flag.ContinueOnError)
	settings.Bind(flags)
	if err := ff.Parse(flags, []string{"-config", path}, Options("TEST")...); err != nil {
		return settings, err
	}
	return settings, settings.Check()
}

// Guards against lines of the settings file that are not applied, and against unknown settings that prevent the start.
func TestSettingsFileIsRead(t *testing.T) {
	settings, err := parse(t, settingsFile)
	require.NoError(t, err)
	assert.Equal(t, "front-1", settings.VM)
	assert.Equal(t, 10*time.Second, settings.RetryWindow)
	assert.EqualValues(t, 10_000_000, settings.bodyMemory())
	regions, err := settings.regions()
	require.NoError(t, err)
	assert.Equal(t, map[model.Zone]model.Region{"a": "north", "b": "south"}, regions)
}

// All invalid settings are reported in one error.
func TestAllInvalidSettingsAreReported(t *testing.T) {
	_, err := parse(t, "zone a\nretry-window 0s\nmemory-mb -1\n")
	require.Error(t, err)
	for _, name := range []string{"vm-id", "region", "zones", "listen-callers", "listen-ready", "listen-peers", "store-address", "retry-window", "memory-mb"} {
		assert.Contains(t, err.Error(), "-"+name)
	}
	_, err = parse(t, "retry-share much\n")
	assert.Error(t, err)
}

// The request counts of a route's services stay within one request of their weights.
func TestSplitterKeepsWeights(t *testing.T) {
	route := &fleet.Route{Name: "r", Backends: []fleet.Backend{{Service: "x", Weight: 90}, {Service: "y", Weight: 10}}}
	split := newSplitter()
	counts := map[model.Service]int{}
	for i := 1; i <= 200; i++ {
		counts[split.choose(route)]++
		assert.InDelta(t, float64(i)*0.9, counts["x"], 1)
	}
}

// Over all VMs, whatever their number, a cold target gets no more requests in any second than its limit.
func TestColdTargetRateLimit(t *testing.T) {
	for _, vms := range []int{1, 2, 5, 11, 83} {
		for _, maxRate := range []float64{1.2, 7.7, 13} {
			var sent []model.Instant
			limiters := make([]*coldLimiter, vms)
			for i := range limiters {
				limiters[i] = newColdLimiter(func(_ model.Instant, _, first int) int {
					held := 0
					for unit := i; unit < first; unit += vms {
						held++
					}
					return held
				})
			}
			for now := model.Instant(0); now < model.Instant(5*time.Second); now = now.Add(7 * time.Millisecond) {
				for _, limiter := range limiters {
					if limiter.allow(now, fleet.Incarnation{ID: "cold"}, maxRate, true) {
						sent = append(sent, now)
					}
				}
			}
			for i := range sent {
				inSecond := 0
				for j := i; j < len(sent) && sent[j].Sub(sent[i]) < time.Second; j++ {
					inSecond++
				}
				require.LessOrEqual(t, float64(inSecond), maxRate, "%d VMs, bound %v", vms, maxRate)
			}
			assert.NotEmpty(t, sent, "%d VMs, bound %v", vms, maxRate)
		}
	}
	withoutUnits := newColdLimiter(shares.NewHolder().InGroup)
	assert.False(t, withoutUnits.allow(0, fleet.Incarnation{ID: "cold"}, 13, true), "a VM without a lease sends nothing")
}

// A caller's retry is recognized by its shorter deadline.
func TestCallerRetriesAreRecognized(t *testing.T) {
	tracker := newDeadlineTracker()
	assert.Zero(t, tracker.elapsed("r", 2*time.Second))
	assert.Zero(t, tracker.elapsed("r", 2*time.Second))
	assert.Equal(t, 600*time.Millisecond, tracker.elapsed("r", 1400*time.Millisecond))
	assert.Zero(t, tracker.elapsed("other", time.Second))
	assert.Zero(t, tracker.elapsed("r", 0))
}
