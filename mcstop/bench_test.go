package mcstop_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marigoldcroft/mcbudget"
	"marigoldcroft/mcstop"
)

// BenchmarkRequest measures an ordinary request on a kept connection, beside idle ones.
func BenchmarkRequest(b *testing.B) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = w.Write([]byte("answer"))
	})}
	budget := &mcbudget.Budget{Memory: 100 << 20}
	connections := mcstop.NewConnections(server, listener, budget.Share("callers", 1000))
	go func() { _ = server.Serve(connections) }()
	defer server.Close()
	var conns []net.Conn
	for range 500 {
		conn, err := net.Dial("tcp", listener.Addr().String())
		require.NoError(b, err)
		conns = append(conns, conn)
		defer conn.Close()
	}
	reader := bufio.NewReader(conns[0])
	request := []byte("POST /x HTTP/1.1\r\nHost: svc.example\r\nRequest-Id: q\r\nAuthorization: Bearer key\r\nContent-Length: 4096\r\n\r\n")
	request = append(request, make([]byte, 4096)...)
	for b.Loop() {
		_, err := conns[0].Write(request)
		require.NoError(b, err)
		response, err := http.ReadResponse(reader, nil)
		require.NoError(b, err)
		_, err = io.Copy(io.Discard, response.Body)
		require.NoError(b, err)
	}
}
