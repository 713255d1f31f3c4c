package peer

import (
	"bytes"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/tarragonpoint/tarragonpoint/internal/message"
)

var start = time.Unix(1000, 0)

// A large forwarded body must not delay a heartbeat so long that peers suspect this VM to have failed.
func TestUrgentMessagesOvertakeBodies(t *testing.T) {
	q := newSendQueue()
	require.NoError(t, q.push(request, &queued{data: make([]byte, 3*maxChunkBytes)}))
	first, _, _ := q.next(start)
	require.Equal(t, chunkHeader(request, false), first[0])
	require.NoError(t, q.push(urgent, &queued{data: []byte{1}}))
	second, _, _ := q.next(start)
	require.Equal(t, chunkHeader(urgent, true), second[0])
}

// For a slow peer, the queue must not grow without bound or keep requests whose deadline has passed.
func TestQueueIsBoundedAndDropsExpired(t *testing.T) {
	q := newSendQueue()
	large := func() *queued { return &queued{data: make([]byte, MaxMessageBytes), expires: start.Add(time.Second)} }
	require.NoError(t, q.push(request, large()))
	err := q.push(request, large())
	require.True(t, isType(err, errQueueFull) && isType(err, ErrUnavailable))
	require.NoError(t, q.push(urgent, &queued{data: []byte{1}}), "other priorities have their own limits")
	q.next(start)
	plain, expired, drained := q.next(start.Add(time.Second))
	require.Nil(t, plain)
	require.Equal(t, 1, expired)
	require.False(t, drained)
}

// Messages must arrive complete and, within a priority, in order, however their chunks are interleaved.
func TestChunksReassembleToTheSameMessages(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := newSendQueue()
		var parts assembler
		var sent, received [priorityCount][][]byte
		step := func() bool {
			plain, _, _ := q.next(start)
			if plain == nil {
				return false
			}
			data, err := parts.add(plain)
			require.NoError(t, err)
			if data != nil {
				p := plain[0] & chunkPriority
				received[p] = append(received[p], data)
			}
			return true
		}
		for range rapid.IntRange(1, 20).Draw(t, "messages") {
			p := priority(rapid.IntRange(0, int(priorityCount)-1).Draw(t, "priority"))
			size := rapid.IntRange(1, 4*maxChunkBytes).Draw(t, "size")
			data := bytes.Repeat([]byte{byte(size)}, size)
			if q.push(p, &queued{data: data}) == nil {
				sent[p] = append(sent[p], data)
			}
			for range rapid.IntRange(0, 3).Draw(t, "steps") {
				step()
			}
		}
		for step() {
		}
		require.Equal(t, sent, received)
	})
}

// A peer must not be able to exhaust the memory with a message that has no last chunk.
func TestOversizedMessagesAreRejected(t *testing.T) {
	var parts assembler
	chunk := make([]byte, chunkHeaderBytes+maxChunkBytes)
	for range MaxMessageBytes / maxChunkBytes {
		_, err := parts.add(chunk)
		require.NoError(t, err)
	}
	_, err := parts.add(chunk)
	require.True(t, isType(err, ErrMalformed))
	_, err = encodeMessage(message.Message{Forward: &message.Forward{Body: make([]byte, MaxMessageBytes)}})
	require.True(t, isType(err, ErrTooLarge))
}

// Arbitrary bytes from an authenticated but faulty peer must cause a typed error, never a panic or a message without a
// kind.
func FuzzDecodeFrame(f *testing.F) {
	f.Add([]byte{0x80, 0xa1, 0x01, 0xa0})
	f.Add([]byte{0x82, 0xa1, 0x07, 0xa1, 0x0e, 0x41, 0x00})
	f.Add([]byte{0x81, 0xa1, 0x06, 0xa1, 0x03, 0x9b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{0x00, 0x9f})
	f.Add([]byte{0x83, 0xa0})
	aead, err := newAEAD(testKey(1))
	require.NoError(f, err)
	f.Fuzz(func(t *testing.T, plain []byte) {
		o, s := opener{aead: aead}, sealer{aead: aead}
		_, err := o.open(plain)
		require.True(t, isType(err, ErrUnauthenticated), "bytes that are not sealed must not be accepted")
		opened, err := o.open(s.seal(plain))
		require.NoError(t, err)
		var parts assembler
		data, err := parts.add(opened)
		if err != nil || data == nil {
			require.True(t, err == nil || isType(err, ErrMalformed))
			return
		}
		decoded, err := decodeMessage(data)
		if err != nil {
			require.True(t, isType(err, ErrMalformed))
			return
		}
		_, err = encodeMessage(decoded)
		require.NoError(t, err)
	})
}
