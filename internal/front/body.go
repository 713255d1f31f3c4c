package front

import (
	"errors"
	"io"

	"golang.org/x/sync/semaphore"
)

var (
	// ErrBodyTooLarge reports a body above the limit.
	ErrBodyTooLarge = errNamespace.NewType("body_too_large")
	// ErrMemoryExhausted reports that the memory limit for buffered bodies is reached.
	ErrMemoryExhausted = errNamespace.NewType("memory")
	// ErrBodyIncomplete reports a body that could not be read to its end.
	ErrBodyIncomplete = errNamespace.NewType("body_broken")
)

// initialBufferBytes is the initial size of a body's buffer; each growth doubles it.
const initialBufferBytes = 16 << 10

// bodyBuffer reads a body into memory that is reserved as the data arrives, not by Content-Length: a caller that
// declares a large body but sends no data cannot exhaust the memory.
type bodyBuffer struct {
	memory   *semaphore.Weighted
	reserved int64
	limit    int64
}

// read returns the whole body, or ErrBodyTooLarge, ErrMemoryExhausted or ErrBodyIncomplete. contentLength is -1 if the
// length is unknown.
func (b *bodyBuffer) read(source io.Reader, contentLength int64) ([]byte, error) {
	if contentLength > b.limit {
		return nil, ErrBodyTooLarge.New("the body has %d bytes, want at most %d", contentLength, b.limit)
	}
	var data []byte
	for {
		if len(data) == cap(data) {
			grown, err := b.grow(data, contentLength)
			if err != nil {
				return nil, err
			}
			data = grown
		}
		n, err := source.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if int64(len(data)) > b.limit {
			return nil, ErrBodyTooLarge.New("the body has more than %d bytes", b.limit)
		}
		if errors.Is(err, io.EOF) {
			return data, nil
		}
		if err != nil {
			return nil, ErrBodyIncomplete.Wrap(err, "the body ended after %d bytes", len(data))
		}
	}
}

// grow moves the data to a larger buffer. While both buffers exist, both are reserved. The buffer has one byte more
// than the limit or the declared length, so that the next read shows whether the body is longer.
func (b *bodyBuffer) grow(data []byte, contentLength int64) ([]byte, error) {
	size := min(max(2*int64(cap(data)), initialBufferBytes), b.limit+1)
	if contentLength >= 0 {
		size = min(size, max(contentLength, int64(cap(data)))+1)
	}
	if !b.memory.TryAcquire(size) {
		return nil, ErrMemoryExhausted.New("the memory for request bodies has less than %d bytes left", size)
	}
	grown := make([]byte, len(data), size)
	copy(grown, data)
	b.memory.Release(b.reserved)
	b.reserved = size
	return grown, nil
}

// release returns the reserved memory. The body must not be used afterwards.
func (b *bodyBuffer) release() {
	b.memory.Release(b.reserved)
	b.reserved = 0
}
