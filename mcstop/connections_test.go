package mcstop_test

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"marigoldcroft/mcstop"
)

// failingListener fails instead of accepting.
type failingListener struct{ net.Listener }

func (failingListener) Accept() (net.Conn, error) { return nil, errors.New("accept failed") }

// Guards against a stop that never ends because the server has stopped accepting connections after
// an error before.
func TestDrainEndsAfterAFailedAccept(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := &http.Server{ReadHeaderTimeout: time.Second}
	connections := mcstop.NewConnections(server, failingListener{listener}, nil)
	require.ErrorContains(t, server.Serve(connections), "accept failed")
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	drained := make(chan error, 1)
	go func() { drained <- connections.Drain(ctx) }()
	select {
	case err := <-drained:
		require.ErrorIs(t, err, context.DeadlineExceeded)
	case <-time.After(5 * time.Second):
		require.Fail(t, "Drain has not returned")
	}
}
