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

// bodyMemory bounds the bytes that the incomplete bodies of all connections of a pool hold together. It is safe for
// concurrent use.
type bodyMemory struct {
	total int64
	free  atomic.Int64
}

func newBodyMemory(bytes int64) *bodyMemory {
	m := &bodyMemory{total: bytes}
	m.free.Store(bytes)
	return m
}

// readAll reads a body to its end. It returns errTooLong, with what it has read, if there is no memory for the rest.
func (m *bodyMemory) readAll(body io.Reader) ([]byte, error) {
	reader := &bodyReader{memory: m, source: body}
	defer reader.release()
	return io.ReadAll(reader)
}

// take reserves memory. It returns false if there is not enough.
func (m *bodyMemory) take(bytes int64) bool {
	if m.free.Add(-bytes) >= 0 {
		return true
	}
	m.free.Add(bytes)
	return false
}

// bodyReader reads a body and reserves memory for what exceeds freeBodyBytes.
type bodyReader struct {
	memory *bodyMemory
	source io.Reader
	read   int64
	taken  int64
}

func (r *bodyReader) Read(buffer []byte) (int, error) {
	n, err := r.source.Read(buffer)
	r.read += int64(n)
	if missing := r.read - freeBodyBytes - r.taken; missing > 0 {
		if !r.memory.take(missing) {
			return n, fmt.Errorf("%w: %d bytes read, %d of %d bytes of the memory for bodies are free",
				errTooLong, r.read, r.memory.free.Load(), r.memory.total)
		}
		r.taken += missing
	}
	return n, err
}

func (r *bodyReader) release() { r.memory.free.Add(r.taken) }
