package mcpeer

import (
	"net"
	"sync/atomic"
)

// ByteCounter counts the bytes sent and received over TCP connections. It includes TLS and HTTP/2
// framing and excludes TCP/IP headers. It is safe for concurrent use.
type ByteCounter struct {
	sent, received atomic.Uint64
}

// Sent returns the number of bytes written.
func (b *ByteCounter) Sent() uint64 { return b.sent.Load() }

// Received returns the number of bytes read.
func (b *ByteCounter) Received() uint64 { return b.received.Load() }

// countingConn adds the bytes read from and written to a connection to total.
type countingConn struct {
	net.Conn
	total *ByteCounter
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.total.received.Add(uint64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.total.sent.Add(uint64(n))
	return n, err
}
