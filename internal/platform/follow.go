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
	// defaultWait is the default maximum duration of a long poll.
	defaultWait = 10 * time.Second
	// maxReadRecords is the maximum number of records per read.
	maxReadRecords = 256
	// minBackoff and maxBackoff bound the pause after a failed read. A configuration must take effect within 9 s;
	// maxBackoff leaves most of that time.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second
	// maxEmptyReadPause is the maximum pause after a read without records. The pause limits the load on a log that ignores
	// wait_ms.
	maxEmptyReadPause = 20 * time.Millisecond
)

// ExpiredFunc is called when the wanted offset has expired. It loads a snapshot and returns the offset from which to
// continue. On an error, or an offset below oldest or not above wanted, the follower pauses and reads again, and calls
// the function again if the offset is still expired.
type ExpiredFunc func(ctx context.Context, stream record.Stream, wanted, oldest model.Offset) (model.Offset, error)

// Follower reads a stream in order and resumes after outages of the log.
type Follower struct {
	Log    Log
	Stream record.Stream
	// From is the offset of the first record to read; 0 means 1.
	From model.Offset
	// Wait is the maximum duration of a long poll; 0 means 10 s.
	Wait time.Duration
	// Expired handles expired offsets; if it is nil, the follower continues from the oldest record.
	Expired ExpiredFunc
	// Observe is called after each read, once the records of the reply have been delivered; it may be nil.
	Observe func(stream record.Stream, reply ReadReply, err error)
	// Pause replaces the timer in tests. It returns false if ctx ended first.
	Pause func(ctx context.Context, pause time.Duration) bool
}

// Run calls deliver for every record, in order and without gaps, until ctx ends or deliver returns false.
func (f *Follower) Run(ctx context.Context, deliver func(StoredRecord) bool) {
	f.setDefaults()
	next := f.From
	limit := minBackoff
	for ctx.Err() == nil {
		reply, err := f.Log.Read(ctx, f.Stream, next, maxReadRecords, f.Wait)
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
			f.Pause(ctx, jitter(maxEmptyReadPause))
		}
	}
}

// resume handles a failed read: it returns the offset to read next and whether to read it without a pause.
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

// jitter returns a random duration between half of limit and limit, so that not all readers read at once when the log
// recovers from an outage.
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
