package mcgateway_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a request that is closed without an answer because its caller reuses a connection
// that a planned stop is about to close.
func TestStopAnnouncesTheEndOfConnections(t *testing.T) {
	for name, refuse := range map[string]bool{"served": false, "refused": true} {
		t.Run(name, func(t *testing.T) {
			bubble(t, func(t *testing.T, run func(*testGateway) *testGateway) {
				g := run(newTestGateway(map[string][]string{"a": {"x"}}))
				g.Drain(time.Now().Add(time.Minute))
				if refuse {
					g.RefuseNew()
				}
				r := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", strings.NewReader(body("caption", "")))
				r.Header.Set("Authorization", "Bearer "+callerKey)
				w := httptest.NewRecorder()
				g.Handler().ServeHTTP(w, r)
				want := http.StatusOK
				if refuse {
					want = http.StatusServiceUnavailable
				}
				require.Equal(t, want, w.Code, w.Body.String())
				require.Equal(t, "close", w.Header().Get("Connection"))
			})
		})
	}
}
