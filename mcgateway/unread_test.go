package mcgateway_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marigoldcroft"
)

// limitedWriter records the last write deadline that is set.
type limitedWriter struct {
	*httptest.ResponseRecorder
	deadline time.Time
}

func (w *limitedWriter) SetWriteDeadline(t time.Time) error {
	w.deadline = t
	return nil
}

// Guards against an answer whose caller stops reading: without a write limit the write would block
// without end. A limit before the end of the request would cut off an answer that came late.
func TestEveryAnswerHasAWriteLimit(t *testing.T) {
	for _, c := range []struct {
		name, method, path, template, body string
		limit                              time.Duration
	}{
		{"chat", http.MethodPost, "/v1/chat/completions", "caption", body("caption", ""), 60 * time.Second},
		{"stream", http.MethodPost, "/v1/chat/completions", "caption", body("caption", `,"stream":true`), 60 * time.Second},
		{"service", http.MethodPost, "/v1/services/desk/stock", "orders", "{}", 60 * time.Second},
		{"job", http.MethodGet, "/v1/jobs/j1", "", "", 0},
		{"stream of a job", http.MethodGet, "/v1/jobs/j1/stream", "", "", 60 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := newTestGateway(map[string][]string{"a": {"word"}})
			service := &fakeService{}
			g.Service, g.JobStatus = service, &fakeJobQuery{states: []marigoldcroft.JobState{marigoldcroft.JobDone}}
			g.ServiceEndpoints = func(string) []marigoldcroft.Endpoint {
				return []marigoldcroft.Endpoint{marigoldcroft.NewEndpoint(marigoldcroft.EndpointSpec{Name: "s1"})}
			}
			r := httptest.NewRequestWithContext(t.Context(), c.method, c.path, strings.NewReader(c.body))
			r.Header.Set("Authorization", "Bearer "+callerKey)
			r.Header.Set("X-Template", c.template)
			w, begun := &limitedWriter{ResponseRecorder: httptest.NewRecorder()}, time.Now()
			g.Handler().ServeHTTP(w, r)
			require.Equal(t, http.StatusOK, w.Code, w.Body.String())
			require.WithinRange(t, w.deadline, begun.Add(c.limit), time.Now().Add(c.limit+30*time.Second))
		})
	}
}
