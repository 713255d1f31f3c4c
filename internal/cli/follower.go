package cli

import (
	"context"
	"time"

	"github.com/joomcode/errorx"

	"github.com/tarragonpoint/tarragonpoint/internal/config"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/platform"
	"github.com/tarragonpoint/tarragonpoint/internal/record"
)

// readLimit is the maximum number of records of one read.
const readLimit = 256

// follower reads and folds the config stream, and records the outcome of one watched record.
type follower struct {
	log         platform.Log
	fold        *config.Fold
	callTimeout time.Duration
	// cursor is the next offset to read. It is ahead of the fold while the follower searches for a snapshot after a gap.
	cursor  model.Offset
	watched record.ID
	// outcome is the outcome of the first record with the watched ID, or nil. Duplicates of the record have no effect.
	outcome *config.Outcome
}

func newFollower(log platform.Log, callTimeout time.Duration) *follower {
	return &follower{log: log, fold: config.NewFold(), callTimeout: callTimeout, cursor: 1}
}

// watch starts watching a record and discards the outcome of the one watched before.
func (f *follower) watch(id record.ID) {
	f.watched = id
	f.outcome = nil
}

// catchUp folds all records up to the end of the stream. It returns platform.ErrUnavailable if the log returns
// inconsistent offsets or no longer has the records that the fold needs, and errors of the log as they are.
func (f *follower) catchUp(ctx context.Context) error {
	for {
		isAtEnd, err := f.readOnce(ctx)
		if err != nil {
			return err
		}
		if isAtEnd {
			break
		}
	}
	if f.cursor != f.fold.Next() {
		return platform.ErrUnavailable.New("records from offset %d have expired and the stream has no snapshot that covers them", f.fold.Next())
	}
	return nil
}

// readOnce reads one batch and reports whether the cursor is at the end of the stream. If the records at the cursor
// have expired, it moves the cursor to the oldest record.
func (f *follower) readOnce(ctx context.Context) (isAtEnd bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, f.callTimeout)
	defer cancel()
	reply, err := f.log.Read(ctx, record.ConfigStream, f.cursor, readLimit, 0)
	if errorx.IsOfType(err, platform.ErrExpired) && reply.Oldest > f.cursor {
		f.cursor = reply.Oldest
		return f.cursor >= reply.End && reply.End > 0, nil
	}
	if err != nil {
		return false, err
	}
	if len(reply.Records) == 0 && f.cursor < reply.End {
		return false, platform.ErrUnavailable.New("the log returned no record at offset %d, although its end is %d", f.cursor, reply.End)
	}
	for _, stored := range reply.Records {
		if stored.Offset != f.cursor {
			return false, platform.ErrUnavailable.New("the log returned offset %d instead of %d", stored.Offset, f.cursor)
		}
		if rewound := f.consume(stored); rewound {
			return false, nil
		}
	}
	return f.cursor >= reply.End, nil
}

// consume folds one record and moves the cursor. rewound is true if a snapshot was loaded and the cursor moved back to
// the first offset that the snapshot does not cover.
func (f *follower) consume(stored platform.StoredRecord) (rewound bool) {
	f.cursor = stored.Offset + 1
	before := f.fold.Offset()
	decoded, err := record.Decode(stored.Data)
	if err != nil {
		// A record that cannot be decoded has no effect in any process. After a gap, Skip has no effect either.
		_ = f.fold.Skip(stored.Offset)
		return false
	}
	outcome, err := f.fold.Consume(record.Entry{Offset: stored.Offset, Record: decoded})
	if err != nil {
		// The record is after a gap; continue to search for a snapshot.
		return false
	}
	if stored.Offset > before+1 {
		f.cursor = f.fold.Next()
		return true
	}
	if decoded.ID == f.watched && f.outcome == nil && decoded.ConfigPatch != nil {
		f.outcome = &outcome
	}
	return false
}
