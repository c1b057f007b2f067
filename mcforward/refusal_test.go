package mcforward_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"marigoldcroft/mcforward"
)

// logLines sends a request to a forwarder with the parts of the test bed and returns its log lines.
func (b *testBed) logLines(status int) []map[string]any {
	b.t.Helper()
	var output bytes.Buffer
	f := &mcforward.Forwarder{
		Codec: b.forwarder.Codec, Router: b.forwarder.Router, Fleet: b.forwarder.Fleet, Dispatcher: b.forwarder.Dispatcher,
		Retries: b.forwarder.Retries, Quarantine: b.forwarder.Quarantine, Announce: b.announce, OnLoadChange: func() {},
		Metrics: b.forwarder.Metrics, Logger: zerolog.New(&output), MaxInFlight: 1,
		ListingAge: func() (time.Duration, bool) { return 1200 * time.Millisecond, true },
	}
	r := b.request(http.MethodGet, "/once/x", "")
	r.RequestURI = "/once/x"
	w := httptest.NewRecorder()
	f.ServeHTTP(w, r)
	require.Equal(b.t, status, w.Code)
	var lines []map[string]any
	for _, raw := range bytes.Split(bytes.TrimSpace(output.Bytes()), []byte("\n")) {
		var line map[string]any
		require.NoError(b.t, json.Unmarshal(raw, &line))
		lines = append(lines, line)
	}
	return lines
}

// refusalLine sends a request that must be refused, and returns its last log line.
func (b *testBed) refusalLine() map[string]any {
	b.t.Helper()
	lines := b.logLines(http.StatusServiceUnavailable)
	return lines[len(lines)-1]
}

// Guards against refusals whose log line does not tell an instance without endpoints from one
// whose scheduler does not know them, or a stale routing table from one that was never confirmed.
func TestRefusalLineHasItsInputs(t *testing.T) {
	b := newTestBed(t, 2)
	b.forwarder.Dispatcher.Scheduler.SetEndpoints(time.Now(), nil)
	line := b.refusalLine()
	require.Equal(t, "admission: refused: noEndpoint", line["reason"])
	require.Equal(t, 2.0, line["listed"])
	require.Equal(t, 1200.0, line["listingAgeMs"])
	require.Contains(t, line, "routingAgeMs")

	b.forwarder.Router = newRouter()
	b.forwarder.Router.Update(routingTable(1, testKey), "test")
	line = b.refusalLine()
	require.Equal(t, "the keys were never confirmed", line["reason"])
	require.Equal(t, 1200.0, line["listingAgeMs"])
	require.NotContains(t, line, "routingAgeMs")
	require.NotContains(t, line, "listed")
}

// Guards against a request at a leaving endpoint whose log line does not tell whether the instance
// had an old listing or had taken the endpoint back into use.
func TestDispatchLineHasItsInputs(t *testing.T) {
	b := newTestBed(t, 1)
	for _, line := range b.logLines(http.StatusOK) {
		if line["message"] == "dispatched" {
			require.Equal(t, 1200.0, line["listingAgeMs"])
			require.Equal(t, 1.0, line["incarnation"])
			return
		}
	}
	t.Fatal("no line of the dispatch")
}
