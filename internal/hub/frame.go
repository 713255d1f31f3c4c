package hub

import (
	"bytes"
	"compress/flate"
	"io"
)

// The first byte of a message says how the rest is encoded.
const (
	framePlain    = 0
	frameDeflated = 1
)

// compressFrom is the size in bytes from which a message is compressed. Smaller ones fit in a few packets. A large
// configuration has some hundred kilobytes, which the leader sends to every VM over a link of a few Mbit/s.
const compressFrom = 2 << 10

// encodeFrame returns a message as it is sent.
func encodeFrame(raw []byte) ([]byte, error) {
	if len(raw) < compressFrom {
		return append([]byte{framePlain}, raw...), nil
	}
	var packed bytes.Buffer
	packed.WriteByte(frameDeflated)
	writer, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err != nil {
		return nil, ErrLink.Wrap(err, "message cannot be compressed")
	}
	if _, err := writer.Write(raw); err != nil {
		return nil, ErrLink.Wrap(err, "message cannot be compressed")
	}
	if err := writer.Close(); err != nil {
		return nil, ErrLink.Wrap(err, "message cannot be compressed")
	}
	return packed.Bytes(), nil
}

// decodeFrame returns the message of a frame. It returns ErrLink for a damaged frame and for a message of more than
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
	return nil, ErrLink.New("message has encoding %d", frame[0])
}
