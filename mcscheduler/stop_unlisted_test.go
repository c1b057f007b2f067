package mcscheduler_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marigoldcroft"
)

// Guards against a call that a stop accepts and cuts off because its service was not listed for a
// moment and what was learned of it is forgotten.
func TestStopRemembersServicesThatWereUnlisted(t *testing.T) {
	for name, c := range map[string]struct {
		unlisted time.Duration
		want     marigoldcroft.Action
	}{
		"briefly": {time.Minute, marigoldcroft.ActionRefuse},
		"long":    {time.Hour, marigoldcroft.ActionDispatch},
	} {
		t.Run(name, func(t *testing.T) {
			s := newPlainService(t)
			for n := range 3 {
				runCall(t, s, n, 9000*n, 8000, true)
			}
			s.SetEndpoints(at(30_000), nil)
			unlisted := at(30_000)
			for ; unlisted.Before(at(30_000).Add(c.unlisted)); unlisted = unlisted.Add(time.Second) {
				s.Poll(unlisted, nil)
			}
			s.SetEndpoints(unlisted, []marigoldcroft.Endpoint{plainServer("s")})
			s.StopBy(unlisted, unlisted.Add(4*time.Second))
			call := serviceCall(100)
			call.Deadline = unlisted.Add(time.Minute)
			require.Equal(t, c.want, s.Submit(unlisted, call).Action)
		})
	}
}

// Guards against calls of a plain service that are placed like prompts, because engines had its
// name before.
func TestServiceTakesTheNameOfEngines(t *testing.T) {
	s := newPassModel(t, 1)
	s.SetEndpoints(at(1000), nil)
	s.SetEndpoints(at(2000), []marigoldcroft.Endpoint{plainServer("s")})
	for n := range 4 {
		call := serviceCall(n)
		call.PromptTokens = 90_000
		require.Equal(t, marigoldcroft.ActionDispatch, s.Submit(at(3000), call).Action)
	}
}
