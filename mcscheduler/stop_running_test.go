package mcscheduler_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"marigoldcroft"
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
