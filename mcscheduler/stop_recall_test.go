package mcscheduler_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marigoldcroft"
	"marigoldcroft/mcscheduler"
)

// newLentWork returns a scheduler in which r1 runs on a lent endpoint and r6, short work, lacks
// memory.
func newLentWork(t *testing.T) marigoldcroft.Scheduler {
	t.Helper()
	s := newScheduler(t, mcscheduler.PolicyLengthAware, 4, func(settings *mcscheduler.Settings) {
		settings.DecodeTimePerToken = time.Millisecond
	})
	require.Equal(t, marigoldcroft.ActionDispatch, s.Submit(at(0), work(0, 60_000, 100)).Action)
	require.Equal(t, marigoldcroft.ActionDispatch, s.Submit(at(0), work(1, 60_000, 3000)).Action)
	for n := 2; n < 6; n++ {
		require.Equal(t, marigoldcroft.ActionDispatch, s.Submit(at(1), work(n, 100, 45_000)).Action)
	}
	require.Equal(t, marigoldcroft.ActionWait, s.Submit(at(3), withUrgency(work(6, 100, 45_000), marigoldcroft.UrgencyNormal, "a")).Action)
	return s
}

// Guards against recalled work that a stop refuses as if it were new, although an engine had
// begun it.
func TestStopKeepsRecalledWork(t *testing.T) {
	s := newLentWork(t)
	require.Equal(t, []string{"recall r1", "dispatch r6"}, actions(s.Poll(at(4), nil)))
	// The prefills of r0 and r1 take 6 s each, and the largest output of r1 3 s.
	s.StopBy(at(5), at(17_000))
	require.Empty(t, actions(s.Poll(at(5), nil)))
	s.Finish(at(100), id(0), marigoldcroft.Completion{})
	require.Equal(t, []string{"dispatch r1"}, actions(s.Poll(at(100), nil)))
}

// Guards against work that a stop takes back from its engine, so that it may not end in time.
func TestStopRecallsNothing(t *testing.T) {
	s := newLentWork(t)
	s.StopBy(at(3), at(120_000))
	require.Empty(t, actions(s.Poll(at(4), nil)))
	s.Finish(at(100), id(2), marigoldcroft.Completion{})
	require.Equal(t, []string{"dispatch r6"}, actions(s.Poll(at(100), nil)))
}
