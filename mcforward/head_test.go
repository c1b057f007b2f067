package mcforward_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a HEAD request on a streaming route that runs at one endpoint after another and
// then fails, because an answer without events is taken for a broken one.
func TestHeadOfStreamRunsOnce(t *testing.T) {
	for _, path := range []string{"/stream/x", "/solo/stream/x"} {
		t.Run(path, func(t *testing.T) {
			b := newTestBed(t, 3)
			require.Equal(t, http.StatusOK, b.send(b.request(http.MethodHead, path, "")).status)
			require.Len(t, b.runs(), 1)
		})
	}
}
