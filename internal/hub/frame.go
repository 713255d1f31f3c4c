package hub

import (
	"bytes"
	"compress/flate"
	"io"
)

// The first byte of a frame gives the encoding of the message that follows.
const (
	framePlain    = 0
	frameDeflated = 1
)

// compressionThreshold is the message size, in bytes, from which messages are compressed. Smaller messages fit in a few
// packets. A large configuration has a few hundred kilobytes, which the leader sends to every VM over a link of a few
// Mbit/s.
const compressionThreshold = 2 << 10

// encodeFrame returns the frame for a message: the encoding byte and the message, deflated if it is large.
func encodeFrame(raw []byte) ([]byte, error) {
	if len(raw) < compressionThreshold {
		return append([]byte{framePlain}, raw...), nil
	}
	var compressed bytes.Buffer
	compressed.WriteByte(frameDeflated)
	writer, err := flate.NewWriter(&compressed, flate.BestSpeed)
	if err != nil {
		return nil, ErrLink.Wrap(err, "message cannot be compressed")
	}
	if _, err := writer.Write(raw); err != nil {
		return nil, ErrLink.Wrap(err, "message cannot be compressed")
	}
	if err := writer.Close(); err != nil {
		return nil, ErrLink.Wrap(err, "message cannot be compressed")
	}
	return compressed.Bytes(), nil
}

// decodeFrame returns the message in a frame. It returns ErrLink for a damaged frame and for a message of more than
// maxMessage bytes.
func decodeFrame(frame []byte) ([]byte, error) {
	if len(frame) == 0 {
		return nil, ErrLink.New("message is empty")
	}
	switch frame[0] {
	case framePlain:
		return frame[1:], nil
	case frameDeflated:
		reader := flate.NewReader(bytes.NewReader(frame[1:]))
		raw, err := io.ReadAll(io.LimitReader(reader, maxMessage+1))
		if err != nil {
			return nil, ErrLink.Wrap(err, "message cannot be decompressed")
		}
		if len(raw) > maxMessage {
			return nil, ErrLink.New("message exceeds %d bytes", maxMessage)
		}
		return raw, nil
	}
	return nil, ErrLink.New("message has unknown encoding %d", frame[0])
}
