package mcservice_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"marigoldcroft"
	"marigoldcroft/mcservice"
)

// serveRaw returns an endpoint that reads the head and the first bytes of a request and then sends the
// answer. It resets the connection if reset is true.
func serveRaw(t *testing.T, answer string, reset bool) marigoldcroft.Endpoint {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if errors.Is(err, net.ErrClosed) {
				return
			}
			go func() {
				defer conn.Close()
				_, _ = bufio.NewReader(conn).ReadString('\n')
				_, _ = io.WriteString(conn, answer)
				if reset {
					_ = conn.(*net.TCPConn).SetLinger(0)
					return
				}
				_, _ = io.Copy(io.Discard, conn)
			}()
		}
	}()
	return marigoldcroft.NewEndpoint(marigoldcroft.EndpointSpec{Name: "desk-1", Kind: marigoldcroft.EndpointService, Address: "http://" + listener.Addr().String()})
}

// Guards against a part of an answer that is taken for the whole: the service answers while it is still being
// sent a long request, and resets the connection after a part. A write may take the report of the reset, so
// that the read that follows returns the regular end.
func TestAnswerThatIsResetDuringTheRequestIsNotWhole(t *testing.T) {
	for name, head := range map[string]string{
		"without a length": "HTTP/1.1 200 OK\r\n\r\na part",
		"in chunks":        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\na part\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			endpoint, client := serveRaw(t, head, true), newClient(t, mcservice.Config{})
			body := []byte(strings.Repeat("x", 8<<20))
			whole := 0
			const calls = 100
			for range calls {
				if _, err := client.Call(t.Context(), endpoint, marigoldcroft.ServiceCall{Method: "POST", Path: "/book", Body: body}); err == nil {
					whole++
				}
			}
			require.Zero(t, whole, "parts that were taken for whole answers, of %d", calls)
		})
	}
}

// Guards against a status below 100, which no answer can have: the caller would get it as an answer, or none
// at all, as net/http panics when it is passed on.
func TestStatusThatDoesNotExistIsNoAnswer(t *testing.T) {
	for _, status := range []string{"000", "042", "099"} {
		endpoint := serveRaw(t, "HTTP/1.1 "+status+" Strange\r\nContent-Length: 3\r\n\r\nown", false)
		answer, err := newClient(t, mcservice.Config{}).Call(t.Context(), endpoint, marigoldcroft.ServiceCall{Method: "POST", Path: "/book", Body: []byte("x")})
		require.Error(t, err, "status %s was taken for an answer: %+v", status, answer)
		require.False(t, marigoldcroft.NotSent(err))
	}
}
