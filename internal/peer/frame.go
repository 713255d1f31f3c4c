package peer

import (
	"crypto/aes"
	"crypto/cipher"
	"encoding/binary"
)

// A frame is one WebSocket message: an 8-byte big-endian sequence number and a chunk sealed with AES-256-GCM. The sequence
// number is the nonce and additional data. It starts at 0 and grows by 1, and the key serves one direction of one
// connection, so a foreign, replayed, reordered or altered frame does not open.
const (
	sessionKeyBytes = 32
	sequenceBytes   = 8
	gcmNonceBytes   = 12
	gcmTagBytes     = 16
	// maxChunkBytes bounds the time for which a chunk of a large message delays an urgent one: 9 ms at 30 Mbit/s.
	maxChunkBytes = 32 << 10
	maxFrameBytes = sequenceBytes + chunkHeaderBytes + maxChunkBytes + gcmTagBytes
)

// sealer seals the chunks of one direction of a connection.
type sealer struct {
	aead cipher.AEAD
	next uint64
}

// opener opens the frames of one direction of a connection.
type opener struct {
	aead cipher.AEAD
	next uint64
}

func newAEAD(key []byte) (cipher.AEAD, error) {
	block, err := aes.NewCipher(key)
	if err != nil {
		return nil, ErrUnauthenticated.Wrap(err, "the key of the connection is unusable")
	}
	aead, err := cipher.NewGCM(block)
	if err != nil {
		return nil, ErrUnauthenticated.Wrap(err, "the key of the connection is unusable")
	}
	return aead, nil
}

func frameNonce(sequence uint64) []byte {
	nonce := make([]byte, gcmNonceBytes)
	binary.BigEndian.PutUint64(nonce[gcmNonceBytes-sequenceBytes:], sequence)
	return nonce
}

// seal returns the next frame.
func (s *sealer) seal(plain []byte) []byte {
	frame := make([]byte, sequenceBytes, sequenceBytes+len(plain)+gcmTagBytes)
	binary.BigEndian.PutUint64(frame, s.next)
	frame = s.aead.Seal(frame, frameNonce(s.next), plain, frame[:sequenceBytes])
	s.next++
	return frame
}

// open returns the plaintext of the next frame, or ErrUnauthenticated.
func (o *opener) open(frame []byte) ([]byte, error) {
	if len(frame) < sequenceBytes+gcmTagBytes {
		return nil, ErrUnauthenticated.New("a frame has %d bytes", len(frame))
	}
	if sequence := binary.BigEndian.Uint64(frame); sequence != o.next {
		return nil, ErrUnauthenticated.New("a frame has sequence number %d, want %d", sequence, o.next)
	}
	plain, err := o.aead.Open(nil, frameNonce(o.next), frame[sequenceBytes:], frame[:sequenceBytes])
	if err != nil {
		return nil, ErrUnauthenticated.New("frame %d is foreign or altered", o.next)
	}
	o.next++
	return plain, nil
}
