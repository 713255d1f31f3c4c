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
	var n int
	var peekErr error
	// Control is used instead of Read because Read waits for the server's own read of the connection.
	err := raw.Control(func(fd uintptr) {
		var buffer [1]byte
		n, _, peekErr = unix.Recvfrom(int(fd), buffer[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	switch {
	case err != nil:
		// The server has closed its end of the connection.
		return false, false
	case errors.Is(peekErr, unix.EAGAIN), errors.Is(peekErr, unix.EINTR):
		return false, true
	case peekErr != nil:
		return false, false
	default:
		return n > 0, n > 0
	}
}
