package mcforward

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"marigoldcroft/mcsocket"
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

// The kernel reports a reset only once. If a write takes the report, a read that follows
// returns the end of the connection, and a response without a length would look complete.
func TestResetThatAWriteReportsIsNoEnd(t *testing.T) {
	conn, peer := connect(t)
	require.NoError(t, peer.SetLinger(0))
	require.NoError(t, peer.Close())
	c := &countingConn{ResetConn: mcsocket.ResetConn{Conn: conn}}
	for err := error(nil); err == nil; {
		_, err = c.Write([]byte("x"))
	}
	_, err := c.Read(make([]byte, 1))
	require.Error(t, err)
	require.NotErrorIs(t, err, io.EOF)
}

// A peer may close its side while the request is still being sent and not read the rest of it.
// The end of its response must be returned at once and not as an error.
func TestEndWhileAWriteIsBlockedIsAnEnd(t *testing.T) {
	conn, peer := connect(t)
	c := &countingConn{ResetConn: mcsocket.ResetConn{Conn: conn}}
	written := make(chan error, 1)
	go func() {
		_, err := c.Write(make([]byte, 64<<20))
		written <- err
	}()
	_, err := peer.Read(make([]byte, 1))
	require.NoError(t, err)
	require.NoError(t, peer.CloseWrite())
	_, err = c.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
	require.ErrorIs(t, <-written, os.ErrDeadlineExceeded)
}

// connect returns both sides of a TCP connection.
func connect(t *testing.T) (conn net.Conn, peer *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	conn, err = net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	accepted, err := listener.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _ = accepted.Close() })
	return conn, accepted.(*net.TCPConn)
}
