package mcforward_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"marigoldcroft"
	"marigoldcroft/mcclock"
)

// Guards against a part of an answer that reaches the caller as the whole: the endpoint answers while it is
// still being sent a long request, resets the connection after a part, and lives on.
func TestAnswerThatIsResetDuringTheRequestIsNotWhole(t *testing.T) {
	const event = "id: 1\ndata: token 1\n\n"
	for _, c := range []struct{ name, path, fields, body string }{
		{"body without a length", "/once/x", "", "a part"},
		{"body in chunks", "/once/x", "Transfer-Encoding: chunked\r\n", "6\r\na part\r\n"},
		{"stream without a length", "/solo/stream/x", "", event},
		{"stream in chunks", "/solo/stream/x", "Transfer-Encoding: chunked\r\n", fmt.Sprintf("%x\r\n%s\r\n", len(event), event)},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newTestBed(t, 1)
			b.forwarder.Router.Update(marigoldcroft.NewRoutingTable(marigoldcroft.RoutingTableSpec{
				Version: 2, Routes: routes(), KeysRequired: true, Teams: map[string]marigoldcroft.RoutedTeam{testKey: {Name: "team"}},
				Services: []marigoldcroft.RoutedService{{Name: "s"}}, Limits: marigoldcroft.CallerLimits{BodyBytes: 16 << 20, HeaderBytes: 4000},
			}), "test")
			b.forwarder.Router.Confirm(2, mcclock.Now())
			b.httpServers[0].Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				conn, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					return
				}
				defer conn.Close()
				answer := bufio.NewWriter(conn)
				fmt.Fprintf(answer, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: s\r\n%s\r\n%s", r.Header.Get("Request-Id"), c.fields, c.body)
				_ = answer.Flush()
				_, _ = io.CopyN(io.Discard, conn, 1)
				_ = conn.(*net.TCPConn).SetLinger(0)
			})
			body := strings.Repeat("x", 8<<20)
			for range 50 {
				got := b.send(b.request(http.MethodPost, c.path, body))
				require.True(t, got.broken || got.status == http.StatusBadGateway, "status %d, body %q", got.status, got.body)
			}
		})
	}
}
