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

// serviceScript is a fake service whose endpoints fail or answer by name.
type serviceScript struct {
	marigoldcroft.Service

	fails map[string]bool
	calls []string
	keys  []string
}

func (s *serviceScript) Call(_ context.Context, endpoint marigoldcroft.Endpoint, call marigoldcroft.ServiceCall) (marigoldcroft.ServiceAnswer, error) {
	s.calls, s.keys = append(s.calls, endpoint.Name()), append(s.keys, call.Key)
	if s.fails[endpoint.Name()] {
		return marigoldcroft.ServiceAnswer{}, context.DeadlineExceeded
	}
	return marigoldcroft.ServiceAnswer{Status: http.StatusOK, Header: http.Header{}, Body: []byte("ran " + call.Path)}, nil
}

func (s *serviceScript) Status(context.Context, marigoldcroft.Endpoint, string) (marigoldcroft.ServiceAnswer, bool, error) {
	return marigoldcroft.ServiceAnswer{}, false, nil
}

// ledgerScript is a fake ledger that grants every attempt.
type ledgerScript struct{ finished []marigoldcroft.ActionState }

func (l *ledgerScript) Begin(context.Context, marigoldcroft.ActionKey, [32]byte) (marigoldcroft.ActionGrant, error) {
	return marigoldcroft.ActionGrant{Granted: true, AttemptID: "1", State: marigoldcroft.ActionStarted}, nil
}

func (l *ledgerScript) Finish(_ context.Context, _ marigoldcroft.ActionKey, _ string, state marigoldcroft.ActionState, _ marigoldcroft.ActionOutcome) error {
	l.finished = append(l.finished, state)
	return nil
}

// Guards against a second run of an at-most-once call, a refusal that says notRun for a
// key that may have run, and keys of different teams that are the same at the service.
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
			b := newTestGateway(nil)
			service, ledger := &serviceScript{fails: c.fails}, &ledgerScript{}
			b.Service = service
			b.ServiceEndpoints = func(string) []marigoldcroft.Endpoint {
				return []marigoldcroft.Endpoint{
					marigoldcroft.NewEndpoint(marigoldcroft.EndpointSpec{Name: "s1"}), marigoldcroft.NewEndpoint(marigoldcroft.EndpointSpec{Name: "s2"}),
				}
			}
			b.ActionExecutor = &mcledger.Executor{Ledger: ledger, Service: service}
			header := []string{"X-Template", c.template}
			if c.key != "" {
				header = append(header, "Idempotency-Key", c.key)
			}
			w := b.request(t.Context(), http.MethodPost, c.path, "{}", header...)
			b.ActionExecutor.Wait()
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
