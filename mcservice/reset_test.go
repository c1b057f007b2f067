package mcservice_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marigoldcroft"
	"marigoldcroft/mcservice"
)

// answerEarly accepts connections and answers each with the given bytes once the head of its request
// has arrived, without reading the body, and then resets it. The listener stays open.
func answerEarly(t *testing.T, answer string) marigoldcroft.Endpoint {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				_, _ = conn.Read(make([]byte, 4<<10))
				_, _ = io.WriteString(conn, answer)
				// The caller reads the answer before the connection is reset, while it still writes.
				time.Sleep(20 * time.Millisecond)
				_ = conn.(*net.TCPConn).SetLinger(0)
			}()
		}
	}()
	return marigoldcroft.NewEndpoint(marigoldcroft.EndpointSpec{Name: "desk-1", Kind: marigoldcroft.EndpointService, Address: "http://" + listener.Addr().String()})
}

// Guards against a part of an answer that is taken for the whole: an endpoint answers a long upload at
// once without a length and resets the connection while the upload is being written. The write takes
// the only report of the reset, and the read then sees a regular end.
func TestResetDuringUploadIsNoCompleteAnswer(t *testing.T) {
	endpoint := answerEarly(t, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\na part")
	client := newClient(t, mcservice.Config{})
	for range 20 {
		answer, err := client.Call(context.Background(), endpoint, marigoldcroft.ServiceCall{
			Method: http.MethodPost, Path: "/orders", Key: "k", Body: []byte(strings.Repeat("x", 8<<20)),
		})
		require.Error(t, err, "status %d, body %q", answer.Status, answer.Body)
	}
}
