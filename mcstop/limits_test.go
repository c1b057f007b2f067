package mcstop_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marigoldcroft/mcstop"
)

// serve serves the handler as an instance does and returns a connection to it.
func serve(t *testing.T, handler http.HandlerFunc) net.Conn {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second, IdleTimeout: time.Minute}
	connections := mcstop.NewConnections(server, listener, nil)
	go func() { _ = server.Serve(connections) }()
	t.Cleanup(func() { _ = server.Close() })
	conn, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// Guards against an answer that waits without limit for the rest of a body that its handler does not
// need, and against a connection that stays open for it.
func TestAnswerDoesNotWaitForAnUnreadBody(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name, fields, rest string
		closes             bool
	}{
		{"body with a length, nothing comes", "Content-Length: 100", "", false},
		{"body with a length, a byte now and then", "Content-Length: 1000", "x", false},
		{"body of chunks, nothing comes", "Transfer-Encoding: chunked", "", false},
		{"body of chunks, a chunk now and then", "Transfer-Encoding: chunked", "1\r\nx\r\n", false},
		{"the answer closes the connection, nothing comes", "Content-Length: 100", "", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			conn := serve(t, func(w http.ResponseWriter, _ *http.Request) {
				if c.closes {
					w.Header().Set("Connection", "close")
				}
				w.WriteHeader(http.StatusNotFound)
			})
			_, err := fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: h\r\n%s\r\n\r\n", c.fields)
			require.NoError(t, err)
			go func() {
				for err := error(nil); err == nil && c.rest != ""; time.Sleep(50 * time.Millisecond) {
					_, err = io.WriteString(conn, c.rest)
				}
			}()
			require.NoError(t, conn.SetReadDeadline(time.Now().Add(5*time.Second)))
			reader := bufio.NewReader(conn)
			response, err := http.ReadResponse(reader, nil)
			require.NoError(t, err)
			require.Equal(t, http.StatusNotFound, response.StatusCode)
			_, err = reader.ReadByte()
			require.Error(t, err)
			require.NotErrorIs(t, err, os.ErrDeadlineExceeded, "the connection is still open")
		})
	}
}

// Guards against a limit on the rest of a body that remains in force for the next request of the
// connection: its answer takes longer than the limit, and so does the pause before it.
func TestConnectionServesOnAfterAnUnreadBody(t *testing.T) {
	t.Parallel()
	conn := serve(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			_, err := io.Copy(io.Discard, r.Body)
			if err == nil {
				select {
				case <-time.After(1200 * time.Millisecond):
				case <-r.Context().Done():
					err = r.Context().Err()
				}
			}
			if err != nil {
				w.WriteHeader(http.StatusInternalServerError)
			}
			return
		}
		w.WriteHeader(http.StatusNotFound)
	})
	reader := bufio.NewReader(conn)
	for _, c := range []struct {
		path   string
		status int
	}{{"/", 404}, {"/slow", 200}, {"/", 404}, {"/slow", 200}} {
		_, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\n", c.path)
		require.NoError(t, err)
		time.Sleep(20 * time.Millisecond)
		_, err = io.WriteString(conn, "abc")
		require.NoError(t, err)
		response, err := http.ReadResponse(reader, nil)
		require.NoError(t, err)
		require.Equal(t, c.status, response.StatusCode)
		time.Sleep(1200 * time.Millisecond)
	}
}

// Guards against a caller that sends requests and reads no answers: a write of an answer would block
// without end, and the connection and its goroutine would be lost.
func TestUnreadAnswersEndTheConnection(t *testing.T) {
	t.Parallel()
	conn := serve(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNotFound) })
	requests := strings.Repeat("GET / HTTP/1.1\r\nHost: h\r\n\r\n", 1000)
	require.NoError(t, conn.SetWriteDeadline(time.Now().Add(40*time.Second)))
	var err error
	for err == nil {
		_, err = io.WriteString(conn, requests)
	}
	require.False(t, errors.Is(err, os.ErrDeadlineExceeded), "the connection is still open")
}
