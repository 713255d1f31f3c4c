package standin

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// relayBuffer is the size of the copy buffer for one direction, in bytes.
const relayBuffer = 32 << 10

// Direction is a direction of a relayed connection.
type Direction int

// Directions of a connection.
const (
	ToTarget Direction = iota
	ToCaller
)

// Relay relays TCP connections to an address. Connections can be delayed, closed, or blocked in one or both directions.
// A blocked connection keeps both sockets open and holds back its data without dropping any.
type Relay struct {
	// Address is the host:port of the relay.
	Address     string
	target      string
	listener    net.Listener
	mutex       sync.Mutex
	connections map[*Connection]struct{}
	refuseNew   bool
	blocked     [2]bool
	// delay is the time for which each chunk of data is held back, in nanoseconds.
	delay   atomic.Int64
	running sync.WaitGroup
}

// Connection is one relayed connection.
type Connection struct {
	caller, target net.Conn
	mutex          sync.Mutex
	unblocked      *sync.Cond
	blocked        [2]bool
	closed         bool
}

// NewRelay listens on a free loopback port and relays connections to target, host:port.
func NewRelay(target string) (*Relay, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	relay := &Relay{
		Address: listener.Addr().String(), target: target, listener: listener, connections: map[*Connection]struct{}{},
	}
	relay.running.Add(1)
	go relay.accept()
	return relay, nil
}

// Connections returns the open connections.
func (r *Relay) Connections() []*Connection {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	connections := make([]*Connection, 0, len(r.connections))
	for connection := range r.connections {
		connections = append(connections, connection)
	}
	return connections
}

// SetBlocked blocks or unblocks both directions of all open and new connections, as in a network partition.
func (r *Relay) SetBlocked(blocked bool) {
	r.SetDirectionBlocked(ToTarget, blocked)
	r.SetDirectionBlocked(ToCaller, blocked)
}

// SetDirectionBlocked blocks or unblocks one direction of all open and new connections.
func (r *Relay) SetDirectionBlocked(direction Direction, blocked bool) {
	r.mutex.Lock()
	r.blocked[direction] = blocked
	r.mutex.Unlock()
	for _, connection := range r.Connections() {
		connection.setDirectionBlocked(direction, blocked)
	}
}

// SetDelay sets the time for which each chunk of data is held back.
func (r *Relay) SetDelay(delay time.Duration) { r.delay.Store(int64(delay)) }

// SetRefusing sets whether new connections are closed immediately. Open connections are not affected.
func (r *Relay) SetRefusing(refuse bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.refuseNew = refuse
}

// CloseConnections closes all open connections.
func (r *Relay) CloseConnections() {
	for _, connection := range r.Connections() {
		connection.Close()
	}
}

// Close stops the relay, closes its connections and waits for them to end.
func (r *Relay) Close() {
	_ = r.listener.Close()
	r.SetRefusing(true)
	r.CloseConnections()
	r.running.Wait()
}

// SetBlocked blocks or unblocks both directions of the connection.
func (c *Connection) SetBlocked(blocked bool) {
	c.setDirectionBlocked(ToTarget, blocked)
	c.setDirectionBlocked(ToCaller, blocked)
}

func (c *Connection) setDirectionBlocked(direction Direction, blocked bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.blocked[direction] = blocked
	c.unblocked.Broadcast()
}

// Close closes the connection on both sides.
func (c *Connection) Close() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.closed = true
	c.unblocked.Broadcast()
	_ = c.caller.Close()
	_ = c.target.Close()
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
	connection := &Connection{caller: caller, target: target}
	connection.unblocked = sync.NewCond(&connection.mutex)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.refuseNew {
		connection.Close()
		return
	}
	connection.blocked = r.blocked
	r.connections[connection] = struct{}{}
	r.running.Add(2)
	go r.copyStream(connection, ToTarget, target, caller)
	go r.copyStream(connection, ToCaller, caller, target)
}

// copyStream copies one direction until either side closes, and then closes the connection.
func (r *Relay) copyStream(connection *Connection, direction Direction, to io.Writer, from io.Reader) {
	defer r.running.Done()
	buffer := make([]byte, relayBuffer)
	for {
		n, err := from.Read(buffer)
		time.Sleep(time.Duration(r.delay.Load()))
		if !connection.waitWhileBlocked(direction) {
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
	connection.Close()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	delete(r.connections, connection)
}

// waitWhileBlocked waits until the direction is unblocked. It returns false if the connection was closed.
func (c *Connection) waitWhileBlocked(direction Direction) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for c.blocked[direction] && !c.closed {
		c.unblocked.Wait()
	}
	return !c.closed
}
