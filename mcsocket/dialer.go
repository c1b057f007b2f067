// Package mcsocket opens TCP connections that detect an unresponsive peer within a set time.
package mcsocket

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// probeInterval is the idle time before the first TCP keep-alive probe and the interval
// between probes. One second is the smallest value that the kernel accepts.
const probeInterval = time.Second

// Dialer returns a dialer with the connect timeout. The kernel closes its connections when
// sent data or keep-alive probes stay unacknowledged for the duration of silence
// (TCP_USER_TIMEOUT). Without this option, a connection to a machine that lost power hangs
// for minutes.
func Dialer(connect, silence time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         connect,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeInterval, Interval: probeInterval, Count: 1},
		Control: func(_, _ string, c syscall.RawConn) error {
			var failed error
			err := c.Control(func(fd uintptr) {
				failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silence.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return failed
		},
	}
}
