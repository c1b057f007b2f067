package mcscheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marigoldcroft"
	"marigoldcroft/mcscheduler"
)

// passFigures returns the figures of an engine that prefills 100 tokens per
// millisecond.
func passFigures() marigoldcroft.EnginePerformance {
	return marigoldcroft.EnginePerformance{
		Slots: 4, MemoryTokens: 100_000, StepTime: time.Millisecond, PrefillTokensPerSecond: 100_000, ChunkTokens: 2048, StepsPerPass: 30,
	}
}

func newPassModel(t *testing.T, n int) marigoldcroft.Scheduler {
	t.Helper()
	s, err := mcscheduler.New(mcscheduler.PolicyPassModel, mcscheduler.Default())
	require.NoError(t, err)
	var list []marigoldcroft.Endpoint
	for i := range n {
		list = append(list, marigoldcroft.NewEndpoint(marigoldcroft.EndpointSpec{
			Name: "e" + string(rune('a'+i)), Kind: marigoldcroft.EndpointEngine, Pool: "m", Performance: passFigures(),
		}))
	}
	s.SetEndpoints(at(0), list)
	return s
}

func passWork(n int, prompt int64) marigoldcroft.Work {
	return marigoldcroft.Work{
		ID: id(n), Model: "m", PromptTokens: prompt, OutputTokens: 100, Deadline: at(20_000), Objective: at(3000),
	}
}

// Guards against leaking the memory of engines that held a prompt together.
func TestShardedPromptReleasesItsMemory(t *testing.T) {
	s := newPassModel(t, 3)
	d := s.Submit(at(0), passWork(1, 150_000))
	require.Equal(t, marigoldcroft.ActionDispatch, d.Action)
	require.Equal(t, marigoldcroft.ClassHuge, d.Class)
	require.Equal(t, 2, d.HolderCount)
	require.Equal(t, int64(50_000), d.KVTokensPerHolder)
	require.GreaterOrEqual(t, len(d.Helpers), d.HolderCount)
	held := int64(0)
	for _, in := range s.InFlight() {
		held += in.KVTokens
	}
	require.Equal(t, int64(150_100), held)
	s.FirstToken(at(600), id(1))
	s.Finish(at(1000), id(1), marigoldcroft.Completion{})
	for name, in := range s.InFlight() {
		require.Zero(t, in.KVTokens, name)
		require.Zero(t, in.PrefillTokens, name)
	}
}

// Guards against prompts that wait forever for more memory than the engines have.
func TestPromptLargerThanAllEnginesIsRefused(t *testing.T) {
	s := newPassModel(t, 3)
	d := s.Submit(at(0), passWork(1, 400_000))
	require.Equal(t, marigoldcroft.ActionRefuse, d.Action)
	require.Equal(t, marigoldcroft.ReasonTooLarge, d.Reason)
}

// Guards against sending an engine more requests than it has slots; the engine queues
// the excess regardless of urgency.
func TestSlotsBoundShortWork(t *testing.T) {
	s := newPassModel(t, 2)
	dispatched := 0
	for n := range 12 {
		if d := s.Submit(at(n), passWork(n, 100)); d.Action == marigoldcroft.ActionDispatch {
			dispatched++
		}
	}
	require.Equal(t, 8, dispatched)
	require.Equal(t, 4, s.Queued())
	s.Finish(at(50), id(0), marigoldcroft.Completion{Succeeded: true})
	require.Len(t, s.Poll(at(50), nil), 1)
}

// Guards against a slow engine that keeps receiving parts of long prompts: the slowest
// part determines the first token.
func TestSlowEngineGetsNoPartOfLongPrompt(t *testing.T) {
	s := newPassModel(t, 4)
	slow := s.Submit(at(0), passWork(1, 100)).Endpoint
	for step := range 5 {
		s.ObservePassTime(at(10+step), id(1), 400*time.Millisecond)
	}
	s.Finish(at(20), id(1), marigoldcroft.Completion{})
	d := s.Submit(at(21), passWork(2, 90_000))
	require.Equal(t, marigoldcroft.ActionDispatch, d.Action)
	require.NotEqual(t, slow, d.Endpoint)
	require.NotContains(t, d.Helpers, slow)
}

// BenchmarkLongDecision measures one decision about a long prompt with 67 engines that
// have streams.
func BenchmarkLongDecision(b *testing.B) {
	s, err := mcscheduler.New(mcscheduler.PolicyPassModel, mcscheduler.Default())
	require.NoError(b, err)
	var list []marigoldcroft.Endpoint
	for i := range 67 {
		list = append(list, marigoldcroft.NewEndpoint(marigoldcroft.EndpointSpec{
			Name: fmt.Sprintf("e%d", i), Kind: marigoldcroft.EndpointEngine, Pool: "m", Performance: passFigures(),
		}))
	}
	s.SetEndpoints(at(0), list)
	for n := range 100 {
		s.Submit(at(0), passWork(n, 100))
	}
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		work := passWork(1000+n, 90_000)
		s.Submit(at(1), work)
		s.Finish(at(1), work.ID, marigoldcroft.Completion{})
	}
}
