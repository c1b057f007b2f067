package mcgateway_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marigoldcroft"
	"marigoldcroft/mcgateway"
)

// slowService is a fake service whose calls take ten seconds.
type slowService struct{ fakeService }

func (s *slowService) Call(ctx context.Context, endpoint marigoldcroft.Endpoint, call marigoldcroft.ServiceCall) (marigoldcroft.ServiceAnswer, error) {
	answer, err := s.fakeService.Call(ctx, endpoint, call)
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
