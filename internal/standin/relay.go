package standin

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// relayBuffer is the size of the copy buffer of one direction, in bytes.
const relayBuffer = 32 << 10

// Direction is one of the two ways of a relayed connection.
type Direction int

// Directions of a connection.
const (
	ToTarget Direction = iota
	ToCaller
)

// Relay passes TCP connections on to an address. Connections can be slow, go silent in one direction or both, which
// keeps both sockets open and drops nothing but passes nothing on, or be cut.
type Relay struct {
	// Address is host:port of the relay.
	Address  string
	target   string
	listener net.Listener
	mutex    sync.Mutex
	lines    map[*Connection]struct{}
	refusing bool
	silent   [2]bool
	// delay is how long each part of a stream is held up, in nanoseconds.
	delay   atomic.Int64
	running sync.WaitGroup
}

// Connection is one relayed connection.
type Connection struct {
	caller, target net.Conn
	mutex          sync.Mutex
	resumed        *sync.Cond
	silent         [2]bool
	cut            bool
}

// NewRelay listens on a free loopback port and relays to target, host:port.
func NewRelay(target string) (*Relay, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	relay := &Relay{Address: listener.Addr().String(), target: target, listener: listener, lines: map[*Connection]struct{}{}}
	relay.running.Add(1)
	go relay.accept()
	return relay, nil
}

// Connections returns the open connections.
func (r *Relay) Connections() []*Connection {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	lines := make([]*Connection, 0, len(r.lines))
	for line := range r.lines {
		lines = append(lines, line)
	}
	return lines
}

// SetBlocked makes all open connections and all new ones silent, as a partition does, or lets them go on.
func (r *Relay) SetBlocked(silent bool) {
	r.SetDirectionBlocked(ToTarget, silent)
	r.SetDirectionBlocked(ToCaller, silent)
}

// SetDirectionBlocked makes one direction of all open connections and all new ones silent, or lets it go on.
func (r *Relay) SetDirectionBlocked(direction Direction, silent bool) {
	r.mutex.Lock()
	r.silent[direction] = silent
	r.mutex.Unlock()
	for _, line := range r.Connections() {
		line.setOneWay(direction, silent)
	}
}

// SetDelay holds up each part of every stream.
func (r *Relay) SetDelay(delay time.Duration) { r.delay.Store(int64(delay)) }

// SetRefusing closes new connections at once. Open ones go on.
func (r *Relay) SetRefusing(refusing bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.refusing = refusing
}

// CloseConnections closes all open connections.
func (r *Relay) CloseConnections() {
	for _, line := range r.Connections() {
		line.Close()
	}
}

// Close stops the relay and waits for its connections to end.
func (r *Relay) Close() {
	_ = r.listener.Close()
	r.SetRefusing(true)
	r.CloseConnections()
	r.running.Wait()
}

// SetBlocked makes the connection silent or lets it go on.
func (l *Connection) SetBlocked(silent bool) {
	l.setOneWay(ToTarget, silent)
	l.setOneWay(ToCaller, silent)
}

func (l *Connection) setOneWay(direction Direction, silent bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.silent[direction] = silent
	l.resumed.Broadcast()
}

// Close closes the connection on both sides.
func (l *Connection) Close() {
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
	line := &Connection{caller: caller, target: target}
	line.resumed = sync.NewCond(&line.mutex)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.refusing {
		line.Close()
		return
	}
	line.silent = r.silent
	r.lines[line] = struct{}{}
	r.running.Add(2)
	go r.pass(line, ToTarget, target, caller)
	go r.pass(line, ToCaller, caller, target)
}

// pass copies one direction until either side closes.
func (r *Relay) pass(line *Connection, direction Direction, to io.Writer, from io.Reader) {
	defer r.running.Done()
	buffer := make([]byte, relayBuffer)
	for {
		n, err := from.Read(buffer)
		time.Sleep(time.Duration(r.delay.Load()))
		if !line.waitWhileSilent(direction) {
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
	line.Close()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	delete(r.lines, line)
}

// waitWhileSilent returns false if the connection was cut.
func (l *Connection) waitWhileSilent(direction Direction) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for l.silent[direction] && !l.cut {
		l.resumed.Wait()
	}
	return !l.cut
}
