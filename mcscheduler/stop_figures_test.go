package mcscheduler_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marigoldcroft"
	"marigoldcroft/mcscheduler"
)

// Guards against a stream that a stop accepts and cuts off although the published figures show that
// its steps take longer: each request in the batch and its context add to the time of a step.
func TestStopUsesAllPublishedFigures(t *testing.T) {
	s, err := mcscheduler.New(mcscheduler.PolicyPassModel, mcscheduler.Default())
	require.NoError(t, err)
	figures := marigoldcroft.EnginePerformance{
		Slots: 16, MemoryTokens: 405_000, StepTime: 1310 * time.Microsecond, StepTimePerRequest: 917 * time.Nanosecond,
		StepTimePerKiloToken: 2 * time.Microsecond, PrefillTokensPerSecond: 154_000, ChunkTokens: 2048, StepsPerPass: 34,
	}
	s.SetEndpoints(at(0), []marigoldcroft.Endpoint{marigoldcroft.NewEndpoint(marigoldcroft.EndpointSpec{
		Name: "e", Kind: marigoldcroft.EndpointEngine, Pool: "m", Performance: figures,
	})})
	for n := range 15 {
		w := passWork(n, 24_000)
		w.Objective = at(20_000)
		require.Equal(t, marigoldcroft.ActionDispatch, s.Submit(at(300*n), w).Action)
		s.FirstToken(at(300*n+200), id(n))
	}
	s.StopBy(at(5000), at(12_000))
	// A step takes 1.31 ms + 16 * 0.9 µs + 360 * 2 µs = 2.05 ms, so that the answer takes 4.1 s.
	late := passWork(100, 100)
	late.OutputTokens, late.Objective = 2000, at(10_000)
	d := s.Submit(at(8400), late)
	require.Equal(t, marigoldcroft.ActionRefuse, d.Action, "3.6 s are left")
	require.Equal(t, marigoldcroft.ReasonStopping, d.Reason)
}
