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
	// retryPause is the wait between two attempts to append a record.
	retryPause = 200 * time.Millisecond
	// rebaseLimit is the number of times that a change of one field is made again on top of a newer version.
	rebaseLimit = 5
)

// publication is the result of a publish that was accepted or changed nothing.
type publication struct {
	version   model.Offset
	isChanged bool
}

// publish publishes the state desired on top of the version base. It returns config.ErrConflict, config.ErrInvalid or
// config.ErrTooLarge if the change was not accepted, and a Failure with result.LogUnavailable if the outcome is unknown.
func (s *session) publish(ctx context.Context, base model.Offset, desired config.State) (publication, error) {
	state := s.state()
	if err := config.CheckBase(state, base); err != nil {
		return publication{}, err
	}
	patch, err := s.checkedPatch(state, desired)
	if err != nil || len(patch.Set)+len(patch.Delete) == 0 {
		return publication{version: state.Version}, err
	}
	id := record.NewID()
	data, err := record.Encode(record.Record{ID: id, ConfigPatch: &patch})
	if err != nil {
		return publication{}, err
	}
	outcome, err := s.settle(ctx, id, data)
	if err != nil {
		return publication{}, err
	}
	if !outcome.Applied {
		return publication{}, outcome.Err
	}
	return publication{version: outcome.Offset, isChanged: true}, nil
}

// checkedPatch returns the patch to the desired state. Apply runs here only to report faults before the append.
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

// settle appends a record and reads on until the stream shows its outcome. Every attempt has the same record ID; the patch's
// base makes a second copy void.
func (s *session) settle(ctx context.Context, id record.ID, data []byte) (config.Outcome, error) {
	s.follower.watch(id)
	isAppended := false
	for ctx.Err() == nil {
		if !isAppended {
			isAppended = s.appendOnce(ctx, data)
		}
		// A failed read is tried again below; an outcome that was read before the failure is final.
		_ = s.follower.catchUp(ctx)
		if s.follower.outcome != nil {
			return *s.follower.outcome, nil
		}
		s.program.Pause(ctx, retryPause)
	}
	return config.Outcome{}, failure(result.LogUnavailable,
		"the outcome of the change on top of version %d is unknown; publishing again with the same base is safe, since at most one copy can be accepted",
		s.state().Version)
}

// appendOnce reports whether the log confirmed the append. Any error leaves the outcome open.
func (s *session) appendOnce(ctx context.Context, data []byte) bool {
	ctx, cancel := context.WithTimeout(ctx, s.flags.timeout/callsPerTimeout)
	defer cancel()
	_, err := s.log.Append(ctx, record.ConfigStream, data)
	return err == nil
}

// change publishes a change that is independent of other operators' changes. After a conflict it is made again on top of the
// newer version.
func (s *session) change(ctx context.Context, edit func(config.State) (config.State, error)) (publication, error) {
	var lastErr error
	for range rebaseLimit {
		state := s.state()
		desired, err := edit(state)
		if err != nil {
			return publication{}, err
		}
		published, err := s.publish(ctx, state.Version, desired)
		if err == nil || !errorx.IsOfType(err, config.ErrConflict) {
			return published, err
		}
		lastErr = err
	}
	return publication{}, lastErr
}
