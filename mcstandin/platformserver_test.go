package mcstandin_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marigoldcroft/mcstandin"
)

// Guards against a data race between SetFaults and running streams, which read the faults. The
// race detector reports it.
func TestSetFaultsDuringStream(t *testing.T) {
	s := &mcstandin.PlatformServer{ID: "i-1", Events: 20, EventInterval: time.Millisecond}
	server := httptest.NewServer(s)
	defer server.Close()
	answered := make(chan error, 1)
	go func() {
		answer, err := http.Get(server.URL + "/stream/a")
		if err == nil {
			_, err = io.Copy(io.Discard, answer.Body)
			answer.Body.Close()
		}
		answered <- err
	}()
	for {
		s.SetFaults(mcstandin.PlatformServerFaults{BreakAfterEvent: 30, BrokenStreams: 1})
		select {
		case err := <-answered:
			require.NoError(t, err)
			return
		default:
		}
	}
}
