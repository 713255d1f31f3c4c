package front

import (
	"errors"
	"net"
	"sync"
	"syscall"
)

// limitedListener accepts a connection only while fewer than the limit are open. Further connections wait in the
// operating system's accept queue.
type limitedListener struct {
	net.Listener
	slots  chan struct{}
	closed chan struct{}
	once   sync.Once
}

func newLimitedListener(inner net.Listener, limit int) *limitedListener {
	return &limitedListener{Listener: inner, slots: make(chan struct{}, limit), closed: make(chan struct{})}
}

// Accept waits until the limit permits a connection and one arrives. It returns net.ErrClosed after Close.
func (l *limitedListener) Accept() (net.Conn, error) {
	select {
	case l.slots <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	conn, err := l.Listener.Accept()
	if err != nil {
		<-l.slots
		return nil, err
	}
	return &limitedConn{Conn: conn, release: func() { <-l.slots }}, nil
}

// Close stops accepting. Open connections stay open.
func (l *limitedListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// limitedConn is a connection that counts toward the limit until it is closed.
type limitedConn struct {
	net.Conn
	release func()
	once    sync.Once
}

// SyscallConn returns the raw connection, by which the disconnection of the caller is detected.
func (c *limitedConn) SyscallConn() (syscall.RawConn, error) {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return socket.SyscallConn()
}

// Close closes the connection, which then no longer counts toward the limit.
func (c *limitedConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(c.release)
	return err
}
