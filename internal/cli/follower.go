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

// readLimit is the number of records of one read.
const readLimit = 256

// follower folds the config stream and watches for the outcome of one record.
type follower struct {
	log         platform.Log
	fold        *config.Fold
	callTimeout time.Duration
	// cursor is the next offset to read. It runs ahead of the fold while it looks for a snapshot behind a gap.
	cursor  model.Offset
	watched record.ID
	// outcome is the outcome of the first record with the watched ID. A later copy has no effect.
	outcome *config.Outcome
}

func newFollower(log platform.Log, callTimeout time.Duration) *follower {
	return &follower{log: log, fold: config.NewFold(), callTimeout: callTimeout, cursor: 1}
}

// watch forgets the outcome of the record that was watched before.
func (f *follower) watch(id record.ID) {
	f.watched = id
	f.outcome = nil
}

// catchUp folds all records up to the end of the stream. It returns platform.ErrUnavailable if that cannot be done.
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
		return platform.ErrUnavailable.New("records from %d on have expired and the stream holds no snapshot that covers them", f.fold.Next())
	}
	return nil
}

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
		return false, platform.ErrUnavailable.New("the log returned no record at offset %d, before its end %d", f.cursor, reply.End)
	}
	for _, stored := range reply.Records {
		if stored.Offset != f.cursor {
			return false, platform.ErrUnavailable.New("the log returned offset %d in place of %d", stored.Offset, f.cursor)
		}
		if isRewound := f.consume(stored); isRewound {
			return false, nil
		}
	}
	return f.cursor >= reply.End, nil
}

// consume folds one record and moves the cursor. isRewound is true if a snapshot moved the cursor back to its cover.
func (f *follower) consume(stored platform.StoredRecord) (isRewound bool) {
	f.cursor = stored.Offset + 1
	before := f.fold.Offset()
	decoded, err := record.Decode(stored.Data)
	if err != nil {
		// A record that nobody can decode has no effect anywhere. Behind a gap, Skip has none either.
		_ = f.fold.Skip(stored.Offset)
		return false
	}
	outcome, err := f.fold.Consume(record.Entry{Offset: stored.Offset, Record: decoded})
	if err != nil {
		// The record is behind a gap; the search for a snapshot goes on.
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
