package mcentry_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marigoldcroft/mcsetting"
)

// Guards against a connection that is held without limit, on any port of an instance, for a client
// that sends nothing, sends a byte now and then, sends without end or reads nothing. An instance has a
// few thousand descriptors, and each such connection keeps one.
func TestEveryConnectionOfAClientEnds(t *testing.T) {
	var peer string
	s := newSite(t, 1, func(settings *mcsetting.Settings) { peer = settings.PeerAddress })
	in := s.instances[0]
	const fields = "Host: svc.example\r\nRequest-Id: r\r\nAuthorization: Bearer key\r\nDeadline-Ms: 500\r\n"
	request := func(path, more string) string { return "POST " + path + " HTTP/1.1\r\n" + fields + more + "\r\n" }
	clients := []struct {
		name, start, rest string
		pause             time.Duration
		// reads is true if the client reads what the instance sends.
		reads bool
		// limit is the time limit of the connection. An unused one may stay open for longer.
		limit time.Duration
	}{
		{"half a head, then nothing", "GET / HT", "", 0, true, 10 * time.Second},
		{"a byte at times in the head", "GET / HTTP/1.1\r\nX-A: ", "x", 100 * time.Millisecond, true, 10 * time.Second},
		{"a head without end", "GET / HTTP/1.1\r\n", strings.Repeat("X-A: b\r\n", 500), 0, true, 10 * time.Second},
		{"no request, without end", "", strings.Repeat("these bytes are no request ", 100), 0, true, 10 * time.Second},
		{"half a body, then nothing", request("/v1/x", "Content-Length: 100\r\n") + "x", "", 0, true, 30 * time.Second},
		{"a byte at times in the body", request("/v1/x", "Content-Length: 1000\r\n"), "x", 100 * time.Millisecond, true, 30 * time.Second},
		{"a body without end", request("/v1/x", "Transfer-Encoding: chunked\r\n"), "400\r\n" + strings.Repeat("x", 1024) + "\r\n", 0, true, 30 * time.Second},
		{"a body that is not needed", request("/none/x", "Content-Length: 100\r\n"), "x", 2 * time.Second, true, 30 * time.Second},
		{"requests without end, no answer read", "", strings.Repeat("GET /none HTTP/1.1\r\n"+fields+"\r\n", 100), 0, false, 30 * time.Second},
	}
	ports := []struct{ name, address string }{{"callers", in.callers}, {"balancer", in.ready}, {"operators", in.admin}, {"peers", peer}}
	for _, port := range ports {
		for _, c := range clients {
			t.Run(port.name+"/"+c.name, func(t *testing.T) {
				t.Parallel()
				conn, err := net.Dial("tcp", port.address)
				require.NoError(t, err)
				defer conn.Close()
				// The end shows in a read, or in a write for a client that does not read.
				ended := make(chan struct{}, 2)
				var sent atomic.Int64
				go func() {
					_, err := io.WriteString(conn, c.start)
					for err == nil && c.rest != "" {
						var n int
						n, err = io.WriteString(conn, c.rest)
						sent.Add(int64(n))
						time.Sleep(c.pause)
					}
					if err != nil {
						ended <- struct{}{}
					}
				}()
				if c.reads {
					go func() {
						_, _ = io.Copy(io.Discard, bufio.NewReader(conn))
						ended <- struct{}{}
					}()
				}
				select {
				case <-ended:
				case <-time.After(c.limit + 5*time.Second):
					t.Fatalf("the connection is still open after %v, %d bytes sent", c.limit+5*time.Second, sent.Load())
				}
				require.Less(t, sent.Load(), int64(64<<20))
			})
		}
	}
	t.Run("served on", func(t *testing.T) {
		require.Equal(t, http.StatusOK, in.get(t, "/v1/x", "key"))
		response, err := http.Get(fmt.Sprintf("http://%s/metrics", in.admin))
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		require.Equal(t, http.StatusOK, response.StatusCode)
	})
}
