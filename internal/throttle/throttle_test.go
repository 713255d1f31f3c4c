package throttle

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/tarragonpoint/tarragonpoint/internal/fleet"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

var owner = fleet.Incarnation{ID: "owner", StartedAtMillis: 1}

// hotOwner replays requests of many VMs for one key for 20 s. The owner runs up to capacity requests per second, in steps
// of 50 ms, and rejects the others. It returns how many arrive at the owner and how many it runs, per second.
func hotOwner(vms int, perSecond, capacity float64, allow func(vm *Throttle, now model.Instant, random float64) bool) (arrived, ran float64) {
	const (
		step    = 50 * time.Millisecond
		seconds = 20
	)
	random := rand.New(rand.NewPCG(1, 2))
	throttles := make([]*Throttle, vms)
	for i := range throttles {
		throttles[i] = New()
	}
	room := 0.0
	for now := model.Instant(time.Hour); now < model.Instant(time.Hour+seconds*time.Second); now = now.Add(step) {
		room = min(room+capacity*step.Seconds(), 8)
		for _, i := range random.Perm(vms) {
			if random.Float64() >= perSecond/float64(vms)*step.Seconds() || !allow(throttles[i], now, random.Float64()) {
				continue
			}
			arrived++
			if room >= 1 {
				room--
				ran++
				throttles[i].Accepted(now, owner)
			}
		}
	}
	return arrived / seconds, ran / seconds
}

// A hot owner gets a fraction of the requests that it would reject, and runs as many as before.
func TestHotOwnerStaysBusyWithFewRejections(t *testing.T) {
	const (
		vms       = 80
		perSecond = 120.0
		capacity  = 8.0
	)
	all := func(*Throttle, model.Instant, float64) bool { return true }
	throttled := func(vm *Throttle, now model.Instant, random float64) bool { return vm.Allow(now, owner, false, random) }
	arrivedBefore, ranBefore := hotOwner(vms, perSecond, capacity, all)
	arrived, ran := hotOwner(vms, perSecond, capacity, throttled)
	assert.Less(t, arrived, arrivedBefore/2)
	assert.Greater(t, ran, ranBefore*0.97)
}

// A target with room gets all requests, and one that rejects some of them still does.
func TestTargetWithRoomIsNotThrottled(t *testing.T) {
	throttle := New()
	now := model.Instant(time.Hour)
	for i := range 200 {
		assert.True(t, throttle.Allow(now, owner, false, 0))
		if i%2 == 0 {
			throttle.Accepted(now, owner)
		}
		now = now.Add(100 * time.Millisecond)
	}
}

// More urgent requests are sent while less urgent ones for the same target are held back.
func TestUrgentRequestsAreThrottledLess(t *testing.T) {
	throttle := New()
	now := model.Instant(time.Hour)
	for i := range 40 {
		throttle.Allow(now, owner, false, 1)
		if i%4 == 0 {
			throttle.Accepted(now, owner)
		}
	}
	assert.False(t, throttle.Allow(now, owner, false, 0.2))
	assert.True(t, throttle.Allow(now, owner, true, 0.2))
}

// A target is used again soon after the load has ended, and the memory for it is released.
func TestThrottleForgets(t *testing.T) {
	throttle := New()
	now := model.Instant(time.Hour)
	for range 100 {
		throttle.Allow(now, owner, false, 1)
	}
	assert.False(t, throttle.Allow(now, owner, false, 0.5))
	now = now.Add(6 * timeConstant)
	assert.True(t, throttle.Allow(now, owner, false, 0.5))
	throttle.Forget(now.Add(time.Hour), time.Minute)
	assert.Empty(t, throttle.targets)
}
