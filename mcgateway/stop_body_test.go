package mcgateway_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marigoldcroft"
	"marigoldcroft/mcgateway"
)

// Guards against a request that a stop takes long after it refuses new ones, and cuts off: its
// body was still arriving.
func TestStopRefusesBodiesThatEndLate(t *testing.T) {
	for name, c := range map[string]struct{ path, template, body string }{
		"chat":    {"/v1/chat/completions", "", body("caption", "")},
		"job":     {"/v1/jobs", "", body("caption", "")},
		"service": {"/v1/services/desk/stock", "orders", "{}"},
	} {
		t.Run(name, func(t *testing.T) {
			bubble(t, func(t *testing.T, run func(*testGateway) *testGateway) {
				g := run(newTestGateway(map[string][]string{"a": {"x"}}))
				jobs, service := &fakeJobs{}, &fakeService{}
				g.Jobs, g.Service = jobs, service
				g.ServiceEndpoints = func(string) []marigoldcroft.Endpoint {
					return []marigoldcroft.Endpoint{marigoldcroft.NewEndpoint(marigoldcroft.EndpointSpec{Name: "s"})}
				}
				sent, rest := io.Pipe()
				r := httptest.NewRequest(http.MethodPost, c.path, sent)
				r.Header.Set("Authorization", "Bearer "+callerKey)
				r.Header.Set("X-Template", c.template)
				w, ended := httptest.NewRecorder(), make(chan struct{})
				go func() {
					defer close(ended)
					g.Handler().ServeHTTP(w, r)
				}()
				_, err := io.WriteString(rest, c.body[:1])
				require.NoError(t, err)
				g.Drain(time.Now().Add(time.Minute))
				g.RefuseNew()
				_, err = io.WriteString(rest, c.body[1:])
				require.NoError(t, err)
				require.NoError(t, rest.Close())
				<-ended
				require.Equal(t, http.StatusServiceUnavailable, w.Code, w.Body.String())
				problem := decodeProblem(t, w.Body.String())
				require.Equal(t, mcgateway.CodeStopping, problem.Code)
				require.True(t, problem.NotRun)
				require.Zero(t, len(g.engine.calls)+len(service.calls))
				require.Empty(t, jobs.submission.Team)
			})
		})
	}
}
