package mcforward_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marigoldcroft/mcquarantine"
	"marigoldcroft/mcstandin"
)

// unframed returns a response with neither a length nor chunks. status is the status line.
func unframed(status, fields, body string) func(r *http.Request) string {
	return func(r *http.Request) string {
		return fmt.Sprintf("%s\r\nRequest-Id: %s\r\nResponse-Seal: s\r\n%s\r\n%s", status, r.Header.Get("Request-Id"), fields, body)
	}
}

// A response may have neither a length nor chunks and end with its connection. A complete one
// must not be repeated or broken off for the caller, one that was reset or that ends inside an
// event must not look complete, and the connection must not be used again.
func TestUnframedResponses(t *testing.T) {
	const (
		ok, ok10      = "HTTP/1.1 200 OK", "HTTP/1.0 200 OK"
		stream, plain = "/solo/stream/x", "/once/x"
		twoEvents     = "id: 1\ndata: token 1\n\nid: 2\ndata: token 2\n\n"
		keepAlive     = "Connection: keep-alive\r\n"
	)
	large := strings.Repeat("0123456789abcdef", 3<<16)
	for _, c := range []struct {
		name           string
		path           string
		status, fields string
		body           string
		reset          bool
		// wantStatus 0 means that the response begins with status 200 and breaks off.
		wantStatus int
		wantBody   string
	}{
		{"stream", stream, ok, "", wholeStream, false, 200, wholeStream},
		{"stream with Connection: close", stream, ok, "Connection: close\r\n", wholeStream, false, 200, wholeStream},
		{"stream of HTTP/1.0", stream, ok10, "", wholeStream, false, 200, wholeStream},
		{"stream of HTTP/1.0 with keep-alive", stream, ok10, keepAlive, wholeStream, false, 200, wholeStream},
		{"stream with CRLF", stream, ok, "", "id: 1\r\ndata: a\r\n\r\n", false, 200, "id: 1\r\ndata: a\r\n\r\n"},
		{"stream that ends after a comment", stream, ok, "", twoEvents + ": c\n\n", false, 200, twoEvents + ": c\n\n"},
		{"stream that ends after a comment line", stream, ok, "", twoEvents + ": c\n", false, 200, twoEvents + ": c\n"},
		{"stream that ends after a blank line", stream, ok, "", twoEvents + "\n", false, 200, twoEvents + "\n"},
		{"stream that ends inside a comment", stream, ok, "", twoEvents + ": c", false, 0, twoEvents},
		{"stream that ends inside a line", stream, ok, "", twoEvents + "id: 3\ndata: to", false, 0, twoEvents},
		{"stream that ends after an id", stream, ok, "", twoEvents + "id: 3\n", false, 0, twoEvents},
		{"stream that ends inside a field name", stream, ok, "", twoEvents + "i", false, 0, twoEvents},
		{"stream that ends before the blank line", stream, ok, "", twoEvents + "id: 3\ndata: token 3\n", false, 0, twoEvents},
		{"stream that ends inside an event after a comment", stream, ok, "", twoEvents + ": c\nid: 3\n", false, 0, twoEvents},
		{"stream that ends inside its first event", stream, ok, "", "id: 1\ndata: to", false, 502, ""},
		{"stream without an event", stream, ok, "", "", false, 502, ""},
		{"stream of comments only", stream, ok, "", ": a\n\n: b\n\n", false, 502, ""},
		{"stream that is reset after an event", stream, ok, "", twoEvents, true, 0, twoEvents},
		{"stream that is reset inside an event", stream, ok, "", twoEvents + "id: 3\n", true, 0, twoEvents},
		{"stream that is reset before an event", stream, ok, "", "", true, 502, ""},
		{"body", plain, ok, "", "the body", false, 200, "the body"},
		{"body of HTTP/1.0", plain, ok10, "", "the body", false, 200, "the body"},
		{"body of HTTP/1.0 with keep-alive", plain, ok10, keepAlive, "the body", false, 200, "the body"},
		{"empty body", plain, ok, "", "", false, 200, ""},
		{"body larger than the buffer", plain, ok, "", large, false, 200, large},
		{"body that is reset", plain, ok, "", "the body", true, 502, ""},
		{"empty body that is reset", plain, ok, "", "", true, 502, ""},
		{"error", plain, "HTTP/1.1 500 Error", "", "the error", false, 500, "the error"},
		{"error of a stream", stream, "HTTP/1.0 500 Error", "", "the error", false, 500, "the error"},
		{"error that is reset", plain, "HTTP/1.1 500 Error", "", "the error", true, 502, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newTestBed(t, 1)
			server := &mcstandin.RawServer{Response: unframed(c.status, c.fields, c.body), Reset: c.reset}
			b.httpServers[0].Config.Handler = server
			got := b.get(c.path)
			if c.wantStatus == 0 {
				require.True(t, got.broken, "it looks complete")
				c.wantStatus = http.StatusOK
			} else {
				require.False(t, got.broken)
			}
			require.Equal(t, c.wantStatus, got.status)
			if c.wantStatus != http.StatusBadGateway {
				require.Equal(t, c.wantBody, got.body)
			}
			require.Eventually(t, func() bool { return server.Serving() == 0 }, 5*time.Second, time.Millisecond, "the connection is still open")
			require.Zero(t, server.Extra(), "the connection was used again")
		})
	}
}

// A response over the size of the buffer is relayed as it arrives. If it has neither a length
// nor chunks and is reset, the caller must not take what arrived for the whole.
func TestLargeUnframedResponseIsReset(t *testing.T) {
	b := newTestBed(t, 1)
	b.httpServers[0].Config.Handler = &mcstandin.RawServer{
		Response: unframed("HTTP/1.1 200 OK", "", strings.Repeat("x", 8<<20)), Reset: true,
	}
	got := b.get("/once/x")
	require.True(t, got.broken || got.status == http.StatusBadGateway, "status %d", got.status)
}

