package mcgateway_test

import (
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"marigoldcroft/mcgateway"
)

// Guards against a request that fails at a running instance because its home aborts a stop: nothing
// of the answer was delivered, so the instance that the caller reached can run it.
func TestRequestOutlivesAbortedStopOfItsHome(t *testing.T) {
	bubble(t, func(t *testing.T, run func(*testGateway) *testGateway) {
		home, entry := run(newTestGateway(map[string][]string{"a": {"..."}})), run(newTestGateway(map[string][]string{"a": {"y"}}))
		entry.JoinInstance = joinInstanceAt(t, &mcgateway.StreamServer{Gateway: home.Gateway})
		response := make(chan *httptest.ResponseRecorder, 1)
		go func() { response <- entry.chat(t.Context(), body("caption", ""), "Idempotency-Key", "k") }()
		time.Sleep(time.Second)
		synctest.Wait()
		require.Equal(t, 1, home.engine.count())
		home.Drain(time.Now())
		home.Abort()
		w := <-response
		require.Equal(t, "y", text(w), w.Body.String())
	})
}
