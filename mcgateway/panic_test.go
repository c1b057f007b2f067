package mcgateway_test

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"marigoldcroft"
	"marigoldcroft/mcgateway"
)

// panickingEngine is an engine whose client fails unexpectedly for one endpoint.
type panickingEngine struct {
	*engine
	endpoint string
}

func (e panickingEngine) Generate(ctx context.Context, endpoint marigoldcroft.Endpoint, request marigoldcroft.GenerateRequest) (marigoldcroft.TokenStream, error) {
	if endpoint.Name() == e.endpoint {
		panic("unexpected")
	}
	return e.engine.Generate(ctx, endpoint, request)
}

// An unexpected error while one request runs must end that attempt only. It must not end the
// process, and must not be reported as not run.
func TestPanicInAnAttemptFailsOneAttempt(t *testing.T) {
	bubble(t, func(t *testing.T, run func(*testGateway) *testGateway) {
		g := run(newTestGateway(map[string][]string{"a": {"x"}, "b": {"x y"}}))
		g.Gateway.Engine = panickingEngine{g.engine, "a"}
		require.Equal(t, "xy", text(g.chat(t.Context(), body("caption", ""))), "repeatable work runs elsewhere")
		problem := decodeProblem(t, g.chat(t.Context(), body("print", "")).Body.String())
		require.Equal(t, mcgateway.CodeUpstreamFailed, problem.Code)
		require.False(t, problem.NotRun)
		synctest.Wait()
		require.Empty(t, g.scheduler.held)
	})
}