// A stream without a length or chunks that ends inside an event, or is reset, must be resumed
// at another endpoint after its last complete event.
func TestBrokenUnframedStreamIsResumed(t *testing.T) {
	for _, c := range []struct {
		name, body string
		reset      bool
	}{
		{"inside an event", "id: 1\ndata: token 1\n\nid: 2\nda", false},
		{"inside the first event", "id: 1", false},
		{"before an event", "", false},
		{"reset after an event", "id: 1\ndata: token 1\n\n", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newTestBed(t, 3)
			broken := &mcstandin.RawServer{Response: unframed("HTTP/1.1 200 OK", "", c.body), Reset: c.reset}
			b.httpServers[0].Config.Handler, b.httpServers[1].Config.Handler = broken, broken
			for n := range 10 {
				got := b.get(fmt.Sprintf("/stream/%d", n))
				require.False(t, got.broken)
				require.Equal(t, http.StatusOK, got.status)
				require.Equal(t, wholeStream, got.body)
			}
			require.Len(t, b.servers[2].Runs(), 10)
			require.NotZero(t, broken.Served())
		})
	}
}

// Guards against a part of an answer that reaches the caller as a whole one: the connections of an
// endpoint that is killed end in the regular way, as those of an answer without a length do.
func TestAnswerOfAnEndpointThatDiesIsNotWhole(t *testing.T) {
	const part = "id: 1\ndata: token 1\n\n"
	for _, c := range []struct {
		name, path, body string
		// repeated is true if another endpoint answers in its place.
		repeated bool
	}{
		{"body of an action", "/once/x", "a part", false},
		{"body that may be repeated", "/again/x", "a part", true},
		{"large body", "/once/x", strings.Repeat("x", 2<<20), false},
		{"stream", "/solo/stream/x", part, false},
		{"stream that may be resumed", "/stream/x", part, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			endpoints := 1
			if c.repeated {
				endpoints = 2
			}
			b := newTestBed(t, endpoints)
			dying := &mcstandin.RawServer{Response: unframed("HTTP/1.1 200 OK", "", c.body)}
			b.httpServers[0].Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_ = b.httpServers[0].Listener.Close()
				dying.ServeHTTP(w, r)
			})
			for range 20 {
				got := b.get(c.path)
				if !c.repeated {
					require.True(t, got.broken || got.status == http.StatusBadGateway, "status %d", got.status)
					return
				}
				require.False(t, got.broken)
				require.Equal(t, http.StatusOK, got.status)
				require.NotEqual(t, c.body, got.body)
				if dying.Served() > 0 {
					return
				}
			}
			t.Fatal("the endpoint got no request")
		})
	}
}

// The response of an endpoint that dies may end cleanly with its connection. Taking that for
// proof that the request is sound would let it crash one endpoint after another; where the
// endpoint survives, not taking it for proof would put sound prompts under quarantine.
func TestUnframedResponseIsProofOnlyIfTheEndpointSurvives(t *testing.T) {
	for name, dies := range map[string]bool{"dies": true, "survives": false} {
		t.Run(name, func(t *testing.T) {
			b := newTestBed(t, 1)
			server := &mcstandin.RawServer{Response: unframed("HTTP/1.1 200 OK", "", wholeStream)}
			b.httpServers[0].Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if dies {
					_ = b.httpServers[0].Listener.Close()
				}
				server.ServeHTTP(w, r)
			})
			r := b.request(http.MethodPost, "/solo/stream/x", "prompt")
			r.Header.Set("Prefix-Hash", "aa:800,1:250")
			require.Equal(t, http.StatusOK, b.send(r).status)
			part := mcquarantine.PartFingerprint("s", "aa")
			require.Eventually(t, func() bool {
				for _, e := range b.forwarder.Quarantine.Entries(time.Now()) {
					if e.GetPart() && e.GetFingerprint() == uint64(part) {
						return e.GetCrashes() == 1
					}
				}
				return !dies && b.forwarder.Quarantine.Proven(time.Now(), part)
			}, 5*time.Second, 5*time.Millisecond)
			require.Equal(t, !dies, b.forwarder.Quarantine.Proven(time.Now(), part))
		})
	}
}

// A response to a caller of HTTP/1.0 ends with its connection. If it is incomplete, closing the
// connection would make it look complete, so the connection must be reset.
func TestIncompleteResponseToHTTP10IsReset(t *testing.T) {
	for _, c := range []struct {
		name, path, body string
	}{
		{"stream", "/solo/stream/x", "id: 1\ndata: token 1\n\nid: 2\n"},
		{"complete stream", "/solo/stream/x", wholeStream},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newTestBed(t, 1)
			b.httpServers[0].Config.Handler = &mcstandin.RawServer{Response: unframed("HTTP/1.1 200 OK", "", c.body)}
			conn, err := net.Dial("tcp", b.frontServer.Listener.Addr().String())
			require.NoError(t, err)
			defer conn.Close()
			_, err = fmt.Fprintf(conn, "GET %s HTTP/1.0\r\nHost: svc.example\r\nRequest-Id: r\r\nAuthorization: Bearer %s\r\n\r\n", c.path, testKey)
			require.NoError(t, err)
			got, err := io.ReadAll(conn)
			if c.body == wholeStream {
				require.NoError(t, err)
				require.Contains(t, string(got), wholeStream)
				return
			}
			require.ErrorIs(t, err, syscall.ECONNRESET, "the response looks complete: %q", got)
		})
	}
}
