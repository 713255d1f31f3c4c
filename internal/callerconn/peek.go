package callerconn

import (
	"errors"
	"syscall"

	"golang.org/x/sys/unix"
)

// isClosed reports whether the peer or this process has closed a connection on which all received bytes have been read.
func isClosed(raw syscall.RawConn) bool {
	unread, open := peek(raw)
	return !unread && !open
}

// hasUnread reports whether a connection has received bytes that have not been read.
func hasUnread(raw syscall.RawConn) bool {
	unread, _ := peek(raw)
	return unread
}

// peek reports whether a connection has unread bytes and whether more may come.
func peek(raw syscall.RawConn) (unread, open bool) {
	// Control is used instead of Read because Read waits for the server's own read of the connection. It fails if the server
	// has closed its end of the connection.
	if raw.Control(func(fd uintptr) { unread, open = peekSocket(fd) }) != nil {
		return false, false
	}
	return unread, open
}

// peekSocket is peek for a socket.
func peekSocket(fd uintptr) (unread, open bool) {
	var buffer [1]byte
	n, _, err := unix.Recvfrom(int(fd), buffer[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	for errors.Is(err, unix.EINTR) {
		n, _, err = unix.Recvfrom(int(fd), buffer[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	}
	switch {
	case errors.Is(err, unix.EAGAIN):
		return false, true
	case err != nil:
		return false, false
	default:
		return n > 0, n > 0
	}
}
