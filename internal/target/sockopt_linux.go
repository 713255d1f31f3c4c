package target

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// keepAliveInterval and keepAliveCount detect within 4 s that the remote end of an idle connection is unreachable.
	keepAliveInterval = time.Second
	keepAliveCount    = 3
	// userTimeout is how long sent data may stay unacknowledged before the kernel closes the connection.
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

// isUsable reports whether an idle connection is open and has no unread bytes. Bytes received on an idle connection
// belong to no request, so such a connection must not be reused.
func isUsable(conn net.Conn) bool {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	usable := false
	err = raw.Read(func(fd uintptr) bool {
		var peeked [1]byte
		_, _, recvErr := unix.Recvfrom(int(fd), peeked[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		usable = recvErr == unix.EAGAIN
		return true
	})
	return err == nil && usable
}
