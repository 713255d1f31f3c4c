package upstream

import (
	"errors"
	"fmt"
	"io"
	"math"
	"sync/atomic"
)

const (
	// maxHeadBytes bounds the head of a response, with the informational responses before it.
	maxHeadBytes = 64 << 10
	// freeBodyBytes is the part of each body that does not count towards the memory for bodies, so that a few endless
	// responses do not keep a VM from receiving ordinary ones.
	freeBodyBytes = 64 << 10
	// defaultBodyMemory applies if Options.BodyMemory is 0.
	defaultBodyMemory = 32 << 20
	// unbounded is a number of bytes that no response reaches.
	unbounded = math.MaxInt
)

// errTooLong reports that a response has more bytes than its bound. A target in trouble can send bytes until its
// connection is closed.
var errTooLong = errors.New("response is too long")

// boundedReader reads from source and fails with errTooLong after a number of bytes.
type boundedReader struct {
	source io.Reader
	left   int
}

func (r *boundedReader) Read(buffer []byte) (int, error) {
	if r.left <= 0 {
		return 0, fmt.Errorf("%w: head exceeds %d bytes", errTooLong, maxHeadBytes)
	}
	n, err := r.source.Read(buffer[:min(len(buffer), r.left)])
	r.left -= n
	return n, err
}

// bodyMemory bounds the bytes that the bodies of all responses of a pool hold together, from their first byte until the
// response is released. It is safe for concurrent use.
type bodyMemory struct {
	total int64
	free  atomic.Int64
}

func newBodyMemory(bytes int64) *bodyMemory {
	m := &bodyMemory{total: bytes}
	m.free.Store(bytes)
	return m
}

// readAll reads a body to its end. The reservation is for the returned bytes; it is released on an error. readAll returns
// errTooLong, with what it has read, if there is no memory for the rest.
func (m *bodyMemory) readAll(body io.Reader) ([]byte, *reservation, error) {
	reader := &bodyReader{reserved: &reservation{memory: m}, source: body}
	read, err := io.ReadAll(reader)
	if err != nil {
		reader.reserved.release()
	}
	return read, reader.reserved, err
}

// take reserves memory. It returns false if there is not enough.
func (m *bodyMemory) take(bytes int64) bool {
	if m.free.Add(-bytes) >= 0 {
		return true
	}
	m.free.Add(bytes)
	return false
}

// reservation is the part of a bodyMemory that one body holds.
type reservation struct {
	memory *bodyMemory
	bytes  atomic.Int64
}

func (r *reservation) take(bytes int64) bool {
	if !r.memory.take(bytes) {
		return false
	}
	r.bytes.Add(bytes)
	return true
}

// release returns the memory. It may be called several times.
func (r *reservation) release() { r.memory.free.Add(r.bytes.Swap(0)) }

// bodyReader reads a body and reserves memory for what exceeds freeBodyBytes.
type bodyReader struct {
	reserved *reservation
	source   io.Reader
	read     int64
}

func (r *bodyReader) Read(buffer []byte) (int, error) {
	n, err := r.source.Read(buffer)
	r.read += int64(n)
	memory := r.reserved.memory
	if missing := r.read - freeBodyBytes - r.reserved.bytes.Load(); missing > 0 && !r.reserved.take(missing) {
		return n, fmt.Errorf("%w: %d bytes read, %d of %d bytes of the memory for bodies are free",
			errTooLong, r.read, memory.free.Load(), memory.total)
	}
	return n, err
}
