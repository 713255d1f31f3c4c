// Package bounds limits the memory that the heads and bodies of messages use. A target in trouble can send bytes until its
// connection is closed, and callers can send many large bodies at the same time.
package bounds

import (
	"errors"
	"fmt"
	"io"
	"math"
	"sync/atomic"
)

const (
	// MaxHeadBytes bounds the head of a response, with the informational responses before it.
	MaxHeadBytes = 64 << 10
	// FreeBodyBytes is the part of each body that does not count towards the memory for bodies, so that a few endless
	// responses do not keep a VM from receiving ordinary ones.
	FreeBodyBytes = 64 << 10
	// defaultBodyMemory is the memory for bodies if none is given.
	defaultBodyMemory = 32 << 20
)

// ErrTooLong reports that a head has more bytes than its bound, or that there is no memory for a body.
var ErrTooLong = errors.New("message is too long")

// HeadReader reads from a connection. While a head is read, it fails with ErrTooLong after MaxHeadBytes.
type HeadReader struct {
	source io.Reader
	left   int
}

// NewHeadReader returns a reader without a bound.
func NewHeadReader(source io.Reader) *HeadReader {
	return &HeadReader{source: source, left: math.MaxInt}
}

// BeginHead starts the bound.
func (r *HeadReader) BeginHead() { r.left = MaxHeadBytes }

// EndHead ends the bound.
func (r *HeadReader) EndHead() { r.left = math.MaxInt }

// Read implements io.Reader.
func (r *HeadReader) Read(buffer []byte) (int, error) {
	if r.left <= 0 {
		return 0, fmt.Errorf("%w: head exceeds %d bytes", ErrTooLong, MaxHeadBytes)
	}
	n, err := r.source.Read(buffer[:min(len(buffer), r.left)])
	r.left -= n
	return n, err
}

// BodyMemory bounds the bytes that bodies hold together, from their first byte until their reservation is released. It is
// safe for concurrent use.
type BodyMemory struct {
	total int64
	free  atomic.Int64
}

// NewBodyMemory returns a memory for a number of bytes; 0 means 32 MiB.
func NewBodyMemory(bytes int64) *BodyMemory {
	if bytes == 0 {
		bytes = defaultBodyMemory
	}
	m := &BodyMemory{total: bytes}
	m.free.Store(bytes)
	return m
}

// ReadAll reads a body to its end. The first FreeBodyBytes need no memory; the reservation is for the others and is released
// on an error. ReadAll returns ErrTooLong, with what it has read, if there is no memory for the rest.
func (m *BodyMemory) ReadAll(body io.Reader) ([]byte, *Reservation, error) {
	reader := &bodyReader{reserved: &Reservation{memory: m}, source: body}
	read, err := io.ReadAll(reader)
	if err != nil {
		reader.reserved.Release()
	}
	return read, reader.reserved, err
}

// ReadSized reads a body of a known length. Like ReadAll, but it reserves the memory before it reads, and returns ErrTooLong
// without reading if there is not enough. A body that exceeds the whole memory gets all of it if nothing else holds any.
func (m *BodyMemory) ReadSized(body io.Reader, length int64) ([]byte, *Reservation, error) {
	reserved := &Reservation{memory: m}
	if missing := min(length-FreeBodyBytes, m.total); missing > 0 && !reserved.take(missing) {
		return nil, reserved, fmt.Errorf("%w: %d bytes, %d of %d bytes of the memory for bodies are free", ErrTooLong, length, m.Free(), m.total)
	}
	read := make([]byte, length)
	_, err := io.ReadFull(body, read)
	if err != nil {
		reserved.Release()
	}
	return read, reserved, err
}

// Free returns the number of bytes that are not reserved.
func (m *BodyMemory) Free() int64 { return m.free.Load() }

// take reserves memory. It returns false if there is not enough.
func (m *BodyMemory) take(bytes int64) bool {
	if m.free.Add(-bytes) >= 0 {
		return true
	}
	m.free.Add(bytes)
	return false
}

// Reservation is the part of a BodyMemory that one body holds.
type Reservation struct {
	memory *BodyMemory
	bytes  atomic.Int64
}

func (r *Reservation) take(bytes int64) bool {
	if !r.memory.take(bytes) {
		return false
	}
	r.bytes.Add(bytes)
	return true
}

// Release returns the memory. It may be called several times and on nil.
func (r *Reservation) Release() {
	if r != nil {
		r.memory.free.Add(r.bytes.Swap(0))
	}
}

// bodyReader reads a body and reserves memory for what exceeds FreeBodyBytes.
type bodyReader struct {
	reserved *Reservation
	source   io.Reader
	read     int64
}

func (r *bodyReader) Read(buffer []byte) (int, error) {
	n, err := r.source.Read(buffer)
	r.read += int64(n)
	memory := r.reserved.memory
	if missing := r.read - FreeBodyBytes - r.reserved.bytes.Load(); missing > 0 && !r.reserved.take(missing) {
		return n, fmt.Errorf("%w: %d bytes read, %d of %d bytes of the memory for bodies are free",
			ErrTooLong, r.read, memory.Free(), memory.total)
	}
	return n, err
}
