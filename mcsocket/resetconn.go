package mcsocket

import (
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// ResetConn is a connection whose reads report a reset that a write has noticed. The kernel reports a reset
// only once: if a write takes the report, a read that follows returns the regular end, and a response without
// a length looks complete.
type ResetConn struct {
	net.Conn

	writeMu sync.Mutex
	// writeErr is the first error of a write other than a timeout.
	writeErr error
}

// Write writes to the connection.
func (c *ResetConn) Write(p []byte) (int, error) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	n, err := c.Conn.Write(p)
	if err != nil && c.writeErr == nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.writeErr = err
	}
	return n, err
}

// Read reads from the connection. If a write has failed, the end of the connection is returned as the error of
// that write.
func (c *ResetConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		if failed := c.endWrites(); failed != nil {
			err = errors.Wrap(failed, "end of the connection after a failed write")
		}
	}
	return n, err
}

// endWrites ends a write in progress and returns the error of the write that failed, if any.
func (c *ResetConn) endWrites() error {
	// The error is ignored: the deadline of a closed connection is not needed.
	_ = c.SetWriteDeadline(time.Unix(1, 0))
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	return c.writeErr
}
