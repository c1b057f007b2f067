package mcentry_test

import (
	"net"
	"net/http"
	"testing"

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
