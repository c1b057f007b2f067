package mcscheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"marigoldcroft"
)

// yieldFigures returns the published figures of the engines of the parking deployment.
func yieldFigures() marigoldcroft.EnginePerformance {
	return marigoldcroft.EnginePerformance{
		Slots: 12, MemoryTokens: 197_200, StepTime: 1020 * time.Microsecond, PrefillTokensPerSecond: 206_000, ChunkTokens: 2048, StepsPerPass: 48,
	}
}

func yieldScheduler(t require.TestingT, engines int, seed uint64) *scheduler {
	settings := Default()
	settings.Seed, settings.Yield = seed, true
	s, err := New(PolicyPassModel, settings)
	require.NoError(t, err)
	s.SetEndpoints(time.Unix(1000, 0), yieldEndpoints(engines))
	return s.(*scheduler)
}

func yieldEndpoints(n int) []marigoldcroft.Endpoint {
	var list []marigoldcroft.Endpoint
	for i := range n {
		list = append(list, marigoldcroft.NewEndpoint(marigoldcroft.EndpointSpec{
			Name: "e" + string(rune('0'+i/10)) + string(rune('0'+i%10)), Kind: marigoldcroft.EndpointEngine, Pool: "m", Performance: yieldFigures(),
		}))
	}
	return list
}

func yieldWork(n int, prompt, output int64, now time.Time, objective time.Duration) marigoldcroft.Work {
	return marigoldcroft.Work{
		ID: marigoldcroft.NewStreamID("r", n), Model: "m", PromptTokens: prompt, OutputTokens: output,
		Deadline: now.Add(10 * time.Second), Objective: now.Add(objective),
	}
}

// Guards against a reservation that flaps at a limit, or that takes slots which short work needs.
func TestReservationHasHysteresis(t *testing.T) {
	p := yieldScheduler(t, 60, 1).pools["m"]
	require.Zero(t, p.reservation(300, 0.1, false), "hardly any long work")
	require.Equal(t, 6, p.reservation(300, 3, false))
	require.Zero(t, p.reservation(300, 5, false), "too much long work to begin")
	require.Equal(t, 6, p.reservation(300, 5, true))
	require.Zero(t, p.reservation(300, 9, true))
	require.Equal(t, 6, p.reservation(648, 3, false))
	require.Zero(t, p.reservation(660, 3, false), "short work needs the slots")
	require.Equal(t, 6, p.reservation(660, 3, true))
	require.Zero(t, p.reservation(690, 3, true))
}

// Guards against a reservation of all engines, of engines that are gone, or without long work, and
// against a reservation that shrinks as long or short work shrinks.
func TestReservationIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := yieldScheduler(t, rapid.IntRange(1, 60).Draw(t, "engines"), 1).pools["m"]
		short, long := rapid.IntRange(0, 1000).Draw(t, "short"), rapid.Float64Range(0, 20).Draw(t, "long")
		reserving := rapid.Bool().Draw(t, "reserving")
		n := p.reservation(short, long, reserving)
		require.LessOrEqual(t, n, (len(p.live)+9)/10)
		if short > 0 {
			require.Less(t, n, len(p.live), "short work has engines")
		}
		if n > 0 {
			require.Equal(t, n, p.reservation(short/2, max(long/2, minLongEngines), reserving))
		}
	})
}

// Guards against starvation: long work that waits for reserved engines longer than longPatience of the
// time to its objective (to its deadline if that is missed), which is the stated bound.
func TestLongWorkWaitsWithinItsPatience(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := yieldScheduler(t, 60, 1)
		p := s.pools["m"]
		p.yield.reserved = 6
		start := time.Unix(1000, 0)
		objective := time.Duration(rapid.IntRange(500, 9000).Draw(t, "objectiveMs")) * time.Millisecond
		it := s.newItem(s.advance(start), p, yieldWork(1, 100_000, 700, start, objective))
		limit := it.objective
		if it.level > 0 {
			limit = it.deadline
		}
		bound := it.submitted + time.Duration(longPatience*float64(limit-it.submitted))
		after := time.Duration(rapid.IntRange(0, 10_000).Draw(t, "afterMs")) * time.Millisecond
		require.Equal(t, it.submitted+after < bound, s.policy.(*passModel).waitsForReserved(it.submitted+after, it))
	})
}

// Guards against decisions that depend on more than the calls and the seed, for example on the order of
// a map, and against Explain changing the decisions that follow.
func TestYieldingIsDeterministic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		a, b := yieldScheduler(t, 20, seed), yieldScheduler(t, 20, seed)
		now := time.Unix(1000, 0)
		for n := range rapid.IntRange(1, 120).Draw(t, "calls") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			w := yieldWork(n, rapid.Int64Range(100, 150_000).Draw(t, "prompt"), 700, now, time.Second)
			in := marigoldcroft.InFlight{Short: rapid.IntRange(0, 12).Draw(t, "peerShort"), Long: rapid.IntRange(0, 2).Draw(t, "peerLong"), KVTokens: 60_000}
			peer, name := rapid.SampledFrom([]string{"p", "q", "r"}).Draw(t, "peer"), rapid.SampledFrom([]string{"e00", "e07", "e19"}).Draw(t, "engine")
			a.ObservePeer(now, peer, name, in)
			b.ObservePeer(now, peer, name, in)
			explained := b.Explain(now, w)
			da, db := a.Submit(now, w), b.Submit(now, w)
			require.Equal(t, da, db)
			require.Equal(t, explained.Action, db.Action)
			require.Equal(t, explained.Endpoint, db.Endpoint)
			require.Equal(t, a.Poll(now, nil), b.Poll(now, nil))
		}
	})
}

// BenchmarkYield measures what yielding adds to a decision at 60 endpoints, each with the load of eight
// peers: the draw of an endpoint, and the estimate that is made every demandInterval, both beside 1,000
// queued requests.
func BenchmarkYield(b *testing.B) {
	s := yieldScheduler(b, 60, 1)
	now := time.Unix(1000, 0)
	p, m := s.pools["m"], s.policy.(*passModel)
	for _, e := range p.endpoints {
		for i := range 8 {
			s.ObservePeer(now, string(rune('a'+i)), e.name, marigoldcroft.InFlight{Short: 1, Long: i / 7, KVTokens: 20_000})
		}
	}
	for n := range 1000 {
		it := s.newItem(s.now, p, yieldWork(n, 5000, 1488, now, 300*time.Millisecond))
		s.sequence++
		s.enqueue(s.now, it)
	}
	b.Run("draw", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			clear(p.scores)
			m.drawByFreeSlots(s.now, p, 0, 1)
		}
	})
	b.Run("place", func(b *testing.B) {
		it := s.newItem(s.now, p, yieldWork(2000, 5000, 1488, now, 300*time.Millisecond))
		b.ReportAllocs()
		for b.Loop() {
			m.placeShort(s.now, it)
		}
	})
	b.Run("estimate", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			p.yield.nextEstimateAt = s.now
			m.updateReservation(s.now, p)
		}
	})
}
