package mcscheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marigoldcroft"
	"marigoldcroft/mcscheduler"
)

const model = "caption"

// epoch is an arbitrary start; the scheduler has no clock of its own.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

var policies = []string{
	mcscheduler.PolicyLengthAware, mcscheduler.PolicyRoundRobin,
	mcscheduler.PolicyLeastOutstanding, mcscheduler.PolicyLengthBlindFIFO,
}

// at returns the time ms milliseconds after the epoch.
func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

func newScheduler(t testing.TB, policy string, endpoints int, change func(*mcscheduler.Settings)) marigoldcroft.Scheduler {
	t.Helper()
	settings := mcscheduler.Default()
	settings.KVCapacityTokens = 100_000
	if change != nil {
		change(&settings)
	}
	s, err := mcscheduler.New(policy, settings)
	require.NoError(t, err)
	s.SetEndpoints(epoch, engines(endpoints))
	return s
}

func engines(n int) []marigoldcroft.Endpoint {
	list := make([]marigoldcroft.Endpoint, n)
	for i := range list {
		list[i] = marigoldcroft.NewEndpoint(marigoldcroft.EndpointSpec{
			Name: fmt.Sprintf("e%d", i), Kind: marigoldcroft.EndpointEngine, Pool: model,
		})
	}
	return list
}

func id(n int) marigoldcroft.StreamID {
	return marigoldcroft.NewStreamID(fmt.Sprintf("r%d", n), 1)
}

// work returns interactive work with a deadline an hour after the epoch.
func work(n int, prompt, output int64) marigoldcroft.Work {
	return marigoldcroft.Work{
		ID: id(n), Team: "a", Model: model, Deadline: at(3_600_000),
		PromptTokens: prompt, OutputTokens: output,
	}
}

func TestNewRefusesUnknownPolicyAndBadSettings(t *testing.T) {
	_, err := mcscheduler.New("fastest", mcscheduler.Settings{})
	require.Equal(t, mcscheduler.KindPolicy, marigoldcroft.FailureKind[mcscheduler.Kind](err))
	_, err = mcscheduler.New(mcscheduler.PolicyRoundRobin, mcscheduler.Settings{OutputShare: 2})
	require.Equal(t, mcscheduler.KindSettings, marigoldcroft.FailureKind[mcscheduler.Kind](err))
}

// Every policy must fill the memory, queue the rest and continue when memory is
// released; a policy that misses the release leaves work in the queue forever.
func TestEveryPolicyRunsQueuedWorkWhenMemoryIsReleased(t *testing.T) {
	for _, policy := range policies {
		t.Run(policy, func(t *testing.T) {
			s := newScheduler(t, policy, 2, nil)
			for n := range 3 {
				w := work(n, 1000, 59_000)
				w.Urgency = marigoldcroft.UrgencyNormal
				d := s.Submit(at(n), w)
				if n < 2 {
					require.Equal(t, marigoldcroft.ActionDispatch, d.Action)
				} else {
					require.Equal(t, marigoldcroft.ActionWait, d.Action)
				}
			}
			require.Empty(t, s.Poll(at(10), nil))
			s.FirstToken(at(100), id(0))
			s.Finish(at(500), id(0), marigoldcroft.Completion{})
			decisions := s.Poll(at(500), nil)
			require.Len(t, decisions, 1)
			require.Equal(t, id(2), decisions[0].ID)
			require.Equal(t, marigoldcroft.ActionDispatch, decisions[0].Action)
			s.Finish(at(600), id(1), marigoldcroft.Completion{})
			s.Finish(at(600), id(2), marigoldcroft.Completion{})
			s.Finish(at(600), id(2), marigoldcroft.Completion{})
			require.Empty(t, s.InFlight())
			require.Zero(t, s.Queued())
		})
	}
}
