package mcscheduler_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marigoldcroft"
	"marigoldcroft/mcscheduler"
)

// Guards against a call that a stop accepts and cuts off because the prediction leaves out the
// calls that still run: the service has become slow, or no call has ended yet.
func TestStopCountsCallsThatStillRun(t *testing.T) {
	for name, ended := range map[string]int{"became slow": 5, "none has ended": 0} {
		t.Run(name, func(t *testing.T) {
			s := newPlainService(t)
			for n := range ended {
				runCall(t, s, n, 10*n, 10, true)
			}
			require.Equal(t, marigoldcroft.ActionDispatch, s.Submit(at(1000), serviceCall(10)).Action)
			require.Equal(t, marigoldcroft.ActionDispatch, s.Submit(at(1000), serviceCall(11)).Action)
			s.StopBy(at(9000), at(13_000))
			late := s.Submit(at(9000), serviceCall(100))
			require.Equal(t, marigoldcroft.ActionRefuse, late.Action, "4 s are left, and the calls that run have taken 8 s")
			require.Equal(t, marigoldcroft.ReasonStopping, late.Reason)
		})
	}
}

// Guards against a stop that refuses all calls of a service because one of its servers, or one
// call, hangs.
func TestStopIgnoresASingleHungServer(t *testing.T) {
	t.Run("call", func(t *testing.T) {
		s := newPlainService(t)
		require.Equal(t, marigoldcroft.ActionDispatch, s.Submit(at(1000), serviceCall(10)).Action)
		runCall(t, s, 0, 2000, 10, true)
		s.StopBy(at(9000), at(13_000))
		require.Equal(t, marigoldcroft.ActionDispatch, s.Submit(at(9000), serviceCall(100)).Action)
	})
	t.Run("server", func(t *testing.T) {
		s, err := mcscheduler.New(mcscheduler.PolicyPassModel, mcscheduler.Default())
		require.NoError(t, err)
		s.SetEndpoints(at(0), []marigoldcroft.Endpoint{plainServer("hung"), plainServer("sound")})
		var sound []int
		for n := range 4 {
			if s.Submit(at(1000), serviceCall(n)).Endpoint == "sound" {
				sound = append(sound, n)
			}
		}
		require.Len(t, sound, 2)
		for _, n := range sound {
			s.Finish(at(1010), id(n), marigoldcroft.Completion{Succeeded: true, Total: 10 * time.Millisecond})
		}
		s.StopBy(at(9000), at(13_000))
		require.Equal(t, marigoldcroft.ActionDispatch, s.Submit(at(9000), serviceCall(100)).Action)
	})
}

// Guards against a call that a stop refuses because of calls that ran long and have ended
// without success.
func TestStopForgetsCallsThatNoLongerRun(t *testing.T) {
	s := newPlainService(t)
	require.Equal(t, marigoldcroft.ActionDispatch, s.Submit(at(1000), serviceCall(10)).Action)
	require.Equal(t, marigoldcroft.ActionDispatch, s.Submit(at(1000), serviceCall(11)).Action)
	require.Equal(t, marigoldcroft.ActionDispatch, s.Submit(at(1000), serviceCall(12)).Action)
	s.Finish(at(8000), id(10), marigoldcroft.Completion{})
	s.Finish(at(8000), id(11), marigoldcroft.Completion{})
	s.StopBy(at(9000), at(13_000))
	require.Equal(t, marigoldcroft.ActionDispatch, s.Submit(at(9000), serviceCall(100)).Action)
}
