package mcgateway_test

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marigoldcroft"
	"marigoldcroft/mcgateway"
	"marigoldcroft/mcledger"
)

// slowService is a fake service whose calls take ten seconds.
type slowService struct {
	fakeService

	mu sync.Mutex
}

func (s *slowService) Call(ctx context.Context, endpoint marigoldcroft.Endpoint, call marigoldcroft.ServiceCall) (marigoldcroft.ServiceAnswer, error) {
	s.mu.Lock()
	answer, err := s.fakeService.Call(ctx, endpoint, call)
	s.mu.Unlock()
	select {
	case <-ctx.Done():
		return marigoldcroft.ServiceAnswer{}, ctx.Err()
	case <-time.After(10 * time.Second):
	}
	return answer, err
}

// Guards against a call of a plain service that a stop accepts and cuts off although all earlier
// calls took longer than what is left.
func TestStopJudgesCallsOfPlainServices(t *testing.T) {
	bubble(t, func(t *testing.T, run func(*testGateway) *testGateway) {
		g := run(newTestGateway(nil))
		service := &slowService{}
		g.Service = service
		g.ServiceEndpoints = func(string) []marigoldcroft.Endpoint {
			return []marigoldcroft.Endpoint{marigoldcroft.NewEndpoint(marigoldcroft.EndpointSpec{Name: "s"})}
		}
		for range 3 {
			require.Equal(t, http.StatusOK, g.request(t.Context(), http.MethodPost, "/v1/services/desk/stock", "{}", "X-Template", "orders").Code)
		}
		g.Drain(time.Now().Add(time.Second))
		time.AfterFunc(2*time.Second, g.Abort)
		w := g.request(t.Context(), http.MethodPost, "/v1/services/desk/stock", "{}", "X-Template", "orders")
		problem := decodeProblem(t, w.Body.String())
		require.Equal(t, mcgateway.CodeStopping, problem.Code, w.Body.String())
		require.True(t, problem.NotRun)
		require.Len(t, service.calls, 3)
	})
}

// Guards against an action that a stop grants and whose outcome its caller does not learn, as it
// cannot end in time.
func TestStopJudgesActions(t *testing.T) {
	bubble(t, func(t *testing.T, run func(*testGateway) *testGateway) {
		g := run(newTestGateway(nil))
		service, ledger := &slowService{}, &fakeLedger{}
		g.Service = service
		g.ServiceEndpoints = func(string) []marigoldcroft.Endpoint {
			return []marigoldcroft.Endpoint{marigoldcroft.NewEndpoint(marigoldcroft.EndpointSpec{Name: "s"})}
		}
		g.ActionExecutor = &mcledger.Executor{Ledger: ledger, Service: service}
		act := func(key string) (int, mcgateway.Problem) {
			w := g.request(t.Context(), http.MethodPost, "/v1/services/desk/print", "{}", "X-Template", "booking", "Idempotency-Key", key)
			if w.Code == http.StatusOK {
				return w.Code, mcgateway.Problem{}
			}
			return w.Code, decodeProblem(t, w.Body.String())
		}
		code, _ := act("0193919b-7a00-7000-8000-000000000001")
		require.Equal(t, http.StatusOK, code)
		g.Drain(time.Now().Add(20 * time.Second))
		code, _ = act("0193919b-7a00-7000-8000-000000000002")
		require.Equal(t, http.StatusOK, code, "20 s are left")
		_, problem := act("0193919b-7a00-7000-8000-000000000003")
		require.Equal(t, mcgateway.CodeStopping, problem.Code)
		require.Equal(t, mcgateway.OutcomeUnknown, problem.Outcome, "an earlier request with the key may have run")
		require.Len(t, service.calls, 2)
		g.ActionExecutor.Wait()
	})
}

// Guards against a call that a stop accepts and cuts off although the calls that run have taken
// longer than what is left, when none has ended yet.
func TestStopCountsRunningCallsOfPlainServices(t *testing.T) {
	bubble(t, func(t *testing.T, run func(*testGateway) *testGateway) {
		g := run(newTestGateway(nil))
		g.Service = &slowService{}
		g.ServiceEndpoints = func(string) []marigoldcroft.Endpoint {
			return []marigoldcroft.Endpoint{marigoldcroft.NewEndpoint(marigoldcroft.EndpointSpec{Name: "s"})}
		}
		call := func() int {
			return g.request(t.Context(), http.MethodPost, "/v1/services/desk/stock", "{}", "X-Template", "orders").Code
		}
		var running sync.WaitGroup
		for range 2 {
			running.Go(func() { require.Equal(t, http.StatusOK, call()) })
			time.Sleep(time.Millisecond)
		}
		time.Sleep(8 * time.Second)
		g.Drain(time.Now().Add(4 * time.Second))
		require.Equal(t, http.StatusServiceUnavailable, call())
		running.Wait()
	})
}
