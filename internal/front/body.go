package front

import (
	"errors"
	"io"

	"golang.org/x/sync/semaphore"
)

var (
	// ErrBodyTooLarge reports a body above the limit.
	ErrBodyTooLarge = errNamespace.NewType("body_too_large")
	// ErrMemoryExhausted reports that the memory for bodies is used up.
	ErrMemoryExhausted = errNamespace.NewType("memory")
	// ErrBodyIncomplete reports a body that did not arrive whole.
	ErrBodyIncomplete = errNamespace.NewType("body_broken")
)

// firstBufferBytes is the first step of a body's buffer; each further step doubles it.
const firstBufferBytes = 16 << 10

// bodyBuffer reads a body into memory that is reserved as it arrives, not as it is announced: a caller that announces much and sends
// nothing holds nothing.
type bodyBuffer struct {
	memory   *semaphore.Weighted
	reserved int64
	limit    int64
}

// read returns the whole body, or ErrBodyTooLarge, ErrMemory or ErrBodyBroken. announced is -1 if the length is unknown.
func (b *bodyBuffer) read(source io.Reader, announced int64) ([]byte, error) {
	if announced > b.limit {
		return nil, ErrBodyTooLarge.New("the body has %d bytes, want at most %d", announced, b.limit)
	}
	var data []byte
	for {
		if len(data) == cap(data) {
			grown, err := b.grow(data, announced)
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

// grow moves the data to a larger buffer. Both buffers are reserved while they exist. The last byte beyond the limit or the
// announced length shows whether there is more.
func (b *bodyBuffer) grow(data []byte, announced int64) ([]byte, error) {
	size := min(max(2*int64(cap(data)), firstBufferBytes), b.limit+1)
	if announced >= 0 {
		size = min(size, max(announced, int64(cap(data)))+1)
	}
	if !b.memory.TryAcquire(size) {
		return nil, ErrMemoryExhausted.New("no memory for %d bytes of a body", size)
	}
	grown := make([]byte, len(data), size)
	copy(grown, data)
	b.memory.Release(b.reserved)
	b.reserved = size
	return grown, nil
}

// release returns the reserved memory once the body is not needed any more.
func (b *bodyBuffer) release() {
	b.memory.Release(b.reserved)
	b.reserved = 0
}
