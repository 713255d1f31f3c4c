package peer

import (
	"context"
	"time"

	"github.com/coder/websocket"
)

// session is an authenticated connection that this VM dialled. It only sends; WebSocket pongs are all that comes back.
type session struct {
	conn     *websocket.Conn
	sealer   sealer
	queue    *sendQueue
	settings *Settings
}

func newSession(conn *websocket.Conn, key []byte, settings *Settings) (*session, error) {
	aead, err := newAEAD(key)
	if err != nil {
		return nil, err
	}
	return &session{conn: conn, sealer: sealer{aead: aead}, queue: newSendQueue(), settings: settings}, nil
}

// run sends until the connection ends, ctx ends, or the queue is closed and empty; then it returns nil. Otherwise it returns
// ErrSilent or ErrUnavailable.
func (s *session) run(ctx context.Context) error {
	defer s.queue.close()
	defer s.conn.CloseNow()
	alive := s.conn.CloseRead(ctx)
	alive, cancel := context.WithCancelCause(alive)
	drained, pinging := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(pinging)
		s.ping(alive, cancel, drained)
	}()
	err := s.write(alive)
	if err != nil {
		cancel(nil)
	}
	// Canceling a ping while it is written would break the connection before its close handshake.
	close(drained)
	<-pinging
	cancel(nil)
	if err == nil {
		// The close handshake returns when the peer has read everything before it.
		if closeErr := s.conn.Close(websocket.StatusNormalClosure, ""); closeErr != nil {
			return ErrUnavailable.Wrap(closeErr, "the peer did not confirm the end of the connection")
		}
	}
	return err
}

// ping ends the session with ErrSilent when the peer does not answer in time. It returns when drained is closed or ctx ends.
func (s *session) ping(ctx context.Context, cancel context.CancelCauseFunc, drained <-chan struct{}) {
	ticker := time.NewTicker(s.settings.PingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-drained:
			return
		case <-ticker.C:
		}
		limited, stop := context.WithTimeout(ctx, s.settings.PingTimeout)
		err := s.conn.Ping(limited)
		silent := limited.Err() != nil && ctx.Err() == nil
		stop()
		if silent {
			cancel(ErrUnresponsive.New("the peer did not answer a ping within %s", s.settings.PingTimeout))
			s.conn.CloseNow()
			return
		}
		if err != nil {
			cancel(ErrUnavailable.Wrap(err, "the connection ended"))
			return
		}
	}
}

// write sends what is queued. It returns nil once the queue is closed and empty.
func (s *session) write(ctx context.Context) error {
	for {
		plain, expired, drained := s.queue.next(time.Now())
		for range expired {
			s.settings.Count(Expired)
		}
		if drained {
			return nil
		}
		if plain == nil {
			select {
			case <-ctx.Done():
				return sessionError(ctx)
			case <-s.queue.ready:
			}
			continue
		}
		if err := s.writeFrame(ctx, plain); err != nil {
			return err
		}
	}
}

func (s *session) writeFrame(ctx context.Context, plain []byte) error {
	limited, stop := context.WithTimeout(ctx, s.settings.WriteTimeout)
	defer stop()
	err := s.conn.Write(limited, websocket.MessageBinary, s.sealer.seal(plain))
	switch {
	case err == nil:
		return nil
	case ctx.Err() != nil:
		return sessionError(ctx)
	case limited.Err() != nil:
		return ErrUnresponsive.New("a frame was not written within %s", s.settings.WriteTimeout)
	default:
		return ErrUnavailable.Wrap(err, "the connection ended")
	}
}

// sessionError returns why the context of a session ended.
func sessionError(ctx context.Context) error {
	cause := context.Cause(ctx)
	if isType(cause, ErrUnresponsive) || isType(cause, ErrUnavailable) {
		return cause
	}
	return ErrUnavailable.Wrap(cause, "the connection ended")
}
