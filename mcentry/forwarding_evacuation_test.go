package mcentry_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marigoldcroft/mcsetting"
	"marigoldcroft/mcstandin"
)

// addServer adds a server to a site in a data centre.
func (s *site) addServer(name, dataCentre string) *mcstandin.PlatformServer {
	server := &mcstandin.PlatformServer{ID: name}
	back := httptest.NewServer(server)
	s.t.Cleanup(back.Close)
	s.store.Put("servers", name, fmt.Appendf(nil, `{"service":"s","address":%q,"zone":%q,"batch-slots":8,"state":"ready","born":5}`,
		strings.TrimPrefix(back.URL, "http://"), dataCentre))
	return server
}

func followEvacuations(settings *mcsetting.Settings) {
	settings.Forward.EvacuationDelay = 5 * time.Second
}

// Guards against requests to an evacuated data centre, against one whose entry cannot be decoded and
// is ignored, and against one that gets no requests after the evacuation was withdrawn.
func TestEvacuatedDataCentreGetsNoRequests(t *testing.T) {
	s := newSite(t, 2, followEvacuations)
	other := s.addServer("i-2", "y")
	serve := func() {
		for range 20 {
			for _, in := range s.instances {
				require.Equal(t, http.StatusOK, in.get(t, "/v1/x", "key"))
			}
		}
	}
	require.Eventually(t, func() bool {
		serve()
		return len(other.Runs()) > 0
	}, 10*time.Second, time.Millisecond)
	for _, spec := range []string{`{}`, "not JSON"} {
		s.store.Put("evacuations", "y", []byte(spec))
		time.Sleep(300 * time.Millisecond)
		before := len(other.Runs())
		serve()
		require.Len(t, other.Runs(), before)
		s.store.Remove("evacuations", "y")
		require.Eventually(t, func() bool {
			serve()
			return len(other.Runs()) > before
		}, 10*time.Second, time.Millisecond)
	}
}
