package mcgateway_test

import (
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"marigoldcroft/mcgateway"
)

// Guards against a forwarded request that an aborted stop leaves running until the process ends:
// the instance that forwarded it learns of the end too late to run the request again.
func TestAbortEndsRequestsOfPeers(t *testing.T) {
	bubble(t, func(t *testing.T, run func(*testGateway) *testGateway) {
		home, entry := run(newTestGateway(map[string][]string{"a": {"..."}})), run(newTestGateway(map[string][]string{"a": {"y"}}))
		entry.JoinInstance = joinInstanceAt(t, &mcgateway.StreamServer{Gateway: home.Gateway})
		response := make(chan *httptest.ResponseRecorder, 1)
		go func() {
			response <- entry.chat(t.Context(), strings.Replace(body("caption", ""), "{", `{"stream":true,`, 1), "Idempotency-Key", "k")
		}()
		time.Sleep(time.Second)
		synctest.Wait()
		require.Len(t, home.engine.calls, 1)
		home.Drain(time.Now())
		home.Abort()
		synctest.Wait()
		inFlight := home.InFlight()
		<-response
		require.Zero(t, inFlight)
	})
}
