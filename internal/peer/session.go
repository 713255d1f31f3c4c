package peer

import (
	"context"
	"time"

	"github.com/coder/websocket"
)

// session is an authenticated connection that this VM dialed. It only sends messages; the peer returns only WebSocket
// control frames such as pongs.
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

// run sends messages until the connection or ctx ends, or the queue is closed and empty. In the last case it returns
// nil if the peer confirms the close handshake; in all others it returns ErrUnresponsive or ErrUnavailable.
func (s *session) run(ctx context.Context) error {
	defer s.queue.close()
	defer s.conn.CloseNow()
	connCtx := s.conn.CloseRead(ctx)
	connCtx, cancel := context.WithCancelCause(connCtx)
	drained, pingDone := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(pingDone)
		s.ping(connCtx, cancel, drained)
	}()
	err := s.write(connCtx)
	if err != nil {
		cancel(nil)
	}
	// The ping must not be canceled while it is written, since this would break the connection before the close
	// handshake.
	close(drained)
	<-pingDone
	cancel(nil)
	if err == nil {
		// The close handshake completes after the peer has read all frames before it.
		if closeErr := s.conn.Close(websocket.StatusNormalClosure, ""); closeErr != nil {
			return ErrUnavailable.Wrap(closeErr, "the peer did not confirm the close handshake")
		}
	}
	return err
}

// ping ends the session with ErrUnresponsive if the peer does not respond to a ping in time. It returns when drained is
// closed, when ctx ends or after a failed ping.
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
		pingCtx, stop := context.WithTimeout(ctx, s.settings.PingTimeout)
		err := s.conn.Ping(pingCtx)
		timedOut := pingCtx.Err() != nil && ctx.Err() == nil
		stop()
		if timedOut {
			cancel(ErrUnresponsive.New("the peer did not respond to a ping within %s", s.settings.PingTimeout))
			s.conn.CloseNow()
			return
		}
		if err != nil {
			cancel(ErrUnavailable.Wrap(err, "the connection failed"))
			return
		}
	}
}

// write sends the queued messages. It returns nil once the queue is closed and empty, otherwise ErrUnresponsive or
// ErrUnavailable.
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
	writeCtx, stop := context.WithTimeout(ctx, s.settings.WriteTimeout)
	defer stop()
	err := s.conn.Write(writeCtx, websocket.MessageBinary, s.sealer.seal(plain))
	switch {
	case err == nil:
		return nil
	case ctx.Err() != nil:
		return sessionError(ctx)
	case writeCtx.Err() != nil:
		return ErrUnresponsive.New("a frame was not written within %s", s.settings.WriteTimeout)
	default:
		return ErrUnavailable.Wrap(err, "the connection failed")
	}
}

// sessionError returns the error for which the context of a session ended.
func sessionError(ctx context.Context) error {
	cause := context.Cause(ctx)
	if isType(cause, ErrUnresponsive) || isType(cause, ErrUnavailable) {
		return cause
	}
	return ErrUnavailable.Wrap(cause, "the connection failed")
}
