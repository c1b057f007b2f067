package mcforward_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marigoldcroft/mcforward"
	"marigoldcroft/mcstandin"
)

// endlessHead returns the head of a sound response to the request.
func endlessHead(r *http.Request, fields string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: s\r\n%s\r\n", r.Header.Get("Request-Id"), fields)
}

// switchingHead returns the head of an answer that switches protocols, which nobody has asked for.
func switchingHead(r *http.Request) string {
	return strings.Replace(endlessHead(r, "Upgrade: x\r\nConnection: Upgrade\r\n"), "200 OK", "101 Switching Protocols", 1)
}

// A response that sends a byte now and then, without end, must end at the deadline of its request:
// otherwise the request is never answered, and its slot and its connection are lost.
func TestTricklingResponseEndsAtItsDeadline(t *testing.T) {
	for _, c := range []struct {
		name, path string
		start      func(r *http.Request) string
	}{
		{"no response", "/once/x", nil},
		{"head", "/once/x", func(*http.Request) string { return "HTTP/1.1 200 OK\r\nX-A: " }},
		{"body with a length", "/once/x", func(r *http.Request) string { return endlessHead(r, "Content-Length: 1073741824\r\n") }},
		{"body without a length", "/once/x", func(r *http.Request) string { return endlessHead(r, "") }},
		{"body of an error", "/once/x", func(r *http.Request) string {
			return strings.Replace(endlessHead(r, "Content-Length: 1000\r\n"), "200 OK", "500 Error", 1)
		}},
		{"switch of protocols", "/once/x", switchingHead},
		{"stream", "/solo/stream/x", func(r *http.Request) string { return endlessHead(r, "Content-Type: text/event-stream\r\n") }},
		{"stream: switch of protocols", "/solo/stream/x", switchingHead},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			b := newTestBed(t, 1)
			server := &mcstandin.EndlessServer{Start: c.start, Rest: "x", Pause: 50 * time.Millisecond}
			b.httpServers[0].Config.Handler = server
			r := b.request(http.MethodGet, c.path, "")
			r.Header.Set("Deadline-Ms", "500")
			ctx, cancel := context.WithTimeout(r.Context(), 5*time.Second)
			defer cancel()
			got := b.send(r.WithContext(ctx))
			require.NoError(t, ctx.Err(), "no answer")
			require.True(t, got.broken || got.status == http.StatusBadGateway || got.status == http.StatusGatewayTimeout, "status %d", got.status)
			require.Eventually(t, func() bool { return server.Serving() == 0 && b.forwarder.InFlight() == 0 }, 3*time.Second, time.Millisecond)
		})
	}
}

