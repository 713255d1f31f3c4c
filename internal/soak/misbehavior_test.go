package soak

import (
	"bytes"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"
)

const (
	// drainBound is the time after a VM passed on the announcement of a stop from which requests that callers send to that VM
	// must not reach the server.
	drainBound = 2 * time.Second
	// pauseLength is the pause that servers ask for, pauseGrace the time until it binds, and maxPauseArrivals the number of
	// requests of a VM that may arrive in the rest of it.
	pauseLength      = 2 * time.Second
	pauseGrace       = 500 * time.Millisecond
	maxPauseArrivals = 2
)

// pair is a VM and an incarnation of a server.
type pair struct {
	vm, server  string
	incarnation int64
}

// pause is the time in which a server wants no requests from a VM.
type pause struct {
	from, until time.Time
	arrivals    int
}

// recordAnnouncement records that a VM passed on a response in which the server that ran the request announces its stop.
func (o *oracle) recordAnnouncement(request *requestRecord, id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, s := range o.servers {
		if runs := o.runs[id]; len(runs) > 0 && s.id == runs[len(runs)-1] && s.leaving {
			p := pair{vm: request.vm, server: s.id, incarnation: s.incarnation}
			if o.announced[p].IsZero() {
				o.announced[p] = time.Now()
			}
		}
	}
}

// recordVMFault records that a VM was restarted or paused, which excuses what it forgets.
func (o *oracle) recordVMFault(vm string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.vmFaultAt[vm] = time.Now()
}

// checkArrival checks that a VM may send a request to a server. The caller holds the mutex.
func (o *oracle) checkArrival(s *server, id string) {
	request := o.requests[id]
	now := time.Now()
	if request == nil || now.Before(s.disturbedUntil) {
		return
	}
	p := pair{vm: request.vm, server: s.id, incarnation: s.incarnation}
	faultAt := o.vmFaultAt[request.vm]
	if at := o.announced[p]; !at.IsZero() && request.sentAt.Sub(at) > drainBound && faultAt.Before(at) {
		o.addViolation("DRAIN: request %s reaches %s from %s, sent %v after the announcement", id, s.id, p.vm, request.sentAt.Sub(at))
	}
	asked := o.pauses[p]
	if asked == nil || now.Sub(asked.from) < pauseGrace || !now.Before(asked.until) || !faultAt.Before(asked.from) {
		return
	}
	if asked.arrivals++; asked.arrivals > maxPauseArrivals {
		o.addViolation("BUDGET: request %s reaches %s from %s, %v into a pause", id, s.id, p.vm, now.Sub(asked.from))
	}
}

// askForPause asks the VM of a rejected request for a pause. The caller holds the oracle's mutex.
func (s *server) askForPause(w http.ResponseWriter, id string) {
	w.Header().Set("Retry-After", strconv.Itoa(int(pauseLength.Seconds())))
	request := s.oracle.requests[id]
	if request == nil {
		return
	}
	p := pair{vm: request.vm, server: s.id, incarnation: s.incarnation}
	now := time.Now()
	if asked := s.oracle.pauses[p]; asked == nil || !now.Before(asked.until) {
		s.oracle.pauses[p] = &pause{from: now, until: now.Add(pauseLength)}
	}
}

// announceStop makes the server announce its stop in its responses while it is still registered as ready.
func (s *server) announceStop() {
	s.oracle.mu.Lock()
	defer s.oracle.mu.Unlock()
	s.leaving = true
}

func misbehave(i *injector, s *server, r *rand.Rand) {
	pauses, omitsIDs := r.IntN(2) == 0, r.IntN(2) == 0
	i.logf("%s repeats rejections and releases; asks for pauses: %t, omits IDs of rejections: %t", s.id, pauses, omitsIDs)
	s.setMisbehavior(true, pauses, omitsIDs)
	time.Sleep(randomDuration(r, 5*time.Second))
	s.setMisbehavior(false, false, false)
}

func (s *server) setMisbehavior(repeats, pauses, omitsIDs bool) {
	s.oracle.mu.Lock()
	defer s.oracle.mu.Unlock()
	s.repeats, s.pauses, s.omitsIDs = repeats, pauses, omitsIDs
}

// repeatingListener accepts connections on which a server repeats responses.
type repeatingListener struct {
	net.Listener
	server *server
}

func (l repeatingListener) Accept() (net.Conn, error) {
	socket, err := l.Listener.Accept()
	return &repeatingConn{Conn: socket, server: l.server}, err
}

// repeatingConn writes a rejection or the response to a release once more before the next response, while its server
// repeats responses. The HTTP server writes each response at once.
type repeatingConn struct {
	net.Conn
	server *server
	last   []byte
}

func (c *repeatingConn) Write(response []byte) (int, error) {
	c.server.oracle.mu.Lock()
	repeats := c.server.repeats
	c.server.oracle.mu.Unlock()
	if repeats && c.last != nil {
		if _, err := c.Conn.Write(c.last); err != nil {
			return 0, err
		}
	}
	c.last = nil
	if text := c.server.endlessText(); text != nil {
		return 0, c.writeEndlessly(response, text)
	}
	isRejection := bytes.HasPrefix(response, []byte("HTTP/1.1 503")) || bytes.HasPrefix(response, []byte("HTTP/1.1 421"))
	if isRejection || bytes.Contains(response, []byte("X-Tarragonpoint-Handover")) {
		c.last = bytes.Clone(response)
	}
	return c.Conn.Write(response)
}

// endlessText returns what the server repeats without end in place of each response; nil if it responds.
func (s *server) endlessText() []byte {
	s.oracle.mu.Lock()
	defer s.oracle.mu.Unlock()
	return s.endless
}

// writeEndlessly writes the head of a response, and then a text until the connection is closed.
func (c *repeatingConn) writeEndlessly(response, text []byte) error {
	head, _, _ := bytes.Cut(response, []byte("\r\nContent-Length"))
	if _, err := c.Conn.Write(append(bytes.Clone(head), "\r\n"...)); err != nil {
		return err
	}
	for {
		if _, err := c.Conn.Write(text); err != nil {
			return err
		}
	}
}
