package mcgateway_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"marigoldcroft/mcgateway"
)

// Guards against a request that a stop takes without a prediction and cuts off, because another
// instance, at which identical requests are joined, runs it.
func TestStopJudgesRequestsThatItForwards(t *testing.T) {
	bubble(t, func(t *testing.T, run func(*testGateway) *testGateway) {
		home, entry := run(newTestGateway(map[string][]string{"a": {"..."}})), newTestGateway(map[string][]string{"a": {"y"}})
		entry.Dispatcher.Scheduler = &stoppingScheduler{scheduler: entry.scheduler}
		run(entry)
		entry.JoinInstance = joinInstanceAt(t, &mcgateway.StreamServer{Gateway: home.Gateway})
		entry.Drain(time.Now().Add(time.Second))
		time.AfterFunc(1500*time.Millisecond, entry.Abort)
		problem := decodeProblem(t, entry.chat(t.Context(), body("caption", ""), "Idempotency-Key", "k").Body.String())
		synctest.Wait()
		require.Equal(t, mcgateway.CodeStopping, problem.Code)
		require.True(t, problem.NotRun, "the answer would end after the stop")
		require.Zero(t, home.engine.count())
	})
}
