package peer

import (
	"github.com/tarragonpoint/tarragonpoint/internal/message"
)

// priority orders the messages of a connection. A lower value is sent first, between the chunks of larger messages.
type priority uint8

const (
	// urgent is for small control messages that failure detection and leases depend on.
	urgent priority = iota
	// transfer is for records and tables, which can be large.
	transfer
	// request is for forwarded requests and their replies.
	request
	priorityCount
)

// priorityOf returns the priority of a message. A cancellation stays behind the request that it cancels.
func priorityOf(m message.Message) priority {
	switch {
	case m.Forward != nil, m.ForwardReply != nil, m.CancelForward != nil:
		return request
	case m.Records != nil, m.FetchRecords != nil, m.Handover != nil:
		return transfer
	default:
		return urgent
	}
}

// A chunk is a header byte and up to maxChunkBytes of a message. The header holds the priority and whether the chunk is the last
// of its message.
const (
	chunkHeaderBytes = 1
	chunkLast        = 0x80
	chunkPriority    = 0x7f
)

func chunkHeader(p priority, last bool) byte {
	if last {
		return byte(p) | chunkLast
	}
	return byte(p)
}

// assembler joins the chunks of one connection to messages.
type assembler struct {
	partial [priorityCount][]byte
}

// add takes the plaintext of a frame. It returns the encoded message when the chunk completes one, nil otherwise, and
// ErrMalformed for a chunk that does not fit.
func (a *assembler) add(plain []byte) ([]byte, error) {
	if len(plain) <= chunkHeaderBytes || len(plain) > chunkHeaderBytes+maxChunkBytes {
		return nil, ErrMalformed.New("a chunk has %d bytes", len(plain))
	}
	p := priority(plain[0] & chunkPriority)
	if p >= priorityCount {
		return nil, ErrMalformed.New("a chunk has priority %d", p)
	}
	joined := append(a.partial[p], plain[chunkHeaderBytes:]...)
	if len(joined) > MaxMessageBytes {
		return nil, ErrMalformed.New("a message exceeds %d bytes", MaxMessageBytes)
	}
	if plain[0]&chunkLast == 0 {
		a.partial[p] = joined
		return nil, nil
	}
	a.partial[p] = nil
	return joined, nil
}
