package mcforward_test

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// pipeListener accepts connections without buffers.
type pipeListener struct{ conns chan net.Conn }

func (l pipeListener) Accept() (net.Conn, error) {
	conn, open := <-l.conns
	if !open {
		return nil, net.ErrClosed
	}
	return conn, nil
}

func (l pipeListener) Close() error   { return nil }
func (l pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// Guards against a caller that does not read the end of its answer, which the server buffers until
// the handler has returned, and thereby holds its connection, and a planned stop, without limit.
func TestUnreadEndOfAnAnswerIsGivenUp(t *testing.T) {
	b := newTestBed(t, 1)
	listener, closed := pipeListener{make(chan net.Conn, 1)}, make(chan struct{})
	defer close(listener.conns)
	server := &http.Server{Handler: b.forwarder, ConnState: func(_ net.Conn, state http.ConnState) {
		if state == http.StateClosed {
			close(closed)
		}
	}}
	go func() { _ = server.Serve(listener) }()
	caller, accepted := net.Pipe()
	defer caller.Close()
	listener.conns <- accepted
	_, err := fmt.Fprintf(caller, "GET /once/x HTTP/1.1\r\nHost: svc.example\r\nRequest-Id: r\r\nDeadline-Ms: 300\r\nAuthorization: Bearer %s\r\n\r\n", testKey)
	require.NoError(t, err)
	select {
	case <-closed:
	case <-time.After(4 * time.Second):
		t.Fatal("the connection was held beyond the deadline of its request")
	}
	require.Len(t, b.runs(), 1)
}
