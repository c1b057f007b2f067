package mcforward_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a request that a stop takes long after it refuses new ones, and ends: its body
// was still arriving.
func TestStopRefusesBodiesThatEndLate(t *testing.T) {
	b := newTestBed(t, 1)
	b.servers[0].CallTime = time.Second
	conn := b.sendHalfBody("/once/x", 2500*time.Millisecond)
	b.forwarder.Drain(time.Now().Add(500 * time.Millisecond))
	b.forwarder.RefuseNew()
	time.AfterFunc(600*time.Millisecond, b.forwarder.Abort)
	_, err := io.WriteString(conn, "rest")
	require.NoError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	defer response.Body.Close()
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.Empty(t, b.runs())
}

// Guards against a stop that waits to its end for a body that stalls, although it refuses the
// request in any case.
func TestStopWaitsBrieflyForBodiesThatItRefuses(t *testing.T) {
	b := newTestBed(t, 1)
	conn := b.sendHalfBody("/patient/x", 20*time.Second)
	begun := time.Now()
	b.forwarder.Drain(begun.Add(5 * time.Second))
	b.forwarder.RefuseNew()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	defer response.Body.Close()
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.Less(t, time.Since(begun), 2500*time.Millisecond)
}

// Guards against connections that stay open without end, each with a goroutine, because a caller
// stalls in a body after its request was answered.
func TestStalledBodyDoesNotKeepTheConnection(t *testing.T) {
	b := newTestBed(t, 1)
	conn := b.dialHalfBody("/patient/x", 300*time.Millisecond)
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(5*time.Second)))
	reader := bufio.NewReader(conn)
	response, err := http.ReadResponse(reader, nil)
	require.NoError(t, err)
	defer response.Body.Close()
	require.Equal(t, http.StatusRequestTimeout, response.StatusCode)
	_, err = io.Copy(io.Discard, response.Body)
	require.NoError(t, err)
	_, err = reader.ReadByte()
	require.ErrorIs(t, err, io.EOF)
}

// sendHalfBody sends a request of which half the body arrives, waits until it is in progress, and
// returns its connection.
func (b *testBed) sendHalfBody(path string, deadline time.Duration) net.Conn {
	b.t.Helper()
	conn := b.dialHalfBody(path, deadline)
	require.Eventually(b.t, func() bool { return b.forwarder.InFlight() == 1 }, 5*time.Second, time.Millisecond)
	return conn
}

// dialHalfBody sends a request of which half the body arrives and returns its connection, which is
// closed at the end of the test.
func (b *testBed) dialHalfBody(path string, deadline time.Duration) net.Conn {
	b.t.Helper()
	conn, err := net.Dial("tcp", b.frontServer.Listener.Addr().String())
	require.NoError(b.t, err)
	b.t.Cleanup(func() { _ = conn.Close() })
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: svc.example\r\nRequest-Id: slow\r\nDeadline-Ms: %d\r\n"+
		"Authorization: Bearer %s\r\nContent-Length: 8\r\n\r\nhalf", path, deadline.Milliseconds(), testKey)
	require.NoError(b.t, err)
	return conn
}
