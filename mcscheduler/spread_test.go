package mcscheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marigoldcroft"
	"marigoldcroft/mcscheduler"
)

const spreadSlots = 12

// placeAtEach submits one short request at each of n instances, which have the same view of the
// engines: every peer report gives the number of short requests on an engine. It returns how many
// requests each engine got.
func placeAtEach(t *testing.T, n int, inFlight []int) []int {
	t.Helper()
	placed := make([]int, len(inFlight))
	var names []string
	for i := range n {
		names = append(names, fmt.Sprintf("instance-%03d", i))
	}
	figures := marigoldcroft.EnginePerformance{
		Slots: spreadSlots, MemoryTokens: 1 << 20, StepTime: time.Millisecond, PrefillTokensPerSecond: 200_000, ChunkTokens: 2048, StepsPerPass: 48,
	}
	for i := range n {
		settings := mcscheduler.Default()
		settings.Seed = uint64(i)
		s, err := mcscheduler.New(mcscheduler.PolicyPassModel, settings)
		require.NoError(t, err)
		var list []marigoldcroft.Endpoint
		position := make(map[string]int)
		for j := range inFlight {
			name := fmt.Sprintf("e%02d", j)
			position[name] = j
			list = append(list, marigoldcroft.NewEndpoint(marigoldcroft.EndpointSpec{Name: name, Kind: marigoldcroft.EndpointEngine, Pool: "m", Performance: figures}))
		}
		s.SetEndpoints(at(0), list)
		s.SetMembers(at(0), names[i], names)
		for j, short := range inFlight {
			s.ObservePeer(at(0), "peer", fmt.Sprintf("e%02d", j), marigoldcroft.InFlight{Short: short, KVTokens: int64(short) * 6000})
		}
		d := s.Submit(at(1), marigoldcroft.Work{ID: id(1), Model: "m", PromptTokens: 5000, OutputTokens: 1500, Deadline: at(10_000), Objective: at(300)})
		if d.Action == marigoldcroft.ActionDispatch {
			placed[position[d.Endpoint]]++
		}
	}
	return placed
}

// Load: a peak of short requests at many instances with the same old view of the engines. Guards
// against herding on the engine that looks idle to all of them: its slots are taken at once, and the
// other requests wait there although other engines have free slots.
func TestInstancesWithTheSameViewDoNotHerd(t *testing.T) {
	inFlight := make([]int, 30)
	for i := range inFlight {
		inFlight[i] = 8
	}
	inFlight[7] = 0
	for j, n := range placeAtEach(t, 30, inFlight) {
		require.LessOrEqual(t, inFlight[j]+n, spreadSlots, "engine %d", j)
	}
}

// Load: the same peak, with more instances than one subset holds. Guards against instances that take
// the last slots of engines whose work is reported to them late, while their own subset has room.
func TestInstancesPreferTheEnginesOfTheirSubset(t *testing.T) {
	require.Equal(t, 4, marigoldcroft.SubsetCount(82))
	inFlight := make([]int, 60)
	for i := range inFlight {
		inFlight[i] = 7
	}
	for j, n := range placeAtEach(t, 82, inFlight) {
		require.LessOrEqual(t, inFlight[j]+n, spreadSlots, "engine %d", j)
	}
}

// Guards against subsets that are not mutual, so that a member is told of the work of others that do
// not tell it of theirs, and against a small deployment that is divided.
func TestSubsetsAreMutual(t *testing.T) {
	for _, n := range []int{6, 39, 40, 82, 295} {
		var names []string
		for i := range n {
			names = append(names, fmt.Sprintf("i-%03d", i))
		}
		for _, name := range names {
			subset := marigoldcroft.SubsetMembers(name, names)
			require.GreaterOrEqual(t, len(subset), min(n, 20)-1)
			require.LessOrEqual(t, len(subset), 39)
			for _, other := range subset {
				require.Contains(t, marigoldcroft.SubsetMembers(other, names), name)
			}
		}
		require.Empty(t, marigoldcroft.SubsetMembers("unknown", names))
	}
}
