package mcpeer

import (
	"net"
	"sync/atomic"
)

// Bytes counts what went over TCP connections, TLS and HTTP/2 framing included and
// TCP/IP headers excluded. Safe for use from many goroutines.
type Bytes struct {
	sent, received atomic.Uint64
}

// Sent returns the bytes written.
func (b *Bytes) Sent() uint64 { return b.sent.Load() }

// Received returns the bytes read.
func (b *Bytes) Received() uint64 { return b.received.Load() }

// countedConn adds the bytes of a connection to total.
type countedConn struct {
	net.Conn
	total *Bytes
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.total.received.Add(uint64(n))
	return n, err
}

func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.total.sent.Add(uint64(n))
	return n, err
}

// countedListener counts the bytes of accepted connections.
type countedListener struct {
	net.Listener
	total *Bytes
}

func (l countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countedConn{conn, l.total}, nil
}
