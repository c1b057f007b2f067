package mcstandin

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"
)

// RawServer answers each request with given bytes and then ends the connection. Its fields are
// set before the first request.
type RawServer struct {
	// Response returns the bytes of the response, with its head.
	Response func(r *http.Request) string
	// Reset resets the connection after the response instead of closing it.
	Reset bool

	served, serving, extra atomic.Int64
}

// Served returns the number of requests that were answered.
func (s *RawServer) Served() int64 { return s.served.Load() }

// Serving returns the number of connections that a caller has not closed yet.
func (s *RawServer) Serving() int64 { return s.serving.Load() }

// Extra returns the number of bytes that callers sent on connections that had ended.
func (s *RawServer) Extra() int64 { return s.extra.Load() }

// ServeHTTP reads the request, sends the bytes and ends the connection.
func (s *RawServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.serving.Add(1)
	defer s.serving.Add(-1)
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	conn, buffered, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	tcp := conn.(*net.TCPConn)
	if _, err := io.WriteString(tcp, s.Response(r)); err != nil {
		return
	}
	s.served.Add(1)
	if s.Reset {
		// The error is ignored: without the option, the test that needs the reset fails.
		_ = tcp.SetLinger(0)
		return
	}
	if tcp.CloseWrite() != nil {
		return
	}
	n, _ := io.Copy(io.Discard, buffered)
	s.extra.Add(n)
}
