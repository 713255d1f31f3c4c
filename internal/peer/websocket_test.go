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

// During a key rotation, VMs hold the same keys in different order. They must not reject each other then.
func TestKeyRotationWithoutDowntime(t *testing.T) {
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

// A process without a current key must be able neither to send nor to receive messages.
func TestWrongKeyIsRejected(t *testing.T) {
	a := startNode(t, "a", testKey(1))
	b := startNode(t, "b", testKey(2))
	a.SetPeers(map[model.VMID]string{"b": b.Address()})
	a.await(t, Unauthenticated)
	b.await(t, Unauthenticated)
	require.True(t, isType(a.Send("b", heartbeat(1)), ErrUnavailable))
}

// A peer that is listed before it listens must not be unreachable until a long backoff ends. Its own connection to
// this VM shows that it is running, so it must be dialed at once.
func TestAcceptedConnectionTriggersDial(t *testing.T) {
	reserved, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := reserved.Addr().String()
	require.NoError(t, reserved.Close())
	slow := Settings{Self: "a", Listen: "127.0.0.1:0", Keys: [][]byte{testKey(1)}, BackoffMin: time.Hour, BackoffMax: time.Hour}
	a := startWith(t, slow, nil)
	a.SetPeers(map[model.VMID]string{"b": address})
	a.await(t, DialFailed)
	b := startWith(t, Settings{Self: "b", Listen: address, Keys: [][]byte{testKey(1)}}, nil)
	b.SetPeers(map[model.VMID]string{"a": a.Address()})
	a.await(t, Connected)
	require.NoError(t, a.Send("b", heartbeat(1)))
	require.Equal(t, heartbeat(1), b.next(t).m)
}

// A connection that reaches a VM other than the intended one, for example after an address was reused, must be
// rejected.
func TestWrongVMIsRejected(t *testing.T) {
	a := startNode(t, "a", testKey(1))
	b := startNode(t, "b", testKey(1))
	a.SetPeers(map[model.VMID]string{"c": b.Address()})
	a.await(t, Unauthenticated)
	b.await(t, Unauthenticated)
}

// A frame that the authenticated peer did not send at this position on this connection must close the connection and
// not deliver a message.
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

// A peer that failed without closing its connection, and a client that never authenticates, must not keep a connection
// open.
func TestUnresponsiveAcceptedConnectionsAreClosed(t *testing.T) {
	b := startNode(t, "b", testKey(1))
	client := newDialClient()
	conn, _, err := websocket.Dial(context.Background(), "ws://"+b.Address()+peerPath, &websocket.DialOptions{HTTPClient: client})
	require.NoError(t, err)
	defer conn.CloseNow()
	b.await(t, Unresponsive)
	dialRaw(t, b, "a", testKey(1))
	b.await(t, Unresponsive)
}

// The largest message must be delivered together with an urgent one. Which of them arrives first depends on the
// scheduler.
func TestLargestMessageIsDelivered(t *testing.T) {
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

// Stop must not lose messages that Send accepted, and must return before its context ends.
func TestStopSendsQueuedMessages(t *testing.T) {
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

// The filter must block one direction only.
func TestFilterBlocksOneDirection(t *testing.T) {
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

// relay forwards TCP connections. Setting stall makes one open connection drop all further data without closing.
type relay struct {
	net.Listener
	stall   atomic.Bool
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
			var dropping atomic.Bool
			r.running.Go(func() { r.copy(out, in, &dropping) })
			r.running.Go(func() { r.copy(in, out, &dropping) })
		}
	})
	return r
}

// copy forwards data in one direction. If it finds stall set, it clears it and drops all further data of the
// connection, in both directions. Connections made later are forwarded.
func (r *relay) copy(to, from net.Conn, dropping *atomic.Bool) {
	defer to.Close()
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		if r.stall.Swap(false) {
			dropping.Store(true)
		}
		if dropping.Load() {
			continue
		}
		if _, err = io.Writer(to).Write(buffer[:n]); err != nil {
			return
		}
	}
}

// A connection that permanently stops carrying data, while new ones work, must be replaced although neither side closes
// it.
func TestUnresponsiveConnectionIsReplaced(t *testing.T) {
	a := startNode(t, "a", testKey(1))
	b := startNode(t, "b", testKey(1))
	r := startRelay(t, b.Address())
	a.SetPeers(map[model.VMID]string{"b": r.Addr().String()})
	a.await(t, Connected)
	r.stall.Store(true)
	a.await(t, Unresponsive)
	a.await(t, Connected)
	require.NoError(t, a.Send("b", heartbeat(3)))
	require.Equal(t, heartbeat(3), b.next(t).m)
	a.stopNow(t)
	require.NoError(t, r.Close())
	r.running.Wait()
}
