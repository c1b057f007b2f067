package mcstandin

import (
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// EndlessServer answers each request with bytes that have no end, until the caller closes the
// connection. Its fields are set before the first request.
type EndlessServer struct {
	// Start returns the first bytes of the response; nil means none.
	Start func(r *http.Request) string
	// Rest is sent again and again after them, once per Pause, or without a pause if that is 0.
	Rest  string
	Pause time.Duration

	serving, sent atomic.Int64
}

// Serving returns the number of connections that are being served.
func (s *EndlessServer) Serving() int64 { return s.serving.Load() }

// Sent returns the number of bytes of Rest that were sent on all connections.
func (s *EndlessServer) Sent() int64 { return s.sent.Load() }

// ServeHTTP sends the bytes until a write fails.
func (s *EndlessServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	const blockBytes = 4096
	s.serving.Add(1)
	defer s.serving.Add(-1)
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	if s.Start != nil {
		_, err = io.WriteString(conn, s.Start(r))
	}
	block := []byte(strings.Repeat(s.Rest, blockBytes/len(s.Rest)+1))
	if s.Pause > 0 {
		block = []byte(s.Rest)
	}
	for err == nil {
		time.Sleep(s.Pause)
		var n int
		n, err = conn.Write(block)
		s.sent.Add(int64(n))
	}
}
