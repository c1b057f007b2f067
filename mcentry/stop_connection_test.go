package mcentry_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marigoldcroft/mcsetting"
)

// Guards against a stop that waits to its limit, and reports a failure, for a connection on which
// no request has been sent.
func TestStopDoesNotWaitForUnusedConnections(t *testing.T) {
	s := newSite(t, 1, func(*mcsetting.Settings) {})
	in := s.instances[0]
	conn, err := net.Dial("tcp", in.callers)
	require.NoError(t, err)
	defer conn.Close()
	require.Equal(t, http.StatusOK, in.get(t, "/v1/x", "key"))
	in.stop()
	err = <-in.ended
	in.ended <- err
	require.NoError(t, err)
}

// Guards against a request that is closed without an answer because its header arrives while a
// stop closes connections, and against a stop that waits for such a header to its limit.
func TestStopAnswersRequestsWhoseHeaderArrives(t *testing.T) {
	const request = "GET /v1/x HTTP/1.1\r\nHost: svc.example\r\nRequest-Id: q\r\nAuthorization: Bearer key\r\n\r\n"
	for _, c := range []struct {
		name string
		// used is true if an earlier request has been answered on the connection.
		used  bool
		first int
		pause time.Duration
	}{
		{"first byte, new connection", false, 1, 100 * time.Millisecond},
		{"first byte, used connection", true, 1, 100 * time.Millisecond},
		{"half the header, used connection", true, 40, 100 * time.Millisecond},
		{"header never ends, new connection", false, 40, time.Minute},
		{"header never ends, used connection", true, 2, time.Minute},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newSite(t, 1, func(settings *mcsetting.Settings) { settings.Forward.Grace = 6 * time.Second })
			in := s.instances[0]
			conn, err := net.Dial("tcp", in.callers)
			require.NoError(t, err)
			defer conn.Close()
			reader := bufio.NewReader(conn)
			status := func() int {
				response, err := http.ReadResponse(reader, nil)
				require.NoError(t, err)
				defer response.Body.Close()
				_, err = io.Copy(io.Discard, response.Body)
				require.NoError(t, err)
				return response.StatusCode
			}
			if c.used {
				_, err = io.WriteString(conn, request)
				require.NoError(t, err)
				require.Equal(t, http.StatusOK, status())
			}
			_, err = io.WriteString(conn, request[:c.first])
			require.NoError(t, err)
			in.stop()
			refusesNew := time.Now().Add(2400 * time.Millisecond)
			time.AfterFunc(time.Until(refusesNew)+c.pause, func() { _, _ = io.WriteString(conn, request[c.first:]) })
			require.Equal(t, http.StatusServiceUnavailable, status())
			_, err = reader.ReadByte()
			require.ErrorIs(t, err, io.EOF, "nothing follows the answer")
			require.Less(t, time.Since(refusesNew), 1500*time.Millisecond)
			err = <-in.ended
			in.ended <- err
			require.NoError(t, err)
		})
	}
}

// Guards against a stop that waits to its limit, and reports a failure, for the rest of a body whose
// request it has refused.
func TestStopDoesNotWaitForBodiesOfRefusedRequests(t *testing.T) {
	for _, c := range []struct {
		name string
		// late is true if the request arrives when the stop refuses new ones.
		late bool
	}{{"body in progress", false}, {"new request", true}} {
		t.Run(c.name, func(t *testing.T) {
			s := newSite(t, 1, func(settings *mcsetting.Settings) { settings.Forward.Grace = 6 * time.Second })
			in := s.instances[0]
			conn, err := net.Dial("tcp", in.callers)
			require.NoError(t, err)
			defer conn.Close()
			send := func() {
				_, _ = io.WriteString(conn, "POST /v1/x HTTP/1.1\r\nHost: svc.example\r\nRequest-Id: q\r\nAuthorization: Bearer key\r\nContent-Length: 8\r\n\r\nhalf")
			}
			if c.late {
				// The connection stays open, as its next request has begun to arrive.
				_, err = io.WriteString(conn, "P")
				require.NoError(t, err)
			} else {
				send()
			}
			time.Sleep(100 * time.Millisecond)
			in.stop()
			refusesNew := time.Now().Add(2400 * time.Millisecond)
			if c.late {
				time.AfterFunc(time.Until(refusesNew)+100*time.Millisecond, func() {
					_, _ = io.WriteString(conn, "OST /v1/x HTTP/1.1\r\nHost: svc.example\r\nRequest-Id: q\r\nAuthorization: Bearer key\r\nContent-Length: 8\r\n\r\nhalf")
				})
			}
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			require.NoError(t, err)
			defer response.Body.Close()
			require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
			err = <-in.ended
			in.ended <- err
			require.NoError(t, err)
		})
	}
}
