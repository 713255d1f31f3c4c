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
	// callerFreeBytes is FreeBodyBytes for bodies of callers. It is smaller, because a VM has far more callers than targets.
	callerFreeBytes = 4 << 10
	// largeBodyBytes is the size from which a caller's body leaves a part of the memory to smaller ones, and callerReserve is that
	// part. A few large bodies that never end would otherwise keep ordinary ones out.
	largeBodyBytes = 1 << 20
	callerReserve  = 1.0 / 4
	// growthFactor is the memory that a body of unknown length needs while it grows, relative to its length.
	growthFactor = 2
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
	// freeBytes is the part of each body that does not count.
	freeBytes int64
	// reserve is the part of the memory that large bodies leave to others.
	reserve int64
	// growth is the memory that a body of unknown length needs, relative to its length.
	growth int64
}

// NewBodyMemory returns a memory for a number of bytes; 0 means 32 MiB.
func NewBodyMemory(bytes int64) *BodyMemory {
	if bytes == 0 {
		bytes = defaultBodyMemory
	}
	m := &BodyMemory{total: bytes, freeBytes: FreeBodyBytes, growth: 1}
	m.free.Store(bytes)
	return m
}

// NewCallerBodyMemory returns a memory for the bodies of callers' requests. Large bodies leave a quarter of it to others, and
// only the first 4 KiB of each body do not count.
func NewCallerBodyMemory(bytes int64) *BodyMemory {
	m := NewBodyMemory(bytes)
	m.freeBytes, m.reserve, m.growth = callerFreeBytes, int64(float64(m.total)*callerReserve), growthFactor
	return m
}

// reserveFor returns the number of bytes that a body of a length leaves to others.
func (m *BodyMemory) reserveFor(length int64) int64 {
	if length < largeBodyBytes {
		return 0
	}
	return m.reserve
}

// Extend makes a reservation of the memory hold at least a number of bytes. It returns false and changes nothing if there is not
// enough memory. It must not be called concurrently for one reservation.
func (m *BodyMemory) Extend(r *Reservation, bytes int64) bool {
	r.memory = m
	missing := bytes - r.bytes.Load()
	return missing <= 0 || r.take(missing, 0)
}

// ReadAll reads a body to its end. Its first bytes need no memory; the reservation is for the others and is released
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
	keep := m.reserveFor(length)
	if missing := min(length-m.freeBytes, m.total-keep); missing > 0 && !reserved.take(missing, keep) {
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

// take reserves memory. It returns false if fewer than keep bytes would be left.
func (m *BodyMemory) take(bytes, keep int64) bool {
	if m.free.Add(-bytes) >= keep {
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

func (r *Reservation) take(bytes, keep int64) bool {
	if !r.memory.take(bytes, keep) {
		return false
	}
	r.bytes.Add(bytes)
	return true
}

// Release returns the memory. It may be called several times and on nil.
func (r *Reservation) Release() {
	if r == nil {
		return
	}
	if bytes := r.bytes.Swap(0); bytes > 0 {
		r.memory.free.Add(bytes)
	}
}

// bodyReader reads a body and reserves memory for what exceeds the part that does not count.
type bodyReader struct {
	reserved *Reservation
	source   io.Reader
	read     int64
}

func (r *bodyReader) Read(buffer []byte) (int, error) {
	n, err := r.source.Read(buffer)
	r.read += int64(n)
	memory := r.reserved.memory
	missing := r.read*memory.growth - memory.freeBytes - r.reserved.bytes.Load()
	if missing > 0 && !r.reserved.take(missing, memory.reserveFor(r.read)) {
		return n, fmt.Errorf("%w: %d bytes read, %d of %d bytes of the memory for bodies are free",
			ErrTooLong, r.read, memory.Free(), memory.total)
	}
	return n, err
}
