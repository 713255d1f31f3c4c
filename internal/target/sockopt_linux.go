package target

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// keepAliveInterval and keepAliveCount find an idle connection whose other end is unreachable within 4 s.
	keepAliveInterval = time.Second
	keepAliveCount    = 3
	// userTimeout is how long sent data may stay unacknowledged before the kernel breaks the connection.
	userTimeout = 2 * time.Second
)

func newDialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: setUserTimeout,
	}
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optionErr
}

// isQuiet reports whether an idle connection is open and has no unread bytes. Bytes on an idle connection belong to no
// request, so such a connection must not be used.
func isQuiet(conn net.Conn) bool {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var peeked [1]byte
		_, _, recvErr := unix.Recvfrom(int(fd), peeked[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = recvErr == unix.EAGAIN
		return true
	})
	return err == nil && quiet
}
