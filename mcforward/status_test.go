package mcforward_test

import (
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"marigoldcroft/mcstandin"
)

// Guards against a status below 100, which no answer can have: passing it on ends the handler, and the
// caller's connection is closed without an answer.
func TestStatusThatDoesNotExistIsAFailure(t *testing.T) {
	for _, status := range []string{"000", "042", "099"} {
		t.Run(status, func(t *testing.T) {
			b := newTestBed(t, 1)
			b.httpServers[0].Config.Handler = &mcstandin.RawServer{Response: func(r *http.Request) string {
				return strings.Replace(endlessHead(r, "Content-Length: 3\r\n"), "200 OK", status+" Strange", 1) + "own"
			}}
			got := b.get("/once/x")
			require.False(t, got.broken, "no answer")
			require.Equal(t, http.StatusBadGateway, got.status)
			require.Empty(t, got.header.Get("Response-Seal"))
		})
	}
}
