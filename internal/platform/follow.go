package platform

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/joomcode/errorx"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/record"
)

const (
	// defaultWait is the length of a long poll.
	defaultWait = 10 * time.Second
	// defaultBatch is the largest number of records in one read.
	defaultBatch = 256
	// minBackoff and maxBackoff bound the pause after a failed read. maxBackoff leaves most of the 9 s within which a
	// configuration must be in force.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second
	// emptyPause is the longest pause after an empty answer. It bounds the load on a log that ignores wait_ms.
	emptyPause = 20 * time.Millisecond
)

// ExpiredFunc is called when the wanted offset has expired. It loads a snapshot and returns the offset to go on from.
// On an error, or an offset below oldest, the follower pauses and calls it again if the offset is still expired.
type ExpiredFunc func(ctx context.Context, stream record.Stream, wanted, oldest model.Offset) (model.Offset, error)

// Follower reads a stream in order and survives outages of the log.
type Follower struct {
	Log    Log
	Stream record.Stream
	// From is the offset of the first record; 0 means 1.
	From model.Offset
	// Wait is the length of a long poll; 0 means 10 s.
	Wait time.Duration
	// Expired may be nil; the follower then goes on from the oldest record.
	Expired ExpiredFunc
	// Observe is called after each read; nil ignores them. The records of the reply have been delivered.
	Observe func(stream record.Stream, reply ReadReply, err error)
	// Pause replaces the timer in tests. It returns false if ctx ended.
	Pause func(ctx context.Context, pause time.Duration) bool
}

// Run hands every record to deliver, in order and without gaps, until ctx ends or deliver returns false.
func (f *Follower) Run(ctx context.Context, deliver func(StoredRecord) bool) {
	f.setDefaults()
	next := f.From
	limit := minBackoff
	for ctx.Err() == nil {
		reply, err := f.Log.Read(ctx, f.Stream, next, defaultBatch, f.Wait)
		if err != nil {
			f.Observe(f.Stream, reply, err)
			var resumed bool
			next, resumed = f.resume(ctx, err, next, reply.Oldest)
			if resumed {
				continue
			}
			f.Pause(ctx, jitter(limit))
			limit = min(2*limit, maxBackoff)
			continue
		}
		limit = minBackoff
		for _, stored := range reply.Records {
			if ctx.Err() != nil || !deliver(stored) {
				return
			}
			next = stored.Offset + 1
		}
		f.Observe(f.Stream, reply, nil)
		if len(reply.Records) == 0 {
			f.Pause(ctx, jitter(emptyPause))
		}
	}
}

// resume returns the offset to read next and whether to read it without a pause.
func (f *Follower) resume(ctx context.Context, err error, wanted, oldest model.Offset) (model.Offset, bool) {
	if !errorx.IsOfType(err, ErrExpired) {
		return wanted, false
	}
	next, err := f.Expired(ctx, f.Stream, wanted, oldest)
	if err != nil || next < oldest || next <= wanted {
		return wanted, false
	}
	return next, true
}

func (f *Follower) setDefaults() {
	f.From = max(f.From, 1)
	if f.Wait <= 0 {
		f.Wait = defaultWait
	}
	if f.Expired == nil {
		f.Expired = func(_ context.Context, _ record.Stream, _, oldest model.Offset) (model.Offset, error) {
			return oldest, nil
		}
	}
	if f.Observe == nil {
		f.Observe = func(record.Stream, ReadReply, error) {}
	}
	if f.Pause == nil {
		f.Pause = pause
	}
}

// jitter returns a random duration between half of limit and limit, so that the readers of a log that returns from an
// outage do not all read at once.
func jitter(limit time.Duration) time.Duration {
	return limit/2 + rand.N(limit/2+1)
}

func pause(ctx context.Context, length time.Duration) bool {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
