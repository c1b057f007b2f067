package mcforward_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"marigoldcroft"
	"marigoldcroft/mcfollow"
	"marigoldcroft/mcstandin"
)

// serveRaw replaces server i by one that answers the n-th request of each connection, from 0, with
// the bytes that answer returns, and closes the connection if it returns false.
func (b *testBed) serveRaw(i int, answer func(n int, r *http.Request) (string, bool)) {
	b.t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b.t, err)
	b.t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				reader := bufio.NewReader(conn)
				for n := 0; ; n++ {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					text, keep := answer(n, r)
					if _, err := conn.Write([]byte(text)); err != nil || !keep {
						return
					}
				}
			}()
		}
	}()
	record := b.record(i)
	record.Value.Address, record.Value.Incarnation = listener.Addr().String(), 2
	b.forwarder.Fleet.Apply(mcfollow.Change[marigoldcroft.EndpointRecord]{Records: []marigoldcroft.Record[marigoldcroft.EndpointRecord]{record}})
}

// Guards against a refusal that a faulty server writes once more on a kept connection and that is
// taken for the answer to the next request: the caller would be told that a request did not run which
// has run, or it would run at a second endpoint.
func TestRepeatedRefusalIsNoAnswerToTheNextRequest(t *testing.T) {
	for _, fields := range []string{"", "Request-Id: request-0\r\n"} {
		b := newTestBed(t, 1)
		var runs atomic.Int64
		b.serveRaw(0, func(n int, r *http.Request) (string, bool) {
			if n == 0 {
				return fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: s\r\nContent-Length: 2\r\n\r\nok", r.Header.Get("Request-Id")), true
			}
			runs.Add(1)
			return "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n" + fields + "Content-Length: 0\r\n\r\n", true
		})
		require.Equal(t, http.StatusOK, b.get("/once/x").status)
		require.Equal(t, http.StatusBadGateway, b.get("/once/x").status, "fields %q", fields)
		require.Equal(t, int64(1), runs.Load())
	}
}

// Guards against the answer of the next endpoint, an error, in the middle of a stream that broke off
// at the first one, and against such a stream that looks complete.
func TestErrorAfterABrokenStreamIsNoPartOfIt(t *testing.T) {
	for _, status := range []string{"500 Internal Server Error", "503 Service Unavailable", "404 Not Found", "200 OK"} {
		b := newTestBed(t, 2)
		b.servers[0].SetFaults(mcstandin.PlatformServerFaults{BrokenStreams: 1000, BreakAfterEvent: 2})
		b.serveRaw(1, func(_ int, r *http.Request) (string, bool) {
			const body = "data: the error\n\n"
			return fmt.Sprintf("HTTP/1.1 %s\r\nRequest-Id: %s\r\nResponse-Seal: s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
				status, r.Header.Get("Request-Id"), len(body), body), false
		})
		begun := 0
		for n := range 20 {
			got := b.get(fmt.Sprintf("/stream/%d", n))
			if got.status != http.StatusOK || !strings.HasPrefix(got.body, "id: 1\n") {
				// The request began at the other endpoint.
				continue
			}
			begun++
			require.NotContains(t, got.body, "error", status)
			require.NotContains(t, got.body, "HTTP/", status)
			require.True(t, got.broken, "the stream looks complete: %s, %q", status, got.body)
		}
		require.Positive(t, begun, status)
	}
}

// Guards against an answer whose head ends in the middle and that reaches the caller as a complete
// success.
func TestAnswerThatEndsInItsHeadIsNoSuccess(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nResponse-Seal: s\r\nContent-Length: 10\r\n\r\n"
	for end := 1; end < len(head); end++ {
		for _, path := range []string{"/once/x", "/solo/stream/x"} {
			b := newTestBed(t, 1)
			b.serveRaw(0, func(_ int, r *http.Request) (string, bool) {
				return strings.ReplaceAll(head[:end], "ID", r.Header.Get("Request-Id")), false
			})
			got := b.get(path)
			require.Equal(t, http.StatusBadGateway, got.status, "%s, head %q", path, head[:end])
		}
	}
}
