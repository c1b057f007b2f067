package mcgateway_test

import (
	"context"
	"encoding/json"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"marigoldcroft"
	"marigoldcroft/mcledger"
)

// fakeService is a fake service whose endpoints fail or answer by name.
type fakeService struct {
	marigoldcroft.Service

	fails map[string]bool
	calls []string
	keys  []string
}

func (s *fakeService) Call(_ context.Context, endpoint marigoldcroft.Endpoint, call marigoldcroft.ServiceCall) (marigoldcroft.ServiceAnswer, error) {
	s.calls, s.keys = append(s.calls, endpoint.Name()), append(s.keys, call.Key)
	if s.fails[endpoint.Name()] {
		return marigoldcroft.ServiceAnswer{}, context.DeadlineExceeded
	}
	return marigoldcroft.ServiceAnswer{Status: http.StatusOK, Header: http.Header{}, Body: []byte("ran " + call.Path)}, nil
}

func (s *fakeService) Status(context.Context, marigoldcroft.Endpoint, string) (marigoldcroft.ServiceAnswer, bool, error) {
	return marigoldcroft.ServiceAnswer{}, false, nil
}

// fakeLedger is a fake ledger that grants every attempt.
type fakeLedger struct{ finished []marigoldcroft.ActionState }

func (l *fakeLedger) Begin(context.Context, marigoldcroft.ActionKey, [32]byte) (marigoldcroft.ActionGrant, error) {
	return marigoldcroft.ActionGrant{Granted: true, AttemptID: "1", State: marigoldcroft.ActionStarted}, nil
}

func (l *fakeLedger) Finish(_ context.Context, _ marigoldcroft.ActionKey, _ string, state marigoldcroft.ActionState, _ marigoldcroft.ActionOutcome) error {
	l.finished = append(l.finished, state)
	return nil
}

// TestServiceCalls checks that only repeatable calls are tried at a second endpoint. A
// refusal before the ledger was read must not say notRun, as an earlier request with the
// same key may have run. The key that the service gets must contain the team, so that equal
// keys of two teams differ.
func TestServiceCalls(t *testing.T) {
	const key = "0193919b-7a00-7000-8000-000000000001"
	cases := []struct {
		name, path, template, key string
		fails                     map[string]bool
		status                    int
		notRun                    bool
		outcome                   string
		calls                     []string
	}{
		{"repeatable call", "/v1/services/desk/stock?x=1", "orders", "", nil, 200, false, "", []string{"s1"}},
		{"repeatable call goes on at the next endpoint", "/v1/services/desk/stock", "orders", "", map[string]bool{"s1": true}, 200, false, "", []string{"s1", "s2"}},
		{"repeatable call fails everywhere", "/v1/services/desk/stock", "orders", "", map[string]bool{"s1": true, "s2": true}, 502, false, "failed", []string{"s1", "s2"}},
		{"action without key", "/v1/services/desk/print", "booking", "", nil, 400, true, "notRun", nil},
		{"action runs", "/v1/services/desk/print", "booking", key, nil, 200, false, "", []string{"s1"}},
		{"action whose answer is lost is not repeated", "/v1/services/desk/print", "booking", key, map[string]bool{"s1": true}, 502, false, "unknown", []string{"s1"}},
		{"refused before the ledger was read", "/v1/services/other/print", "booking", key, nil, 400, false, "unknown", nil},
		{"refused without a key", "/v1/services/other/stock", "orders", "", nil, 400, true, "notRun", nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := newTestGateway(nil)
			service, ledger := &fakeService{fails: c.fails}, &fakeLedger{}
			g.Service = service
			g.ServiceEndpoints = func(string) []marigoldcroft.Endpoint {
				return []marigoldcroft.Endpoint{
					marigoldcroft.NewEndpoint(marigoldcroft.EndpointSpec{Name: "s1"}), marigoldcroft.NewEndpoint(marigoldcroft.EndpointSpec{Name: "s2"}),
				}
			}
			g.ActionExecutor = &mcledger.Executor{Ledger: ledger, Service: service}
			header := []string{"X-Template", c.template}
			if c.key != "" {
				header = append(header, "Idempotency-Key", c.key)
			}
			w := g.request(t.Context(), http.MethodPost, c.path, "{}", header...)
			g.ActionExecutor.Wait()
			var problem struct {
				NotRun  bool   `json:"notRun"`
				Outcome string `json:"outcome"`
			}
			if w.Code != http.StatusOK {
				require.NoError(t, json.Unmarshal(w.Body.Bytes(), &problem), w.Body.String())
			}
			require.Equal(t, c.status, w.Code, w.Body.String())
			require.Equal(t, c.notRun, problem.NotRun, w.Body.String())
			require.Equal(t, c.outcome, problem.Outcome, w.Body.String())
			require.Equal(t, c.calls, service.calls)
			for _, sent := range service.keys {
				if c.key != "" {
					require.Equal(t, "studio/"+c.key, sent)
				}
			}
		})
	}
}
