package mcscheduler_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marigoldcroft"
	"marigoldcroft/mcscheduler"
)

// plainServer returns a server of a plain service.
func plainServer(name string) marigoldcroft.Endpoint {
	return marigoldcroft.NewEndpoint(marigoldcroft.EndpointSpec{
		Name: name, Kind: marigoldcroft.EndpointService, Pool: "m", Performance: marigoldcroft.EnginePerformance{Slots: 4},
	})
}

// newPlainService returns a scheduler for one server of a plain service.
func newPlainService(t *testing.T) marigoldcroft.Scheduler {
	t.Helper()
	s, err := mcscheduler.New(mcscheduler.PolicyPassModel, mcscheduler.Default())
	require.NoError(t, err)
	s.SetEndpoints(at(0), []marigoldcroft.Endpoint{plainServer("s")})
	return s
}

// serviceCall returns a call to the plain service.
func serviceCall(n int) marigoldcroft.Work {
	return marigoldcroft.Work{ID: id(n), Model: "m", PromptTokens: 1, Deadline: at(60_000)}
}

// runCall dispatches a call at the time and ends it after it took the given milliseconds.
func runCall(t *testing.T, s marigoldcroft.Scheduler, n, begin, took int, succeeded bool) {
	t.Helper()
	require.Equal(t, marigoldcroft.ActionDispatch, s.Submit(at(begin), serviceCall(n)).Action)
	s.Finish(at(begin+took), id(n), marigoldcroft.Completion{Succeeded: succeeded, Total: time.Duration(took) * time.Millisecond})
}

// Guards against a call that a stop accepts by the mean time of earlier calls and cuts off: every
// fifth call takes much longer than the mean.
func TestStopJudgesCallsByTheLongOnes(t *testing.T) {
	s := newPlainService(t)
	now := 0
	for n := range 20 {
		took := 100
		if n%5 == 0 {
			took = 3000
		}
		runCall(t, s, n, now, took, true)
		now += took
	}
	s.StopBy(at(now), at(now+7200))
	require.Equal(t, marigoldcroft.ActionDispatch, s.Submit(at(now+2000), serviceCall(100)).Action, "5.2 s are left")
	late := s.Submit(at(now+5200), serviceCall(101))
	require.Equal(t, marigoldcroft.ActionRefuse, late.Action, "2 s are left")
	require.Equal(t, marigoldcroft.ReasonStopping, late.Reason)
}

// Guards against attempts that fail at once, which shorten the time that a stop predicts for calls.
func TestFailedAttemptsDoNotShortenThePredictionOfAStop(t *testing.T) {
	s := newPlainService(t)
	for n := range 5 {
		runCall(t, s, n, 2000*n, 2000, true)
	}
	for n := range 10 {
		runCall(t, s, 10+n, 10_000+n, 1, false)
	}
	s.StopBy(at(10_100), at(17_300))
	require.Equal(t, marigoldcroft.ActionDispatch, s.Submit(at(12_000), serviceCall(100)).Action)
	late := s.Submit(at(16_300), serviceCall(101))
	require.Equal(t, marigoldcroft.ActionRefuse, late.Action, "1 s is left for a call that takes 2 s")
	require.Equal(t, marigoldcroft.ReasonStopping, late.Reason)
}

// Guards against an answer that a stop accepts and cuts off because no answer has ended in the
// last seconds, as when all answers are long: what was learned before counts for a stop.
func TestStopUsesPredictionsAfterAQuietTime(t *testing.T) {
	s := newScheduler(t, mcscheduler.PolicyLengthAware, 1, func(settings *mcscheduler.Settings) {
		settings.DecodeTimePerToken, settings.OutputShare = time.Millisecond, 0.1
	})
	s.Submit(at(0), work(0, 2000, 3000))
	s.FirstToken(at(100), id(0))
	s.Finish(at(3100), id(0), marigoldcroft.Completion{
		Succeeded: true, PromptTokens: 2000, OutputTokens: 3000, FirstToken: 100 * time.Millisecond, Total: 3100 * time.Millisecond,
	})
	s.StopBy(at(15_000), at(22_000))
	require.Equal(t, marigoldcroft.ActionDispatch, s.Submit(at(16_000), work(1, 100, 3000)).Action)
	late := s.Submit(at(20_500), work(2, 100, 3000))
	require.Equal(t, marigoldcroft.ActionRefuse, late.Action, "1.5 s are left for an answer of 3 s")
	require.Equal(t, marigoldcroft.ReasonStopping, late.Reason)
}
