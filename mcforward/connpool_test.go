package mcforward

import (
	"errors"
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// writeHook is a connection whose writes are handled by a callback.
type writeHook struct {
	net.Conn
	write func(p []byte) (int, error)
}

func (h writeHook) Write(p []byte) (int, error) { return h.write(p) }

// If bytes were counted only after Write returned, a response that arrives earlier would
// find the request counted as never sent, and the request could run twice.
func TestBytesAreCountedBeforeTheWrite(t *testing.T) {
	c := &countingConn{}
	c.Conn = writeHook{write: func(p []byte) (int, error) {
		require.EqualValues(t, len(p), c.written.Load(), "the peer has bytes that are not counted")
		return len(p), nil
	}}
	_, err := c.Write([]byte("GET / HTTP/1.1"))
	require.NoError(t, err)
	require.EqualValues(t, 14, c.written.Load())
}

// A write that fails before any byte is sent must count as nothing sent; otherwise the
// request would not be retried although it cannot have run.
func TestFailedWriteIsNotCounted(t *testing.T) {
	c := &countingConn{}
	c.Conn = writeHook{write: func([]byte) (int, error) { return 0, errors.New("reset") }}
	_, err := c.Write([]byte("GET"))
	require.Error(t, err)
	require.Zero(t, c.written.Load())
	c.Conn = writeHook{write: func([]byte) (int, error) { return 2, errors.New("reset") }}
	_, err = c.Write([]byte("GET"))
	require.Error(t, err)
	require.EqualValues(t, 2, c.written.Load())
}
