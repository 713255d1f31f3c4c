package standin

import (
	"io"
	"net"
	"sync"
)

// relayBuffer is the size of the copy buffer of one direction, in bytes.
const relayBuffer = 32 << 10

// Relay passes TCP connections on to an address. Connections can go silent, which keeps both sockets open and drops
// nothing but passes nothing on, or be cut.
type Relay struct {
	// Address is host:port of the relay.
	Address  string
	target   string
	listener net.Listener
	mutex    sync.Mutex
	lines    map[*Line]struct{}
	refusing bool
	silent   bool
	running  sync.WaitGroup
}

// Line is one relayed connection.
type Line struct {
	caller, target net.Conn
	mutex          sync.Mutex
	resumed        *sync.Cond
	silent, cut    bool
}

// NewRelay listens on a free loopback port and relays to target, host:port.
func NewRelay(target string) (*Relay, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	relay := &Relay{Address: listener.Addr().String(), target: target, listener: listener, lines: map[*Line]struct{}{}}
	relay.running.Add(1)
	go relay.accept()
	return relay, nil
}

// Lines returns the open connections.
func (r *Relay) Lines() []*Line {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	lines := make([]*Line, 0, len(r.lines))
	for line := range r.lines {
		lines = append(lines, line)
	}
	return lines
}

// SetSilent makes all open connections and all new ones silent, as a partition does, or lets them go on.
func (r *Relay) SetSilent(silent bool) {
	r.mutex.Lock()
	r.silent = silent
	r.mutex.Unlock()
	for _, line := range r.Lines() {
		line.SetSilent(silent)
	}
}

// SetRefusing closes new connections at once. Open ones go on.
func (r *Relay) SetRefusing(refusing bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.refusing = refusing
}

// CutAll closes all open connections.
func (r *Relay) CutAll() {
	for _, line := range r.Lines() {
		line.Cut()
	}
}

// Close stops the relay and waits for its connections to end.
func (r *Relay) Close() {
	_ = r.listener.Close()
	r.SetRefusing(true)
	r.CutAll()
	r.running.Wait()
}

// SetSilent makes the connection silent or lets it go on.
func (l *Line) SetSilent(silent bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.silent = silent
	l.resumed.Broadcast()
}

// Cut closes the connection on both sides.
func (l *Line) Cut() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.cut = true
	l.resumed.Broadcast()
	_ = l.caller.Close()
	_ = l.target.Close()
}

func (r *Relay) accept() {
	defer r.running.Done()
	for {
		caller, err := r.listener.Accept()
		if err != nil {
			return
		}
		target, err := net.Dial("tcp", r.target)
		if err != nil {
			_ = caller.Close()
			continue
		}
		r.start(caller, target)
	}
}

func (r *Relay) start(caller, target net.Conn) {
	line := &Line{caller: caller, target: target}
	line.resumed = sync.NewCond(&line.mutex)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.refusing {
		line.Cut()
		return
	}
	line.silent = r.silent
	r.lines[line] = struct{}{}
	r.running.Add(2)
	go r.pass(line, target, caller)
	go r.pass(line, caller, target)
}

// pass copies one direction until either side closes.
func (r *Relay) pass(line *Line, to io.Writer, from io.Reader) {
	defer r.running.Done()
	buffer := make([]byte, relayBuffer)
	for {
		n, err := from.Read(buffer)
		if !line.waitWhileSilent() {
			break
		}
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	line.Cut()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	delete(r.lines, line)
}

// waitWhileSilent returns false if the connection was cut.
func (l *Line) waitWhileSilent() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for l.silent && !l.cut {
		l.resumed.Wait()
	}
	return !l.cut
}
