package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

// A read that began before the store recovered and fails afterwards does not count as a new outage. Otherwise the end
// of the outage would be delayed and expired entries would be kept too long, which broke the DRAIN rule in scenario
// gls scale-2.
func TestFailedReadFromEarlierOutageIsIgnored(t *testing.T) {
	o := newStoreOutage()
	assert.True(t, o.endRead(model.Instant(0), model.Instant(time.Second), false))
	assert.False(t, o.endRead(model.Instant(time.Second), model.Instant(2*time.Second), true))
	assert.False(t, o.endRead(model.Instant(1500*time.Millisecond), model.Instant(3*time.Second), false))
	assert.True(t, o.endRead(model.Instant(2500*time.Millisecond), model.Instant(4*time.Second), false))
}

// Waiting reads and retries are restarted when the store recovers.
func TestWaitingReadsRestartAfterOutage(t *testing.T) {
	o := newStoreOutage()
	o.endRead(0, 1, false)
	ctx, done := o.beginRead(context.Background())
	defer done()
	paused := make(chan struct{})
	go func() {
		o.waitRetry(context.Background(), time.Hour)
		close(paused)
	}()
	ended := func() bool {
		select {
		case <-paused:
			return ctx.Err() != nil
		default:
			return false
		}
	}
	for now := model.Instant(1); !ended() && now < 20000; now += 2 {
		o.endRead(now, now+1, true)
		o.endRead(now+1, now+2, false)
		time.Sleep(time.Millisecond)
	}
	assert.True(t, ended())
}
