package peer

import (
	"bytes"
	"context"
	"testing"
	"time"

	"github.com/coder/websocket"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/tarragonpoint/tarragonpoint/internal/message"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

// testTimeout ends a test that hangs; no assertion depends on it.
const testTimeout = 20 * time.Second

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func testKey(fill byte) []byte { return bytes.Repeat([]byte{fill}, MinKeyBytes) }

type delivery struct {
	from model.VMID
	m    message.Message
}

// node is a transport on a loopback address that collects received messages and events.
type node struct {
	*WebSocket
	received chan delivery
	events   chan Event
}

func startNode(t *testing.T, self model.VMID, keys ...[]byte) *node {
	t.Helper()
	return startFiltered(t, self, nil, keys...)
}

func startFiltered(t *testing.T, self model.VMID, filter func(from, to model.VMID, m message.Message) bool, keys ...[]byte) *node {
	t.Helper()
	return startWith(t, Settings{Self: self, Listen: "127.0.0.1:0", Keys: keys, BackoffMin: time.Millisecond,
		BackoffMax: 10 * time.Millisecond, PingInterval: 20 * time.Millisecond}, filter)
}

func startWith(t *testing.T, settings Settings, filter func(from, to model.VMID, m message.Message) bool) *node {
	t.Helper()
	n := &node{received: make(chan delivery, 1024), events: make(chan Event, 1024)}
	settings.Count = func(e Event) {
		select {
		case n.events <- e:
		default:
		}
	}
	transport, err := New(settings)
	require.NoError(t, err)
	n.WebSocket = transport
	n.Filter = filter
	n.SetHandler(func(from model.VMID, m message.Message) { n.received <- delivery{from, m} })
	require.NoError(t, n.Start(context.Background()))
	t.Cleanup(func() { n.stopNow(t) })
	return n
}

func (n *node) stopNow(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	require.NoError(t, n.Stop(ctx))
}

func (n *node) await(t *testing.T, want Event) {
	t.Helper()
	limit := time.After(testTimeout)
	for {
		select {
		case got := <-n.events:
			if got == want {
				return
			}
		case <-limit:
			t.Fatalf("event %s did not occur", want)
		}
	}
}

func (n *node) next(t *testing.T) delivery {
	t.Helper()
	select {
	case d := <-n.received:
		return d
	case <-time.After(testTimeout):
		t.Fatal("no message arrived")
		return delivery{}
	}
}

// dialRaw returns an authenticated connection to a node, on which a test can write arbitrary frames, and its sealer.
func dialRaw(t *testing.T, to *node, self model.VMID, key []byte) (*websocket.Conn, *sealer) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	client := newDialClient()
	conn, _, err := websocket.Dial(ctx, "ws://"+to.Address()+peerPath, &websocket.DialOptions{HTTPClient: client})
	require.NoError(t, err)
	t.Cleanup(func() { conn.CloseNow() })
	session, err := dialHandshake(ctx, conn, [][]byte{key}, self, to.settings.Self)
	require.NoError(t, err)
	aead, err := newAEAD(session)
	require.NoError(t, err)
	return conn, &sealer{aead: aead}
}

func heartbeat(offset model.Offset) message.Message {
	return message.Message{Heartbeat: &message.Heartbeat{ConfigOffset: offset}}
}

func wholeChunk(t *testing.T, m message.Message) []byte {
	t.Helper()
	data, err := encodeMessage(m)
	require.NoError(t, err)
	return append([]byte{chunkHeader(priorityOf(m), true)}, data...)
}
