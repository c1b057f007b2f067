// Package mcsocket opens TCP connections that detect an unresponsive peer within a set time.
package mcsocket

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// MaxResponseHeaderBytes limits the head of a response, interim responses included. The
	// known servers send less than 1 KB; net/http accepts 10 MiB by default, which many
	// faulty servers together could use to exhaust the memory of a small instance.
	MaxResponseHeaderBytes = 64 << 10
	// keepAliveInterval is the idle time before the first TCP keep-alive probe and the
	// interval between probes. One second is the smallest value that the kernel accepts.
	keepAliveInterval = time.Second
)

// NewDialer returns a dialer that gives up after connectTimeout. The kernel closes its
// connections when sent data or keep-alive probes stay unacknowledged for ackTimeout
// (TCP_USER_TIMEOUT). Without this option, a connection to a machine that lost power hangs
// for minutes.
func NewDialer(connectTimeout, ackTimeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         connectTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: 1},
		Control: func(_, _ string, c syscall.RawConn) error {
			var sockoptErr error
			err := c.Control(func(fd uintptr) {
				sockoptErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return sockoptErr
		},
	}
}
