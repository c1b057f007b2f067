package mcscheduler_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marigoldcroft"
)

// Guards against work that is placed on a paused endpoint, alone or as a part of a prompt.
func TestPausedEndpointGetsNoWork(t *testing.T) {
	s := newPassModel(t, 2)
	s.PauseEndpoint(at(0), "ea", at(500))
	for n := range 3 {
		d := s.Submit(at(0), passWork(n, 100))
		require.Equal(t, marigoldcroft.ActionDispatch, d.Action)
		require.Equal(t, "eb", d.Endpoint)
		s.Finish(at(1), id(n), marigoldcroft.Completion{})
	}
	d := s.Submit(at(2), passWork(3, 60_000))
	require.Equal(t, marigoldcroft.ActionDispatch, d.Action)
	require.Equal(t, "eb", d.Endpoint)
	require.Empty(t, d.Helpers)
}

// Guards against work that waits until its deadline although no endpoint takes requests before, and
// against a Retry-After that ends before the pause does.
func TestWorkIsRefusedAtOnceIfAllEndpointsArePaused(t *testing.T) {
	s := newPassModel(t, 2)
	s.PauseEndpoint(at(0), "ea", at(30_000))
	waiting := passWork(1, 100)
	waiting.Exclude = []string{"eb"}
	d := s.Submit(at(0), waiting)
	require.Equal(t, marigoldcroft.ActionRefuse, d.Action)
	require.Equal(t, marigoldcroft.ReasonPaused, d.Reason)

	s.PauseEndpoint(at(0), "eb", at(1000))
	require.Equal(t, marigoldcroft.ActionWait, s.Submit(at(0), passWork(2, 100)).Action)
	s.PauseEndpoint(at(10), "eb", at(40_000))
	decisions := s.Poll(at(20), nil)
	require.Len(t, decisions, 1)
	require.Equal(t, marigoldcroft.ActionExpire, decisions[0].Action)
	require.Equal(t, marigoldcroft.ReasonPaused, decisions[0].Reason)
	require.GreaterOrEqual(t, decisions[0].RetryAfter, 29_980*time.Millisecond)

	d = s.Submit(at(20), passWork(3, 100))
	require.Equal(t, marigoldcroft.ActionRefuse, d.Action)
	require.GreaterOrEqual(t, d.RetryAfter, 29_980*time.Millisecond)
}

// Guards against work that stays queued after the end of a pause.
func TestWorkRunsAfterThePause(t *testing.T) {
	s := newPassModel(t, 1)
	s.PauseEndpoint(at(0), "ea", at(500))
	require.Equal(t, marigoldcroft.ActionWait, s.Submit(at(0), passWork(1, 100)).Action)
	require.Empty(t, s.Poll(at(490), nil))
	decisions := s.Poll(at(505), nil)
	require.Len(t, decisions, 1)
	require.Equal(t, marigoldcroft.ActionDispatch, decisions[0].Action)
}
