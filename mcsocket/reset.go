package mcsocket

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"time"
)

type (
	// ResetConn is a connection that reports a reset to its reader, even if a write was the first to
	// notice it. The kernel reports a reset only once, and later reads return the regular end of the
	// connection: an answer without a length would look complete.
	ResetConn struct {
		net.Conn

		writeMu sync.Mutex
		// writeErr is the first error of a write other than a timeout.
		writeErr error
	}

	// DialFunc opens a connection, as the DialContext method of net.Dialer does.
	DialFunc func(ctx context.Context, network, address string) (net.Conn, error)
)

// ReportResets returns a dial function whose connections are of type *ResetConn.
func ReportResets(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &ResetConn{Conn: conn}, nil
	}
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

// Read reads from the connection. It returns the error of a failed write in place of the end of the
// connection.
func (c *ResetConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		if failed := c.endWrites(); failed != nil {
			err = fmt.Errorf("end of the connection after a failed write: %w", failed)
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
