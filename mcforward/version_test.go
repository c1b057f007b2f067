package mcforward_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against one caller that takes all endpoints out of use for the others, by asking for a version
// of the model's weights that none of them has: each must answer that with 421, as if another endpoint
// had its address.
func TestCallerThatExpectsAVersionTakesNoEndpointOutOfUse(t *testing.T) {
	b := newTestBed(t, 3)
	for i := range b.servers {
		b.httpServers[i].Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Header.Get("Expect-Version") != "" {
				w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
				w.WriteHeader(http.StatusMisdirectedRequest)
				return
			}
			b.servers[i].ServeHTTP(w, r)
		})
	}
	for range 12 {
		r := b.request(http.MethodGet, "/once/x", "")
		r.Header.Set("Expect-Version", "9")
		require.Equal(t, http.StatusServiceUnavailable, b.send(r).status, "it has not run")
		require.Equal(t, http.StatusOK, b.get("/once/x").status)
	}
	require.Len(t, b.runs(), 12)
}
