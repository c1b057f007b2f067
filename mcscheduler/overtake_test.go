package mcscheduler_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"marigoldcroft"
)

// Guards against a first token that comes seconds late in a planned stop, as parts of other prompts
// are sent to its engines later and prefilled first: they must wait until the engines are free.
func TestDividedPromptDoesNotOvertake(t *testing.T) {
	s := newPassModel(t, 4)
	observeParts(s, "ea", "eb", "ec", "ed")
	w := passWork(1, 90_000)
	w.Objective = at(5000)
	require.Equal(t, marigoldcroft.ActionWait, s.Submit(at(1), w).Action)
	require.Empty(t, s.Poll(at(400), nil), "the engines need 0.2 s more")
	require.Len(t, s.Poll(at(590), nil), 1)
}

// observeParts lets a peer have a part of 0.6 s of a prompt on each engine.
func observeParts(s marigoldcroft.Scheduler, engines ...string) {
	for _, name := range engines {
		s.ObservePeer(at(0), "peer", name, marigoldcroft.InFlight{PrefillTokens: 60_000})
	}
}
