package callerconn

import "time"

// activity is what a connection is doing, as far as it matters for the choice of the connection that is closed when there are
// too many.
type activity uint8

const (
	// sendingFirstHead means that the caller has not sent a whole head since it connected.
	sendingFirstHead activity = iota
	// idle means that at least one request has been served and no whole head has arrived since.
	idle
	// sendingBody means that the server waits for more of a request's body.
	sendingBody
	// notReading means that the caller does not read the response.
	notReading
	// beingServed means that the caller waits for the server.
	beingServed
)

const (
	// minHeadTime is how long a new connection may take to send a head before it may be closed for another one. It covers
	// several round trips, so that ordinary callers are not closed when a crowd connects at once.
	minHeadTime = 500 * time.Millisecond
	// minStallTime is the same for a connection whose caller sends no more of a body, or does not read the response. It covers
	// the retransmission of a lost packet.
	minStallTime = 1500 * time.Millisecond
)

// occupant is a connection that may be closed for a new one.
type occupant struct {
	activity activity
	// lasting is the time since the activity began, or since the last progress in it.
	lasting time.Duration
}

// chooseVictim chooses the connection to close when a caller connects and the server has as many connections as it may. It
// answers a crowd of connections that stay open without completing a request, and favors those whose callers lose the least:
// connections that have never sent a request, then idle ones, then those without progress in a body or a response; the longest
// in that state first. A connection whose caller waits for the server is never closed. chooseVictim returns false if the new
// connection has to be refused.
func chooseVictim(occupants []occupant) (int, bool) {
	victim := -1
	for i, o := range occupants {
		if !o.mayClose() {
			continue
		}
		if victim < 0 || o.activity < occupants[victim].activity ||
			o.activity == occupants[victim].activity && o.lasting > occupants[victim].lasting {
			victim = i
		}
	}
	return victim, victim >= 0
}

func (o occupant) mayClose() bool {
	switch o.activity {
	case sendingFirstHead:
		return o.lasting >= minHeadTime
	case idle:
		return true
	case sendingBody, notReading:
		return o.lasting >= minStallTime
	}
	return false
}

const (
	// headLineBytes is the memory that a header field needs beside its text, in bytes: the entry of the header's map, its list
	// of values, and their copies in the request that is forwarded.
	headLineBytes = 160
	// headTextFactor is the number of copies of a head's text: as it was received, and as it is forwarded.
	headTextFactor = 2
	// FreeHeadBytes is the part of the memory of each head that does not count towards the memory for heads, so that ordinary
	// requests are served while other callers use up all of it. It is enough for 2 KB in 25 lines.
	FreeHeadBytes = 8 << 10
)

// headMemory returns the memory that a head of a number of lines and bytes needs once it is decoded, in bytes.
func headMemory(lines, bytes int) int64 { return int64(lines*headLineBytes + bytes*headTextFactor) }
