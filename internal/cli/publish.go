package cli

import (
	"context"
	"time"

	"github.com/joomcode/errorx"

	"github.com/tarragonpoint/tarragonpoint/internal/config"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/record"
	"github.com/tarragonpoint/tarragonpoint/internal/result"
)

const (
	// retryInterval is the time between two attempts to append a record.
	retryInterval = 200 * time.Millisecond
	// maxChangeAttempts is the maximum number of times that a change of one field is published. After a conflict it is
	// made again on top of the newer version.
	maxChangeAttempts = 5
)

// publishResult is the result of publishing a change that was accepted or changed nothing.
type publishResult struct {
	version   model.Offset
	isChanged bool
}

// publish publishes the desired state on top of the base version. It returns config.ErrConflict, config.ErrInvalid or
// config.ErrTooLarge if the change was not accepted, a Failure with result.UsageError if the author is missing, and a
// Failure with result.LogUnavailable if the outcome is unknown.
func (s *session) publish(ctx context.Context, base model.Offset, desired config.State) (publishResult, error) {
	state := s.state()
	if err := config.CheckBase(state, base); err != nil {
		return publishResult{}, err
	}
	patch, err := s.checkedPatch(state, desired)
	if err != nil || len(patch.Set)+len(patch.Delete) == 0 {
		return publishResult{version: state.Version}, err
	}
	id := record.NewID()
	data, err := record.Encode(record.Record{ID: id, ConfigPatch: &patch})
	if err != nil {
		return publishResult{}, err
	}
	outcome, err := s.appendAndWait(ctx, id, data)
	if err != nil {
		return publishResult{}, err
	}
	if !outcome.Applied {
		return publishResult{}, outcome.Err
	}
	return publishResult{version: outcome.Offset, isChanged: true}, nil
}

// checkedPatch returns the patch to the desired state. It runs Apply only to report errors before the append.
func (s *session) checkedPatch(state, desired config.State) (record.ConfigPatch, error) {
	patch, err := config.Diff(state, desired, s.flags.author)
	if err != nil || len(patch.Set)+len(patch.Delete) == 0 {
		return patch, err
	}
	if s.flags.author == "" {
		return patch, failure(result.UsageError, "-author (TARRAGONPOINT_AUTHOR): is required")
	}
	_, err = config.Apply(state, s.follower.fold.Next(), patch)
	return patch, err
}

// appendAndWait appends a record and reads the stream until the outcome of the record is known. All attempts use the
// same record ID. A duplicate in the stream has no effect, because its base is then no longer the current version.
func (s *session) appendAndWait(ctx context.Context, id record.ID, data []byte) (config.Outcome, error) {
	s.follower.watch(id)
	isAppended := false
	for ctx.Err() == nil {
		if !isAppended {
			isAppended = s.appendOnce(ctx, data)
		}
		// A failed read is retried in the next iteration. An outcome that was read before the failure is final.
		_ = s.follower.catchUp(ctx)
		if s.follower.outcome != nil {
			return *s.follower.outcome, nil
		}
		s.program.Pause(ctx, retryInterval)
	}
	return config.Outcome{}, failure(result.LogUnavailable,
		"the outcome of the change on top of version %d is unknown; publishing again with the same base is safe, since at most one copy can be accepted",
		s.state().Version)
}

// appendOnce reports whether the log confirmed the append. After an error the record may or may not be in the log.
func (s *session) appendOnce(ctx context.Context, data []byte) bool {
	ctx, cancel := context.WithTimeout(ctx, s.flags.timeout/callsPerTimeout)
	defer cancel()
	_, err := s.log.Append(ctx, record.ConfigStream, data)
	return err == nil
}

// change publishes a change that does not depend on changes of other operators. After a conflict it applies edit to the
// newer version and publishes again, up to maxChangeAttempts times in all.
func (s *session) change(ctx context.Context, edit func(config.State) (config.State, error)) (publishResult, error) {
	var lastErr error
	for range maxChangeAttempts {
		state := s.state()
		desired, err := edit(state)
		if err != nil {
			return publishResult{}, err
		}
		published, err := s.publish(ctx, state.Version, desired)
		if err == nil || !errorx.IsOfType(err, config.ErrConflict) {
			return published, err
		}
		lastErr = err
	}
	return publishResult{}, lastErr
}
