package model

import (
	"time"

	"github.com/google/uuid"
	"github.com/joomcode/errorx"
)

var (
	errNamespace = errorx.NewNamespace("model")
	// ErrRequestID reports a request ID that is not a UUIDv7.
	ErrRequestID = errNamespace.NewType("request_id")
)

const uuidVersion7 = 7

// RequestID identifies a request across all its attempts. It is a UUIDv7, whose first 48 bits are its creation time.
type RequestID uuid.UUID

// ParseRequestID parses a UUIDv7. It returns ErrRequestID for anything else.
func ParseRequestID(text string) (RequestID, error) {
	id, err := uuid.Parse(text)
	if err != nil {
		return RequestID{}, ErrRequestID.New("request ID is not a UUID")
	}
	if id.Version() != uuidVersion7 {
		return RequestID{}, ErrRequestID.New("request ID is a UUID of version %d, want version 7", id.Version())
	}
	return RequestID(id), nil
}

// NewRequestID returns a new request ID with the current time as its creation time.
func NewRequestID() RequestID { return RequestID(uuid.Must(uuid.NewV7())) }

// RequestIDAt returns a request ID with the given creation time and random part. It is for tests that run in virtual
// time.
func RequestIDAt(at time.Time, random uint64) RequestID {
	var id RequestID
	millis := uint64(at.UnixMilli())
	for i := range 6 {
		id[i] = byte(millis >> (40 - 8*i))
	}
	id[6] = uuidVersion7 << 4
	id[8] = 0x80
	for i := range 7 {
		id[9+i] = byte(random >> (48 - 8*i))
	}
	return id
}

// Time returns the creation time, with a resolution of 1 ms.
func (id RequestID) Time() time.Time {
	var millis int64
	for _, b := range id[:6] {
		millis = millis<<8 | int64(b)
	}
	return time.UnixMilli(millis)
}

// String formats the ID as a UUID.
func (id RequestID) String() string { return uuid.UUID(id).String() }
