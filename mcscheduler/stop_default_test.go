package mcscheduler_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marigoldcroft"
	"marigoldcroft/mcscheduler"
)

// Guards against an answer that a stop accepts and cuts off because no answer has ended since the
// start: the settings then say how long it takes.
func TestStopUsesTheSettingsBeforeTheFirstAnswer(t *testing.T) {
	s := newScheduler(t, mcscheduler.PolicyLengthAware, 1, func(settings *mcscheduler.Settings) {
		settings.DecodeTimePerToken = time.Millisecond
	})
	s.StopBy(at(0), at(7000))
	require.Equal(t, marigoldcroft.ActionDispatch, s.Submit(at(0), work(0, 100, 3000)).Action)
	late := s.Submit(at(0), work(1, 100, 20_000))
	require.Equal(t, marigoldcroft.ActionRefuse, late.Action, "7 s are left for an answer of 20 s")
	require.Equal(t, marigoldcroft.ReasonStopping, late.Reason)
}
