package platform_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/platform"
	"github.com/tarragonpoint/tarragonpoint/internal/record"
)

// scriptedLog serves reads from a script and records the requested offsets.
type scriptedLog struct {
	platform.Log
	script    []func(from model.Offset) (platform.ReadReply, error)
	requested []model.Offset
	stop      context.CancelFunc
}

func (s *scriptedLog) Read(_ context.Context, _ record.Stream, from model.Offset, _ int, _ time.Duration) (platform.ReadReply, error) {
	if len(s.script) == 0 {
		s.stop()
		return platform.ReadReply{}, platform.ErrUnavailable.New("script has ended")
	}
	s.requested = append(s.requested, from)
	step := s.script[0]
	s.script = s.script[1:]
	return step(from)
}

func unavailable(model.Offset) (platform.ReadReply, error) {
	return platform.ReadReply{}, platform.ErrUnavailable.New("down")
}

func twoRecords(from model.Offset) (platform.ReadReply, error) {
	return platform.ReadReply{Records: []platform.StoredRecord{{Offset: from}, {Offset: from + 1}}}, nil
}

func expired(model.Offset) (platform.ReadReply, error) {
	return platform.ReadReply{Oldest: 20}, platform.ErrExpired.New("expired")
}

func follow(log *scriptedLog, load platform.ExpiredFunc) (delivered []model.Offset, pauses []time.Duration) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	log.stop = cancel
	follower := platform.Follower{Log: log, Stream: record.AssignStream, Expired: load}
	follower.Pause = func(_ context.Context, length time.Duration) bool {
		pauses = append(pauses, length)
		return true
	}
	follower.Run(ctx, func(stored platform.StoredRecord) bool {
		delivered = append(delivered, stored.Offset)
		return true
	})
	return delivered, pauses
}

// Guards against records that are skipped or repeated across an outage, and against a backoff that exceeds 2 s or is
// not reset by a successful read.
func TestFollowerResumesInOrderAfterOutages(t *testing.T) {
	log := &scriptedLog{}
	log.script = append(log.script, twoRecords)
	for range 12 {
		log.script = append(log.script, unavailable)
	}
	log.script = append(log.script, twoRecords, unavailable)
	delivered, pauses := follow(log, nil)
	require.Equal(t, []model.Offset{1, 2, 3, 4}, delivered)
	for _, length := range pauses {
		require.LessOrEqual(t, length, 2*time.Second)
	}
	require.GreaterOrEqual(t, pauses[11], time.Second)
	require.LessOrEqual(t, pauses[12], 50*time.Millisecond)
}

// Guards against a follower that skips expired records although no snapshot that covers them could be loaded.
func TestFollowerWaitsForTheSnapshot(t *testing.T) {
	log := &scriptedLog{script: []func(model.Offset) (platform.ReadReply, error){twoRecords, expired, expired, expired, twoRecords}}
	loads := 0
	load := func(_ context.Context, _ record.Stream, wanted, oldest model.Offset) (model.Offset, error) {
		loads++
		require.Equal(t, model.Offset(3), wanted)
		require.Equal(t, model.Offset(20), oldest)
		switch loads {
		case 1:
			return 0, platform.ErrUnavailable.New("no snapshot yet")
		case 2:
			return 19, nil // below the oldest offset
		default:
			return 25, nil
		}
	}
	delivered, _ := follow(log, load)
	require.Equal(t, []model.Offset{1, 2, 25, 26}, delivered)
	require.Equal(t, []model.Offset{1, 3, 3, 3, 25}, log.requested)
}
