package peer

import (
	"github.com/tarragonpoint/tarragonpoint/internal/message"
)

// priority orders the messages of a connection. Messages with a lower value are sent first, also between the chunks of
// a large message with a higher value.
type priority uint8

const (
	// urgent is for small control messages, on which failure detection and leases depend.
	urgent priority = iota
	// transfer is for records and tables, which can be large.
	transfer
	// request is for forwarded requests and their replies.
	request
	priorityCount
)

// priorityOf returns the priority of a message. A cancellation has the priority of the request that it cancels, so that
// it arrives after it.
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

// A chunk consists of a header byte and up to maxChunkBytes of a message. The header contains the priority and a flag
// for the last chunk of a message.
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

// assembler reassembles messages from the chunks of one connection.
type assembler struct {
	partial [priorityCount][]byte
}

// add adds the chunk in the plaintext of a frame. It returns the encoded message if the chunk completes one, otherwise
// nil. It returns ErrMalformed for an invalid chunk and for a message above MaxMessageBytes.
func (a *assembler) add(plain []byte) ([]byte, error) {
	if len(plain) <= chunkHeaderBytes || len(plain) > chunkHeaderBytes+maxChunkBytes {
		return nil, ErrMalformed.New("a chunk has an invalid size of %d bytes", len(plain))
	}
	p := priority(plain[0] & chunkPriority)
	if p >= priorityCount {
		return nil, ErrMalformed.New("a chunk has unknown priority %d", p)
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
