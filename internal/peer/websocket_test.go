package peer

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/coder/websocket"
	"github.com/stretchr/testify/require"

	"github.com/tarragonpoint/tarragonpoint/internal/message"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

// Keys must be replaceable while VMs hold them in different order, without a moment in which they refuse each other.
func TestKeysRotateWithoutAStop(t *testing.T) {
	older := startNode(t, "a", testKey(1), testKey(2))
	newer := startNode(t, "b", testKey(2), testKey(1))
	older.SetPeers(map[model.VMID]string{"b": newer.Address()})
	newer.SetPeers(map[model.VMID]string{"a": older.Address()})
	older.await(t, Connected)
	newer.await(t, Connected)
	require.NoError(t, older.Send("b", heartbeat(7)))
	require.NoError(t, newer.Send("a", heartbeat(8)))
	require.Equal(t, delivery{"a", heartbeat(7)}, newer.next(t))
	require.Equal(t, delivery{"b", heartbeat(8)}, older.next(t))
}

// A process without a current key must neither send nor receive anything.
func TestWrongKeyIsRefused(t *testing.T) {
	a := startNode(t, "a", testKey(1))
	b := startNode(t, "b", testKey(2))
	a.SetPeers(map[model.VMID]string{"b": b.Address()})
	a.await(t, Unauthenticated)
	b.await(t, Unauthenticated)
	require.True(t, isType(a.Send("b", heartbeat(1)), ErrUnavailable))
}

// A VM that is listed before it listens must not miss messages until a long back-off ends: its own connection shows that it
// can be dialled.
func TestAcceptedConnectionMakesTheDialDue(t *testing.T) {
	reserved, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	late := reserved.Addr().String()
	require.NoError(t, reserved.Close())
	slow := Settings{Self: "a", Listen: "127.0.0.1:0", Keys: [][]byte{testKey(1)}, BackoffMin: time.Hour, BackoffMax: time.Hour}
	a := startWith(t, slow, nil)
	a.SetPeers(map[model.VMID]string{"b": late})
	a.await(t, DialFailed)
	b := startWith(t, Settings{Self: "b", Listen: late, Keys: [][]byte{testKey(1)}}, nil)
	b.SetPeers(map[model.VMID]string{"a": a.Address()})
	a.await(t, Connected)
	require.NoError(t, a.Send("b", heartbeat(1)))
	require.Equal(t, heartbeat(1), b.next(t).m)
}

// A connection that reached another VM than the one meant, for instance after an address was reused, must be refused.
func TestWrongVMIsRefused(t *testing.T) {
	a := startNode(t, "a", testKey(1))
	b := startNode(t, "b", testKey(1))
	a.SetPeers(map[model.VMID]string{"c": b.Address()})
	a.await(t, Unauthenticated)
	b.await(t, Unauthenticated)
}

// Frames that were not sent by the authenticated peer, at this position, on this connection must close the connection before a
// message is delivered.
func TestManipulatedFramesCloseTheConnection(t *testing.T) {
	foreign, err := newAEAD(testKey(9))
	require.NoError(t, err)
	unknown := append([]byte{chunkHeader(urgent, true)}, 0xa1, 0x18, 0x63, 0xa0)
	cases := map[string]struct {
		event  Event
		frames func(s *sealer, plain []byte) [][]byte
	}{
		"replayed":  {Unauthenticated, func(s *sealer, p []byte) [][]byte { f := s.seal(p); return [][]byte{f, f} }},
		"reordered": {Unauthenticated, func(s *sealer, p []byte) [][]byte { s.seal(p); return [][]byte{s.seal(p)} }},
		"altered":   {Unauthenticated, func(s *sealer, p []byte) [][]byte { f := s.seal(p); f[12] ^= 1; return [][]byte{f} }},
		"foreign":   {Unauthenticated, func(_ *sealer, p []byte) [][]byte { s := sealer{aead: foreign}; return [][]byte{s.seal(p)} }},
		"short":     {Unauthenticated, func(*sealer, []byte) [][]byte { return [][]byte{{1}} }},
		"unknown":   {Malformed, func(s *sealer, _ []byte) [][]byte { return [][]byte{s.seal(unknown)} }},
		"oversized": {Malformed, func(*sealer, []byte) [][]byte { return [][]byte{make([]byte, maxFrameBytes+1)} }},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := startNode(t, "b", testKey(1))
			conn, s := dialRaw(t, b, "a", testKey(1))
			for _, frame := range c.frames(s, wholeChunk(t, heartbeat(1))) {
				require.NoError(t, conn.Write(context.Background(), websocket.MessageBinary, frame))
			}
			b.await(t, c.event)
			_, _, err := conn.Read(context.Background())
			require.Error(t, err)
			require.LessOrEqual(t, len(b.received), 1, "only the first copy of a replayed frame is delivered")
		})
	}
}