// A server in trouble may send bytes that are no answer, without end, until the caller closes.
// Wherever in a response they come, the caller must get a failure in time, never a complete
// success, the connection must be closed, and memory must not grow with what was sent.
func TestEndlessResponses(t *testing.T) {
	nothing := func(*http.Request) string { return "" }
	head := func(fields string) func(*http.Request) string {
		return func(r *http.Request) string { return endlessHead(r, fields) }
	}
	const chunked, once, stream = "Transfer-Encoding: chunked\r\n", "/patient/x", "/patient/stream/x"
	for _, c := range []struct {
		name  string
		path  string
		start func(r *http.Request) string
		rest  string
	}{
		{"no response", once, nothing, "these bytes are no answer "},
		{"status line", once, func(*http.Request) string { return "HTTP/1.1 200 " }, "x"},
		{"one header", once, func(*http.Request) string { return "HTTP/1.1 200 OK\r\nX-A: " }, "x"},
		{"many headers", once, func(*http.Request) string { return "HTTP/1.1 200 OK\r\n" }, "X-A: b\r\n"},
		{"interim responses", once, nothing, "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"},
		{"switch of protocols", once, switchingHead, "x"},
		{"stream: switch of protocols", stream, switchingHead, "data: x\n\n"},
		{"chunk size", once, head(chunked), "0"},
		{"chunk extension", once, head(chunked), "1;a"},
		{"trailer", once, func(r *http.Request) string { return endlessHead(r, chunked) + "0\r\n" }, "X-A: b\r\n"},
		{"body of chunks", once, head(chunked), "400\r\n" + strings.Repeat("x", 1024) + "\r\n"},
		{"body without a length", once, head(""), "x"},
		{"body of an error", once, func(r *http.Request) string {
			return strings.Replace(endlessHead(r, chunked), "200 OK", "500 Error", 1)
		}, "400\r\n" + strings.Repeat("x", 1024) + "\r\n"},
		{"stream: one event", stream, head("Content-Type: text/event-stream\r\n"), "data: x "},
		{"stream: lines of one event", stream, head("Content-Type: text/event-stream\r\n"), "data: x\n"},
		{"stream: comments", stream, head("Content-Type: text/event-stream\r\n"), ": x\n\n"},
		{"stream: blank lines", stream, head("Content-Type: text/event-stream\r\n"), "\n"},
		{"stream: comments after an event", stream, func(r *http.Request) string {
			return endlessHead(r, "Content-Type: text/event-stream\r\n") + "id: 1\ndata: token 1\n\n"
		}, ": x\n\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newTestBed(t, 1)
			server := &mcstandin.EndlessServer{Start: c.start, Rest: c.rest}
			b.httpServers[0].Config.Handler = server
			r := b.request(http.MethodGet, c.path, "")
			r.Header.Set("Deadline-Ms", "60000")
			got := b.send(r)
			require.True(t, got.broken || got.status == http.StatusBadGateway, "status %d", got.status)
			metrics := httptest.NewRecorder()
			b.forwarder.Metrics.Handler().ServeHTTP(metrics, httptest.NewRequest(http.MethodGet, "/metrics", nil))
			require.Contains(t, metrics.Body.String(), "attempts_total{result=")
			require.NotContains(t, metrics.Body.String(), fmt.Sprintf("attempts_total{result=%q}", mcforward.KindDeadline), "the time limit ended it")
			require.Less(t, server.Sent(), int64(64<<20))
			require.Eventually(t, func() bool { return server.Serving() == 0 }, 5*time.Second, time.Millisecond, "the connection is still open")
		})
	}
}

// Many heads at once that do not end must not use memory in proportion to what endpoints send.
// net/http accepts heads of 10 MiB by default; 30 of them would exceed the memory of a small
// instance.
func TestEndlessHeadsUseLittleMemory(t *testing.T) {
	const headBytes, callers = 8 << 20, 30
	b := newTestBed(t, 8)
	head := []byte("HTTP/1.1 200 OK\r\nX-A: " + strings.Repeat("x", headBytes))
	for i := range b.servers {
		b.httpServers[i].Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			conn, _, err := w.(http.Hijacker).Hijack()
			if err != nil {
				return
			}
			defer conn.Close()
			_, _ = conn.Write(head)
			// The sender stalls, so that its head stays in memory as long as it is accepted.
			_, _ = conn.Read(make([]byte, 1))
		})
	}
	var before, now runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	var running sync.WaitGroup
	for range callers {
		running.Go(func() { b.get("/once/x") })
	}
	ended := make(chan struct{})
	go func() {
		running.Wait()
		close(ended)
	}()
	most := uint64(0)
	for ticker := time.NewTicker(5 * time.Millisecond); ; {
		select {
		case <-ticker.C:
			runtime.ReadMemStats(&now)
			most = max(most, now.HeapAlloc)
			continue
		case <-ended:
		}
		break
	}
	require.Less(t, most, before.HeapAlloc+32<<20)
}

// The bytes after a complete response belong to no request. The next request must get its own
// response, however many such bytes come and even if they look like one.
func TestBytesAfterAResponseAreDiscarded(t *testing.T) {
	b := newTestBed(t, 2)
	foreign := "HTTP/1.1 200 OK\r\nRequest-Id: foreign\r\nResponse-Seal: s\r\nContent-Length: 7\r\n\r\nforeign"
	server := &mcstandin.EndlessServer{
		Start: func(r *http.Request) string { return endlessHead(r, "Content-Length: 3\r\n") + "own" }, Rest: foreign,
	}
	b.httpServers[0].Config.Handler = server
	for range 20 {
		got := b.get("/again/x")
		require.False(t, got.broken)
		require.NotContains(t, got.body, "foreign")
	}
	require.Eventually(t, func() bool { return server.Serving() == 0 }, 5*time.Second, time.Millisecond, "the connection is still open")
}

