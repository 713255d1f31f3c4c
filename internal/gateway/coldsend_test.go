package gateway

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tarragonpoint/tarragonpoint/internal/fleet"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

// Guards against requests that were placed one by one at a cold target, waited for their connections and leave together.
func TestRequestsAtColdTargetDoNotLeaveTogether(t *testing.T) {
	t.Parallel()
	const placed, share = 5, 3
	f, gate := startGatedVM(t)
	f.registerRestarted()
	stop := time.Now().Add(settleTime)
	for i := 0; gate.waits() < placed && time.Now().Before(stop); i++ {
		go f.send(http.MethodPost, "/notices/1", fmt.Sprint("n-", i), "", "X-Tarragonpoint-Deadline-Ms", "6000")
		time.Sleep(50 * time.Millisecond)
	}
	require.Equal(t, placed, gate.waits(), "the target gets requests although it is cold")
	gate.open()
	time.Sleep(900 * time.Millisecond)
	assert.LessOrEqual(t, f.targets["d-1"].Arrivals(), share, "a VM's share of 12.5 requests a second")
	assert.Positive(t, f.targets["d-1"].Arrivals())
}

// Guards against more requests in some second than a VM's share, however long each of them waits between its placement and its
// first byte.
func TestSendsToColdTargetAreLimitedInEverySecond(t *testing.T) {
	target := fleet.Incarnation{ID: "cold"}
	for _, perSecond := range []int{0, 1, 4, 12} {
		random := rand.New(rand.NewPCG(uint64(perSecond), 1))
		l := newColdLimiter(oneUnit)
		var sent []model.Instant
		for now := model.Instant(time.Hour); now < model.Instant(time.Hour+20*time.Second); {
			now = now.Add(time.Duration(random.Int64N(int64(100 * time.Millisecond))))
			for range random.IntN(3) {
				if may := l.maySend(now, target, perSecond); l.send(now, target, perSecond) {
					require.True(t, may)
					sent = append(sent, now)
				}
			}
		}
		for i := perSecond; i < len(sent); i++ {
			require.Greater(t, sent[i].Sub(sent[i-perSecond]), coldSendPeriod, "%d per second", perSecond)
		}
		assert.GreaterOrEqual(t, len(sent), perSecond*15, "%d per second", perSecond)
	}
}

// Guards against a check of sends that slows the warm-up of a target: requests at their usual distance pass, although some of
// them wait longer for their connection than others.
func TestRequestsAtTheirUsualDistanceAreSent(t *testing.T) {
	target := fleet.Incarnation{ID: "cold"}
	const perSecond = 4
	distance := time.Duration(float64(time.Second) * coldSpacingFactor / perSecond)
	random := rand.New(rand.NewPCG(1, 1))
	l := newColdLimiter(oneUnit)
	for i := range 1000 {
		placed := model.Instant(time.Hour + time.Duration(i)*distance)
		wait := time.Duration(random.Int64N(int64(coldSendMargin)))
		require.True(t, l.send(placed.Add(wait), target, perSecond))
	}
}

// Guards against a limit that one target uses up for another, and against memory for targets that are not cold any more.
func TestSendTimesAreKeptForEachIncarnation(t *testing.T) {
	l := newColdLimiter(oneUnit)
	now := model.Instant(time.Hour)
	first, second := fleet.Incarnation{ID: "x", StartedAtMillis: 1}, fleet.Incarnation{ID: "x", StartedAtMillis: 2}
	assert.True(t, l.send(now, first, 1))
	assert.False(t, l.send(now, first, 1))
	assert.True(t, l.send(now, second, 1))
	assert.True(t, l.send(now.Add(2*time.Second), second, 1))
	assert.Len(t, l.sends.recent, 1)
}