// A peer that was lost without closing its connection, and a caller that never authenticates, must not hold a connection.
func TestAcceptedSilentConnectionsAreClosed(t *testing.T) {
	b := startNode(t, "b", testKey(1))
	client := newDialClient()
	unproven, _, err := websocket.Dial(context.Background(), "ws://"+b.Address()+peerPath, &websocket.DialOptions{HTTPClient: client})
	require.NoError(t, err)
	defer unproven.CloseNow()
	b.await(t, Unresponsive)
	dialRaw(t, b, "a", testKey(1))
	b.await(t, Unresponsive)
}

// The largest message must pass together with an urgent one; which arrives first depends on the scheduler.
func TestLargestMessagePasses(t *testing.T) {
	a := startNode(t, "a", testKey(1))
	b := startNode(t, "b", testKey(1))
	a.SetPeers(map[model.VMID]string{"b": b.Address()})
	a.await(t, Connected)
	const encodingBytes = 256
	body := make([]byte, MaxMessageBytes-encodingBytes)
	require.NoError(t, a.Send("b", message.Message{Forward: &message.Forward{Body: body}}))
	require.NoError(t, a.Send("b", heartbeat(1)))
	first, second := b.next(t).m, b.next(t).m
	if first.Heartbeat == nil {
		first, second = second, first
	}
	require.NotNil(t, first.Heartbeat)
	require.Len(t, second.Forward.Body, len(body))
}

// Stop must not lose what Send accepted, and must end within its context.
func TestStopSendsWhatIsQueued(t *testing.T) {
	a := startNode(t, "a", testKey(1))
	b := startNode(t, "b", testKey(1))
	a.SetPeers(map[model.VMID]string{"b": b.Address()})
	a.await(t, Connected)
	const messages = 40
	body := make([]byte, 3*maxChunkBytes)
	for range messages {
		require.NoError(t, a.Send("b", message.Message{Forward: &message.Forward{Body: body}}))
	}
	a.stopNow(t)
	for range messages {
		require.Len(t, b.next(t).m.Forward.Body, len(body))
	}
	require.True(t, isType(a.Send("b", heartbeat(1)), ErrUnavailable))
}

// The filter must cut one direction only.
func TestFilterCutsOneDirection(t *testing.T) {
	a := startNode(t, "a", testKey(1))
	b := startFiltered(t, "b", func(from, _ model.VMID, _ message.Message) bool { return from != "b" }, testKey(1))
	a.SetPeers(map[model.VMID]string{"b": b.Address()})
	b.SetPeers(map[model.VMID]string{"a": a.Address()})
	a.await(t, Connected)
	b.await(t, Connected)
	require.NoError(t, a.Send("b", heartbeat(1)))
	require.Equal(t, heartbeat(1), b.next(t).m)
	require.NoError(t, b.Send("a", heartbeat(2)))
	b.stopNow(t)
	require.Empty(t, a.received)
}

// relay forwards TCP connections; while silent is set it accepts bytes and passes nothing on.
type relay struct {
	net.Listener
	silent  atomic.Bool
	running sync.WaitGroup
}

func startRelay(t *testing.T, to string) *relay {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	r := &relay{Listener: listener}
	r.running.Go(func() {
		for {
			in, err := listener.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", to)
			if err != nil {
				in.Close()
				continue
			}
			var muted atomic.Bool
			r.running.Go(func() { r.copy(out, in, &muted) })
			r.running.Go(func() { r.copy(in, out, &muted) })
		}
	})
	return r
}

// copy mutes its connection for good once silent is seen; connections made later pass.
func (r *relay) copy(to, from net.Conn, muted *atomic.Bool) {
	defer to.Close()
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		if r.silent.Swap(false) {
			muted.Store(true)
		}
		if muted.Load() {
			continue
		}
		if _, err = io.Writer(to).Write(buffer[:n]); err != nil {
			return
		}
	}
}

// A connection that goes silent for good while new ones work must be replaced without anyone closing it.
func TestSilentConnectionIsReplaced(t *testing.T) {
	a := startNode(t, "a", testKey(1))
	b := startNode(t, "b", testKey(1))
	r := startRelay(t, b.Address())
	a.SetPeers(map[model.VMID]string{"b": r.Addr().String()})
	a.await(t, Connected)
	r.silent.Store(true)
	a.await(t, Unresponsive)
	a.await(t, Connected)
	require.NoError(t, a.Send("b", heartbeat(3)))
	require.Equal(t, heartbeat(3), b.next(t).m)
	a.stopNow(t)
	require.NoError(t, r.Close())
	r.running.Wait()
}
