package target

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// Guards against connections to an unreachable target that stay open forever because the kernel does not probe them.
func TestConnectionsHaveTCPTimeouts(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	conn, err := newDialer(time.Second).Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	require.NoError(t, err)
	wanted := map[int]int{
		unix.TCP_USER_TIMEOUT: 2000, unix.TCP_KEEPIDLE: 1, unix.TCP_KEEPINTVL: 1, unix.TCP_KEEPCNT: 3,
	}
	for option, want := range wanted {
		require.NoError(t, raw.Control(func(fd uintptr) {
			value, err := unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, option)
			require.NoError(t, err)
			require.Equal(t, want, value, "option %d", option)
		}))
	}
}
