package mcsocket_test

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"marigoldcroft/mcsocket"
)

// Guards against connections that lack TCP_USER_TIMEOUT or keep-alive probes and so stay
// open when the peer's machine loses power or network access.
func TestDialerSetsTimeouts(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	conn, err := mcsocket.NewDialer(time.Second, 800*time.Millisecond).DialContext(t.Context(), "tcp", listener.Addr().String())
	require.NoError(t, err)
	defer conn.Close()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	require.NoError(t, err)
	options := map[int]int{unix.TCP_USER_TIMEOUT: 800, unix.TCP_KEEPIDLE: 1, unix.TCP_KEEPINTVL: 1, unix.TCP_KEEPCNT: 1}
	require.NoError(t, raw.Control(func(fd uintptr) {
		for option, want := range options {
			got, err := unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, option)
			require.NoError(t, err)
			require.Equal(t, want, got)
		}
		alive, err := unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_KEEPALIVE)
		require.NoError(t, err)
		require.Equal(t, 1, alive)
	}))
}
