package hub

import (
	"encoding/binary"
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

// frameAged is the first byte of a frame that carries the time at which it was sent, its age and another frame.
const frameAged = 2

// ageHeader is what an aged frame states besides the frame in it.
type ageHeader struct {
	// sentAt is a reading of the sender's clock, in milliseconds.
	sentAt uint64
	// age is the time that the frame spent on the way to its sender and in there, in milliseconds.
	age uint64
	// isReadByRelay is true if the records were not relayed by a leader.
	isReadByRelay bool
}

// encode returns the aged frame for a frame.
func (h ageHeader) encode(frame []byte) []byte {
	aged := make([]byte, 0, len(frame)+2*binary.MaxVarintLen64+2)
	aged = append(aged, frameAged)
	aged = binary.AppendUvarint(aged, h.sentAt)
	aged = binary.AppendUvarint(aged, h.age)
	flags := byte(0)
	if h.isReadByRelay {
		flags = 1
	}
	return append(append(aged, flags), frame...)
}

// decodeAged returns the header of an aged frame and the frame in it. It returns ErrLink for a damaged frame. Other frames
// have no header, and decodeAged returns false for them.
func decodeAged(aged []byte) (header ageHeader, frame []byte, isAged bool, err error) {
	if len(aged) == 0 || aged[0] != frameAged {
		return ageHeader{}, aged, false, nil
	}
	rest := aged[1:]
	sentAt, length := binary.Uvarint(rest)
	if length <= 0 {
		return ageHeader{}, nil, true, ErrLink.New("message has a damaged time")
	}
	rest = rest[length:]
	age, length := binary.Uvarint(rest)
	if length <= 0 || len(rest) <= length || age > maxAge {
		return ageHeader{}, nil, true, ErrLink.New("message has a damaged age")
	}
	rest = rest[length:]
	return ageHeader{sentAt: sentAt, age: age, isReadByRelay: rest[0]&1 != 0}, rest[1:], true, nil
}

// maxAge is the highest age of a frame, in milliseconds.
const maxAge = uint64(time.Hour / time.Millisecond)

func milliseconds(at model.Instant) uint64 { return uint64(max(0, time.Duration(at).Milliseconds())) }

// delayWindow is the time for which the fastest message counts. The clocks of two VMs may drift by 2 % against each other,
// which is 0.1 s in that time.
const delayWindow = 5 * time.Second

// delayEstimator estimates for how long messages were on their way, by comparison with the fastest ones. A message that
// waited in a queue, on a saturated link or in the sockets of a paused VM counts as late by that time.
type delayEstimator struct {
	// fastest is the lowest difference between the clocks of receiver and sender in this window and in the one before.
	fastest, fastestBefore int64
	windowStart            model.Instant
	hasWindow, hasBefore   bool
}

// delay returns the delay of a message that arrives now and was sent at a reading of the sender's clock, in milliseconds.
func (d *delayEstimator) delay(now model.Instant, sentAt uint64) time.Duration {
	difference := int64(milliseconds(now)) - int64(sentAt)
	if d.hasWindow && now.Sub(d.windowStart) >= delayWindow {
		d.fastestBefore, d.hasBefore = d.fastest, true
		d.hasWindow = false
	}
	if !d.hasWindow {
		d.fastest, d.windowStart, d.hasWindow = difference, now, true
	}
	d.fastest = min(d.fastest, difference)
	fastest := d.fastest
	if d.hasBefore {
		fastest = min(fastest, d.fastestBefore)
	}
	return time.Duration(difference-fastest) * time.Millisecond
}
