package mcgateway_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marigoldcroft/mcgateway"
)

// Guards against a request that a peer forwards and a stop takes after it refuses new ones: it
// must run at the instance that the caller reached.
func TestStopRefusesNewRequestsOfPeers(t *testing.T) {
	bubble(t, func(t *testing.T, run func(*testGateway) *testGateway) {
		home, entry := run(newTestGateway(map[string][]string{"a": {"x"}})), run(newTestGateway(map[string][]string{"a": {"y"}}))
		entry.JoinInstance = joinInstanceAt(t, &mcgateway.StreamServer{Gateway: home.Gateway})
		home.Drain(time.Now().Add(time.Minute))
		home.RefuseNew()
		require.Equal(t, "y", text(entry.chat(t.Context(), body("caption", ""), "Idempotency-Key", "k")))
		require.Empty(t, home.engine.calls)
	})
}
