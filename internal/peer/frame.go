package peer

import (
	"crypto/aes"
	"crypto/cipher"
	"encoding/binary"
)

// A frame is one WebSocket message: an 8-byte big-endian sequence number, followed by a chunk that is sealed with
// AES-256-GCM. The sequence number is both the nonce and the additional data. It starts at 0 and increases by 1, and
// each key is used for one direction of one connection only, so the decryption of a foreign, replayed, reordered or
// altered frame fails.
const (
	sessionKeyBytes = 32
	sequenceBytes   = 8
	gcmNonceBytes   = 12
	gcmTagBytes     = 16
	// maxChunkBytes bounds the delay of an urgent message by a chunk of a large one: 9 ms at 30 Mbit/s.
	maxChunkBytes = 32 << 10
	maxFrameBytes = sequenceBytes + chunkHeaderBytes + maxChunkBytes + gcmTagBytes
)

// sealer encrypts and authenticates the chunks of one direction of a connection.
type sealer struct {
	aead cipher.AEAD
	next uint64
}

// opener verifies and decrypts the frames of one direction of a connection.
type opener struct {
	aead cipher.AEAD
	next uint64
}

func newAEAD(key []byte) (cipher.AEAD, error) {
	block, err := aes.NewCipher(key)
	if err != nil {
		return nil, ErrUnauthenticated.Wrap(err, "the session key is invalid")
	}
	aead, err := cipher.NewGCM(block)
	if err != nil {
		return nil, ErrUnauthenticated.Wrap(err, "the session key is invalid")
	}
	return aead, nil
}

func frameNonce(sequence uint64) []byte {
	nonce := make([]byte, gcmNonceBytes)
	binary.BigEndian.PutUint64(nonce[gcmNonceBytes-sequenceBytes:], sequence)
	return nonce
}

// seal returns the next frame, which contains plain in sealed form.
func (s *sealer) seal(plain []byte) []byte {
	frame := make([]byte, sequenceBytes, sequenceBytes+len(plain)+gcmTagBytes)
	binary.BigEndian.PutUint64(frame, s.next)
	frame = s.aead.Seal(frame, frameNonce(s.next), plain, frame[:sequenceBytes])
	s.next++
	return frame
}

// open returns the plaintext of the next frame. It returns ErrUnauthenticated for any other frame.
func (o *opener) open(frame []byte) ([]byte, error) {
	if len(frame) < sequenceBytes+gcmTagBytes {
		return nil, ErrUnauthenticated.New("a frame has only %d bytes", len(frame))
	}
	if sequence := binary.BigEndian.Uint64(frame); sequence != o.next {
		return nil, ErrUnauthenticated.New("a frame has sequence number %d, want %d", sequence, o.next)
	}
	plain, err := o.aead.Open(nil, frameNonce(o.next), frame[sequenceBytes:], frame[:sequenceBytes])
	if err != nil {
		return nil, ErrUnauthenticated.New("frame %d failed authentication: it was altered or encrypted with another key", o.next)
	}
	o.next++
	return plain, nil
}