// A stream that states its end may have a blank line or a comment after its last event. Taking
// that for the begin of an event would break off a complete stream.
func TestStreamMayEndWithAComment(t *testing.T) {
	const event = "id: 1\ndata: token 1\n\n"
	for _, c := range []struct {
		name, body string
		whole      bool
	}{
		{"blank line", event + "\n", true},
		{"blank lines", event + "\r\n\n", true},
		{"comment line", event + ": a\n", true},
		{"comment without the end of its line", event + ": a\n\n: b", true},
		{"begin of an event", event + ": a\nid: 2\n", false},
		{"blank lines only", "\n\n", false},
		{"comment only", ": a", false},
	} {
		for _, framing := range []string{
			fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(c.body), c.body),
			fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(c.body), c.body),
		} {
			t.Run(c.name+", "+strings.SplitN(framing, ":", 2)[0], func(t *testing.T) {
				b := newTestBed(t, 1)
				b.httpServers[0].Config.Handler = &mcstandin.RawServer{Response: func(r *http.Request) string {
					return strings.TrimSuffix(endlessHead(r, ""), "\r\n") + framing
				}}
				got := b.get("/solo/stream/x")
				require.Equal(t, c.whole, !got.broken && got.status == http.StatusOK)
				if c.whole {
					require.Equal(t, c.body, got.body)
				}
			})
		}
	}
}

// A stream that sends only comments makes no progress. It must not count as begun, so that the
// request can be repeated where its route allows it, and must not look complete when it ends.
func TestCommentsAreNoProgress(t *testing.T) {
	for _, c := range []struct {
		name, body string
		whole      bool
	}{
		{"comments only", ": a\n\n: b\n\n", false},
		{"comments between events", ": a\n\nid: 1\ndata: token 1\n\n: b\n\nid: 2\ndata: token 2\n\n: c\n\n", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newTestBed(t, 1)
			b.httpServers[0].Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
				w.Header().Set("Response-Seal", "s")
				w.Header().Set("Content-Type", "text/event-stream")
				_, _ = io.WriteString(w, c.body)
			})
			got := b.get("/solo/stream/x")
			if c.whole {
				require.Equal(t, http.StatusOK, got.status)
				require.Equal(t, c.body, got.body)
				return
			}
			require.Equal(t, http.StatusBadGateway, got.status)
		})
	}
}

// A caller that stops reading must not hold its endpoint and its place in this instance beyond
// the deadline of the request: a write to it would block without end.
func TestStalledCallerEndsAtItsDeadline(t *testing.T) {
	for _, c := range []struct{ name, path, fields, rest string }{
		{"stream", "/solo/stream/x", "Content-Type: text/event-stream\r\n", "data: " + strings.Repeat("x", 1024) + "\n\n"},
		{"body", "/once/x", "Content-Length: 1073741824\r\n", "x"},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newTestBed(t, 1)
			server := &mcstandin.EndlessServer{Start: func(r *http.Request) string { return endlessHead(r, c.fields) }, Rest: c.rest}
			b.httpServers[0].Config.Handler = server
			conn, err := net.Dial("tcp", b.frontServer.Listener.Addr().String())
			require.NoError(t, err)
			defer conn.Close()
			_, err = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: svc.example\r\nRequest-Id: r\r\nDeadline-Ms: 300\r\nAuthorization: Bearer %s\r\n\r\n", c.path, testKey)
			require.NoError(t, err)
			require.Eventually(t, func() bool { return server.Serving() == 1 }, 5*time.Second, time.Millisecond)
			require.Eventually(t, func() bool { return server.Serving() == 0 && b.forwarder.InFlight() == 0 }, 3*time.Second, time.Millisecond)
		})
	}
}
