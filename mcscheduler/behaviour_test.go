package mcscheduler_test

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marigoldcroft"
	"marigoldcroft/mcscheduler"
)

// actions formats the decisions in order, each as "action id".
func actions(decisions []marigoldcroft.Decision) []string {
	names := [...]string{"dispatch", "wait", "refuse", "expire", "recall"}
	list := []string{}
	for _, d := range decisions {
		list = append(list, names[d.Action]+" "+d.ID.Request())
	}
	return list
}

func withUrgency(w marigoldcroft.Work, u marigoldcroft.Urgency, team string) marigoldcroft.Work {
	w.Urgency, w.Team = u, team
	return w
}

// Guards against short requests queued behind a long prefill: they must go to other
// endpoints and get a higher engine priority.
func TestShortWorkAvoidsLongPrefill(t *testing.T) {
	s := newScheduler(t, mcscheduler.PolicyLengthAware, 4, nil)
	long, lent := s.Submit(at(0), work(0, 50_000, 100)), s.Submit(at(0), work(1, 50_000, 100))
	require.Equal(t, marigoldcroft.ClassLong, long.Class)
	require.NotEqual(t, long.Endpoint, lent.Endpoint)
	for n := 2; n <= 7; n++ {
		short := s.Submit(at(n), work(n, 200, 100))
		require.NotContains(t, []string{long.Endpoint, lent.Endpoint}, short.Endpoint)
		s.FirstToken(at(n), id(n)) // keeps the other endpoints idle
		require.Greater(t, short.Priority, long.Priority)
	}
}

// Guards against long prefills accumulating on an engine: the next one is sent only
// when the previous one is predicted to be almost done, and no third one before a first
// token.
func TestNextLongWorkFollowsWhenPrefillEnds(t *testing.T) {
	s := newScheduler(t, mcscheduler.PolicyLengthAware, 1, func(c *mcscheduler.Settings) {
		c.KVCapacityTokens = 1_000_000
	})
	for n := range 3 {
		s.Submit(at(n), withUrgency(work(n, 50_000, 100), marigoldcroft.UrgencyNormal, "a"))
	}
	require.Equal(t, 2, s.Queued())
	require.Empty(t, s.Poll(at(4500), nil), "0.5 s of prefill is left at 10,000 tokens a second")
	require.Equal(t, []string{"dispatch r1"}, actions(s.Poll(at(4900), nil)))
	require.Empty(t, s.Poll(at(20_000), nil))
	s.FirstToken(at(20_000), id(0))
	require.Equal(t, []string{"dispatch r2"}, actions(s.Poll(at(20_000), nil)))
}

// Guards against lent endpoints that are not returned to short work, against recalling
// work that has begun to answer, and against losing recalled work.
func TestLentCapacityIsRecalledBeforeTheFirstToken(t *testing.T) {
	for _, c := range []struct {
		name     string
		answered bool
		want     []string
	}{
		{"before", false, []string{"recall r1", "dispatch r6"}},
		{"after", true, []string{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newScheduler(t, mcscheduler.PolicyLengthAware, 4, nil)
			require.Equal(t, marigoldcroft.ActionDispatch, s.Submit(at(0), work(0, 60_000, 100)).Action)
			require.Equal(t, marigoldcroft.ActionDispatch, s.Submit(at(0), work(1, 60_000, 100)).Action, "long work was not lent to an idle endpoint")
			for n := 2; n < 6; n++ {
				require.Equal(t, marigoldcroft.ActionDispatch, s.Submit(at(1), work(n, 100, 45_000)).Action)
			}
			if c.answered {
				s.FirstToken(at(2), id(1))
			}
			require.Equal(t, marigoldcroft.ActionWait, s.Submit(at(3), withUrgency(work(6, 100, 45_000), marigoldcroft.UrgencyNormal, "a")).Action)
			require.Equal(t, c.want, actions(s.Poll(at(4), nil)))
			if !c.answered {
				s.Finish(at(100), id(0), marigoldcroft.Completion{})
				require.Equal(t, []string{"dispatch r1"}, actions(s.Poll(at(100), nil)))
			}
		})
	}
}

// Guards against starvation by urgency, by deadline and by the volume of other teams. A
// single endpoint runs one request at a time.
func TestQueueOrder(t *testing.T) {
	const normal, batch = marigoldcroft.UrgencyNormal, marigoldcroft.UrgencyBatch
	type entry struct {
		ms, deadline int
		urgency      marigoldcroft.Urgency
		team         string
		weight       float64
	}
	for _, c := range []struct {
		name    string
		entries []entry
		start   int
		order   []int
	}{
		{"urgency first", []entry{{0, 500, batch, "a", 1}, {0, 600, normal, "a", 1}, {0, 700, 0, "a", 1}}, 1000, []int{2, 1, 0}},
		{"then the deadline", []entry{{0, 700, normal, "a", 1}, {0, 500, normal, "b", 1}, {0, 600, normal, "a", 1}}, 1000, []int{1, 2, 0}},
		{"batch not yet aged", []entry{{0, 500, batch, "a", 1}, {9000, 600, 0, "a", 1}}, 9000, []int{1, 0}},
		{"batch aged by two steps", []entry{{0, 500, batch, "a", 1}, {20_000, 600, 0, "a", 1}}, 20_000, []int{0, 1}},
		{
			"teams share by weight",
			[]entry{
				{0, 500, normal, "a", 1},
				{0, 501, normal, "a", 1},
				{0, 502, normal, "a", 1},
				{0, 503, normal, "a", 1},
				{0, 600, normal, "b", 3},
				{0, 601, normal, "b", 3},
				{0, 602, normal, "b", 3},
			},
			1000,
			[]int{0, 4, 5, 6, 1, 2, 3},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newScheduler(t, mcscheduler.PolicyLengthAware, 1, func(c *mcscheduler.Settings) {
				c.ShortLimit, c.UrgentStartLimit = time.Minute, time.Hour
			})
			s.Submit(at(0), withUrgency(work(1000, 0, 60_000), 0, "other"))
			for i, e := range c.entries {
				w := withUrgency(work(i, 0, 60_000), e.urgency, e.team)
				w.Deadline, w.Weight = epoch.Add(time.Duration(e.deadline)*time.Hour), e.weight
				require.Equal(t, marigoldcroft.ActionWait, s.Submit(at(e.ms), w).Action)
			}
			running, order := 1000, []int{}
			for range c.entries {
				s.Finish(at(c.start), id(running), marigoldcroft.Completion{})
				decisions := s.Poll(at(c.start), nil)
				require.Len(t, decisions, 1)
				_, err := fmt.Sscanf(decisions[0].ID.Request(), "r%d", &running)
				require.NoError(t, err)
				order = append(order, running)
			}
			require.Equal(t, c.order, order)
		})
	}
}

// Guards against starvation of a request that needs most of the memory by small
// requests, which always fit first.
func TestLargeWorkIsNotStarvedBySmall(t *testing.T) {
	s := newScheduler(t, mcscheduler.PolicyLengthAware, 1, nil)
	s.Submit(at(0), work(0, 100, 40_000))
	require.Equal(t, marigoldcroft.ActionWait, s.Submit(at(1), work(1, 60_000, 30_000)).Action)
	ran := false
	for n := 2; n < 60 && !ran; n++ {
		ms := n * 500
		s.Submit(at(ms), withUrgency(work(n, 100, 40_000), marigoldcroft.UrgencyNormal, "b"))
		if n > 3 {
			s.Finish(at(ms), id(n-2), marigoldcroft.Completion{})
		} else {
			s.Finish(at(ms), id(0), marigoldcroft.Completion{})
		}
		for _, d := range s.Poll(at(ms), nil) {
			ran = ran || d.ID == id(1)
		}
	}
	require.True(t, ran)
}

// Guards against admitting work that cannot end in time, that does not fit or that
// crowds out more urgent work, and against refusals whose callers retry in step.
func TestAdmission(t *testing.T) {
	const normal, batch = marigoldcroft.UrgencyNormal, marigoldcroft.UrgencyBatch
	learned := marigoldcroft.Completion{
		Succeeded: true, PromptTokens: 10_000, OutputTokens: 101, FirstToken: time.Second, Total: 2 * time.Second,
	}
	for _, c := range []struct {
		name     string
		model    string
		queued   int
		prompt   int64
		output   int64
		urgency  marigoldcroft.Urgency
		deadline int
		exclude  []string
		action   marigoldcroft.Action
		reason   marigoldcroft.Reason
	}{
		{name: "fits", model: model, prompt: 1000, deadline: 1000},
		{name: "service exceeds the deadline", model: model, prompt: 20_000, deadline: 1900, action: marigoldcroft.ActionRefuse, reason: marigoldcroft.ReasonDeadline},
		{name: "deadline has passed", model: model, prompt: 10, action: marigoldcroft.ActionRefuse, reason: marigoldcroft.ReasonDeadline},
		{name: "larger than every endpoint", model: model, prompt: 90_000, output: 10_001, deadline: 9e6, action: marigoldcroft.ActionRefuse, reason: marigoldcroft.ReasonTooLarge},
		{name: "unknown model", model: "none", prompt: 10, deadline: 9000, action: marigoldcroft.ActionRefuse, reason: marigoldcroft.ReasonNoEndpoint},
		{name: "every endpoint excluded", model: model, prompt: 10, deadline: 9000, exclude: []string{"e0"}, action: marigoldcroft.ActionRefuse, reason: marigoldcroft.ReasonNoEndpoint},
		{name: "batch waits", model: model, queued: 4, prompt: 10, output: 90_000, urgency: batch, deadline: 9e6, action: marigoldcroft.ActionWait},
		{name: "batch is shed first", model: model, queued: 5, prompt: 10, output: 90_000, urgency: batch, deadline: 9e6, action: marigoldcroft.ActionRefuse, reason: marigoldcroft.ReasonShed},
		{name: "normal waits", model: model, queued: 7, prompt: 10, output: 90_000, urgency: normal, deadline: 9e6, action: marigoldcroft.ActionWait},
		{name: "normal is shed next", model: model, queued: 8, prompt: 10, output: 90_000, urgency: normal, deadline: 9e6, action: marigoldcroft.ActionRefuse, reason: marigoldcroft.ReasonShed},
		{name: "interactive starts too late", model: model, queued: 1, prompt: 10, output: 90_000, deadline: 9e6, action: marigoldcroft.ActionRefuse, reason: marigoldcroft.ReasonShed},
		{name: "long work waits for memory too long", model: model, queued: 7, prompt: 50_000, output: 100, urgency: normal, deadline: 16_000, action: marigoldcroft.ActionRefuse, reason: marigoldcroft.ReasonMemory},
		{name: "queue is full", model: model, queued: 10, prompt: 50_000, output: 1000, deadline: 9e6, action: marigoldcroft.ActionRefuse, reason: marigoldcroft.ReasonQueueFull},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newScheduler(t, mcscheduler.PolicyLengthAware, 1, func(c *mcscheduler.Settings) { c.QueueLength = 10 })
			s.Submit(at(0), work(1000, 10_000, 200))
			s.Finish(at(5000), id(1000), learned)
			for n := range c.queued {
				w := withUrgency(work(n, 50_000, 45_000), 0, "a")
				if n == 0 {
					s.Submit(at(5000), work(999, 10, 90_000))
				}
				require.Equal(t, marigoldcroft.ActionWait, s.Submit(at(5000), w).Action)
			}
			w := withUrgency(work(500, c.prompt, c.output), c.urgency, "a")
			w.Model, w.Deadline, w.Exclude = c.model, at(5000+c.deadline), c.exclude
			d := s.Submit(at(5000), w)
			require.Equal(t, c.reason, d.Reason)
			require.Equal(t, c.action, d.Action)
			retry := d.Action == marigoldcroft.ActionRefuse && d.Reason != marigoldcroft.ReasonTooLarge
			require.Equal(t, retry, d.RetryAfter > 0)
		})
	}
}

// Guards against learned rates that fall because requests waited for each other on the
// engine, and against rates that are never learned.
func TestCostModelSeparatesRateFromBatching(t *testing.T) {
	for _, c := range []struct {
		name  string
		batch int
		first time.Duration
		// The prediction must lie between the prefill time alone and the time to first
		// token of a single request, which adds one decode step of 30 ms.
		low, high time.Duration
	}{
		{"batches at the initial rate", 10, time.Second, 100 * time.Millisecond, 130 * time.Millisecond},
		{"alone at half the rate", 1, 230 * time.Millisecond, 200 * time.Millisecond, 230 * time.Millisecond},
		{"alone at twice the rate", 1, 80 * time.Millisecond, 50 * time.Millisecond, 80 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newScheduler(t, mcscheduler.PolicyLengthAware, 1, nil)
			for round := range 50 {
				for i := range c.batch {
					s.Submit(at(round*5000), withUrgency(work(round*100+i, 1000, 10), marigoldcroft.UrgencyNormal, "a"))
				}
				for i := range c.batch {
					s.FirstToken(at(round*5000).Add(c.first), id(round*100+i))
					s.Finish(at(round*5000+2000), id(round*100+i), marigoldcroft.Completion{
						Succeeded: true, PromptTokens: 1000, OutputTokens: 10, FirstToken: c.first, Total: c.first + 270*time.Millisecond,
					})
				}
			}
			d := s.Explain(at(250_000), work(99_999, 1000, 10))
			const tolerance = time.Millisecond // the mean converges to its limit
			require.GreaterOrEqual(t, d.PredictedFirstToken, c.low-tolerance)
			require.LessOrEqual(t, d.PredictedFirstToken, c.high+tolerance)
		})
	}
}

// Guards against a stale report that hides later dispatches, and against ignoring
// memory used by others. The endpoint has room for 100,000 tokens.
func TestViewCombinesReportOwnAndPeers(t *testing.T) {
	for _, c := range []struct {
		name     string
		asked    int
		used     int64
		peer     int64
		fits     int64
		tooLarge int64
	}{
		{"report from before the dispatch", 500, 0, 0, 70_000, 70_001},
		{"report that contains the dispatch", 2000, 30_000, 0, 70_000, 70_001},
		{"report that includes another client's work", 2000, 50_000, 0, 50_000, 50_001},
		{"another client's work before the dispatch", 500, 20_000, 0, 50_000, 50_001},
		{"peer's work after the report", 2000, 30_000, 40_000, 30_000, 30_001},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newScheduler(t, mcscheduler.PolicyLengthAware, 1, nil)
			s.Submit(at(1000), work(0, 0, 30_000))
			s.ObserveReport(at(c.asked), marigoldcroft.LoadReport{Endpoint: "e0", KVUsedTokens: c.used, KVCapacityTokens: 100_000})
			s.ObservePeer(at(2500), "peer", "e0", marigoldcroft.InFlight{Short: 1, KVTokens: c.peer})
			require.Equal(t, marigoldcroft.ActionWait, s.Explain(at(3000), work(1, 0, c.tooLarge)).Action)
			require.Equal(t, marigoldcroft.ActionDispatch, s.Explain(at(3000), work(1, 0, c.fits)).Action)
		})
	}
}

// Guards against a queue on the engines that delays first tokens far beyond the usual
// time, and against instances that all fill the same engine because their views lag.
func TestInteractiveWorkIsRefusedWhenItWouldStartLate(t *testing.T) {
	for _, c := range []struct {
		name     string
		earlier  int // earlier requests with a first token after 120 ms
		peers    int // short requests that peers have in flight
		accepted int // of a burst of requests with 100 ms of prefill each
	}{
		{"configured limit without samples", 0, 0, 5},
		{"limit learned from first tokens", 30, 0, 2},
		{"peers send a similar load", 0, 20, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newScheduler(t, mcscheduler.PolicyLengthAware, 1, nil)
			for n := range c.earlier {
				s.Submit(at(n*1000), work(1000+n, 1000, 10))
				s.FirstToken(at(n*1000+120), id(1000+n))
				s.Finish(at(n*1000+200), id(1000+n), marigoldcroft.Completion{})
			}
			for n := range 10 {
				s.Submit(at(60_000), work(2000+n, 0, 10))
				s.FirstToken(at(60_000), id(2000+n))
			}
			s.ObservePeer(at(60_000), "peer", "e0", marigoldcroft.InFlight{Short: c.peers})
			accepted := 0
			for n := range 10 {
				d := s.Submit(at(60_000), work(n, 1000, 10))
				if d.Action == marigoldcroft.ActionDispatch {
					accepted++
				} else {
					require.Equal(t, marigoldcroft.ReasonShed, d.Reason)
				}
			}
			require.Equal(t, c.accepted, accepted)
		})
	}
}

// Guards against predicting progress for own and others' prefill as if each had the
// whole engine: of 2000 tokens at 10,000 a second, half is left after 100 ms.
func TestEngineRateIsSpentOnce(t *testing.T) {
	s := newScheduler(t, mcscheduler.PolicyLengthAware, 1, nil)
	s.Submit(at(0), work(0, 1000, 10))
	s.ObserveReport(at(0), marigoldcroft.LoadReport{Endpoint: "e0", Running: 2, PrefillTokens: 2000})
	d := s.Explain(at(100), work(1, 100, 10))
	require.InDelta(t, 0.1, d.PredictedStart.Seconds(), 0.001)
}

// Guards against admission by predictions that recent first tokens have disproved, and
// against refusing all work permanently afterwards.
func TestLateFirstTokensTightenAdmissionTemporarily(t *testing.T) {
	for _, c := range []struct {
		name   string
		late   int // ms
		ms     int // after the last first token
		second marigoldcroft.Action
	}{
		{"as predicted", 0, 10, marigoldcroft.ActionDispatch},
		{"late", 800, 10, marigoldcroft.ActionRefuse},
		{"late 5 s ago", 800, 5000, marigoldcroft.ActionDispatch},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newScheduler(t, mcscheduler.PolicyLengthAware, 2, nil)
			var sent []marigoldcroft.Decision
			for n := range 10 {
				sent = append(sent, s.Submit(at(0), withUrgency(work(1000+n, 1000, 10), marigoldcroft.UrgencyNormal, "a")))
			}
			slices.SortFunc(sent, func(a, b marigoldcroft.Decision) int {
				return cmp.Compare(a.PredictedFirstToken, b.PredictedFirstToken)
			})
			now := epoch
			for _, d := range sent {
				now = at(c.late).Add(d.PredictedFirstToken)
				s.FirstToken(now, d.ID)
				s.Finish(now, d.ID, marigoldcroft.Completion{})
			}
			now = now.Add(time.Duration(c.ms) * time.Millisecond)
			require.Equal(t, marigoldcroft.ActionDispatch, s.Submit(now, work(0, 1000, 10)).Action, "a request must be admitted while no short prefill is outstanding")
			require.Equal(t, c.second, s.Submit(now, work(1, 1000, 10)).Action)
		})
	}
}

// Guards against counting peers' prefill after a newer report has shown its end, and
// against an older report hiding it.
func TestNewerPrefillFigureCounts(t *testing.T) {
	for _, c := range []struct {
		name  string
		asked int
		start time.Duration
	}{
		{"report requested before the peer's update", 50, 200 * time.Millisecond},
		{"report requested after the peer's update", 150, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newScheduler(t, mcscheduler.PolicyLengthAware, 1, nil)
			s.ObservePeer(at(100), "peer", "e0", marigoldcroft.InFlight{Short: 1, PrefillTokens: 3000})
			s.ObserveReport(at(c.asked), marigoldcroft.LoadReport{Endpoint: "e0"})
			d := s.Explain(at(200), work(0, 100, 10))
			require.InDelta(t, c.start.Seconds(), d.PredictedStart.Seconds(), 0.001)
		})
	}
}

// Guards against herding: instances that share a stale report must not all choose the
// same endpoint, and an instance must count what it has sent since the report.
func TestStaleReportCausesNoHerding(t *testing.T) {
	chosen := map[string]int{}
	for seed := range uint64(60) {
		s := newScheduler(t, mcscheduler.PolicyLengthAware, 10, func(c *mcscheduler.Settings) { c.Seed = seed + 1 })
		for e := range 10 {
			// The differences are too small to be significant in a report of this age.
			s.ObserveReport(at(0), marigoldcroft.LoadReport{Endpoint: fmt.Sprintf("e%d", e), PrefillTokens: int64(e), Running: 5})
		}
		own := map[string]int{}
		for n := range 20 {
			own[s.Submit(at(900), work(n, 300, 10)).Endpoint]++
		}
		chosen[s.Submit(at(900), work(99, 300, 10)).Endpoint]++
		for name, n := range own {
			require.LessOrEqual(t, n, 4, "seed %d: %s got %d of 20", seed+1, name, n)
		}
	}
	for name, n := range chosen {
		require.LessOrEqual(t, n, 20, "%s got %d of 60", name, n)
	}
}

// Guards against prefix affinity that outweighs the time the cache can save.
func TestPrefixBonusIsBoundedByTheSaving(t *testing.T) {
	for _, c := range []struct {
		name    string
		backlog int
		same    bool
	}{{"idle", 0, true}, {"backlog smaller than the saving", 1, true}, {"backlog larger than the saving", 8, false}} {
		t.Run(c.name, func(t *testing.T) {
			s := newScheduler(t, mcscheduler.PolicyLengthAware, 6, nil)
			w := work(0, 4000, 10)
			w.PrefixHash = 7
			first := s.Submit(at(0), w)
			s.Finish(at(500), id(0), marigoldcroft.Completion{})
			for e := range 6 {
				if name := fmt.Sprintf("e%d", e); name == first.Endpoint {
					s.ObserveReport(at(500), marigoldcroft.LoadReport{Endpoint: name, Running: 1, PrefillTokens: int64(c.backlog) * 500})
				}
			}
			w.ID = id(1)
			require.Equal(t, c.same, s.Submit(at(500), w).Endpoint == first.Endpoint)
		})
	}
}

// Guards against unsynchronized state; a violation shows under the race detector.
func TestManyGoroutines(t *testing.T) {
	s := newScheduler(t, mcscheduler.PolicyLengthAware, 4, nil)
	var group sync.WaitGroup
	for g := range 8 {
		group.Go(func() {
			for n := range 200 {
				which := g*1000 + n
				s.Submit(at(n), work(which, 500, 100))
				s.Poll(at(n), nil)
				s.Explain(at(n), work(which, 500, 100))
				s.ObservePeer(at(n), "peer", "e0", marigoldcroft.InFlight{Short: n % 3})
				s.ObserveReport(at(n), marigoldcroft.LoadReport{Endpoint: "e1", Running: n})
				s.FirstToken(at(n), id(which))
				s.InFlight()
				s.Finish(at(n), id(which), marigoldcroft.Completion{})
			}
		})
	}
	group.Wait()
	require.Empty(t, s.InFlight())
	require.Zero(t, s.Queued())
}

// Guards against sending work to endpoints that must not or cannot run it, and against
// endpoints and work that stay blocked after the cause has ended.
func TestEndpointRules(t *testing.T) {
	const wait, run, refuse = marigoldcroft.ActionWait, marigoldcroft.ActionDispatch, marigoldcroft.ActionRefuse
	full := marigoldcroft.LoadReport{Endpoint: "e0", KVUsedTokens: 100_000, KVCapacityTokens: 100_000}
	for _, c := range []struct {
		name      string
		endpoints int
		prepare   func(s marigoldcroft.Scheduler)
		ms        int
		work      func(w *marigoldcroft.Work)
		want      marigoldcroft.Action
	}{
		{"suspects run on separate endpoints", 2, func(s marigoldcroft.Scheduler) {
			for n := range 2 {
				w := work(n, 10, 10)
				w.IsolateSuspect = true
				s.Submit(epoch, w)
			}
		}, 0, func(w *marigoldcroft.Work) { w.IsolateSuspect = true }, wait},
		{"report requested before the endpoint went down", 1, func(s marigoldcroft.Scheduler) {
			s.EndpointDown(at(100), "e0")
			s.ObserveReport(at(50), marigoldcroft.LoadReport{Endpoint: "e0"})
		}, 200, nil, refuse},
		{"report requested after the endpoint went down", 1, func(s marigoldcroft.Scheduler) {
			s.EndpointDown(at(100), "e0")
			s.ObserveReport(at(150), marigoldcroft.LoadReport{Endpoint: "e0"})
		}, 200, nil, run},
		{"report older than the latest", 1, func(s marigoldcroft.Scheduler) {
			s.ObserveReport(at(150), full)
			s.ObserveReport(at(100), marigoldcroft.LoadReport{Endpoint: "e0"})
		}, 200, nil, wait},
		{"memory used by others counts", 1, func(s marigoldcroft.Scheduler) { s.ObserveReport(epoch, full) }, 9000, nil, wait},
		{"memory used by others expires without reports", 1, func(s marigoldcroft.Scheduler) { s.ObserveReport(epoch, full) }, 11_000, nil, run},
		{"lent endpoints keep memory for short work", 4, func(s marigoldcroft.Scheduler) { s.Submit(epoch, work(0, 80_000, 10)) }, 0, func(w *marigoldcroft.Work) { w.PromptTokens = 80_000 }, wait},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newScheduler(t, mcscheduler.PolicyLengthAware, c.endpoints, nil)
			c.prepare(s)
			w := work(9, 10, 10)
			if c.work != nil {
				c.work(&w)
			}
			require.Equal(t, c.want, s.Submit(at(c.ms), w).Action)
		})
	}
}

// Guards against work that stays parked: the item excludes the only endpoint that is
// left and must run when the other one returns.
func TestParkedWorkRunsWhenItsEndpointReturns(t *testing.T) {
	s := newScheduler(t, mcscheduler.PolicyLengthAware, 2, nil)
	for n := range 2 {
		s.Submit(epoch, work(n, 10, 99_000))
	}
	w := withUrgency(work(2, 10, 50_000), marigoldcroft.UrgencyNormal, "a")
	w.Exclude = []string{"e0"}
	require.Equal(t, marigoldcroft.ActionWait, s.Submit(epoch, w).Action)
	s.SetEndpoints(at(1), engines(1))
	require.Empty(t, s.Poll(at(2), nil))
	s.SetEndpoints(at(3), engines(2))
	decisions := s.Poll(at(4), nil)
	require.Equal(t, []string{"dispatch r2"}, actions(decisions))
	require.Equal(t, "e1", decisions[0].Endpoint)
}

// Guards against classifying a short prompt as long, so that it waits behind long
// requests, because an overload has lowered the learned prefill rate.
func TestOverloadDoesNotTurnShortWorkLong(t *testing.T) {
	s := newScheduler(t, mcscheduler.PolicyLengthAware, 1, nil)
	finish := func(n int, firstToken time.Duration) {
		w := work(n, 4000, 10)
		require.Equal(t, marigoldcroft.ActionDispatch, s.Submit(at(n), w).Action)
		s.FirstToken(at(n), w.ID)
		s.Finish(at(n), w.ID, marigoldcroft.Completion{
			Succeeded: true, PromptTokens: 4000, OutputTokens: 10, FirstToken: firstToken, Total: firstToken + time.Second,
		})
	}
	finish(1, 320*time.Millisecond)
	for n := 2; n < 30; n++ {
		finish(n, 3*time.Second)
	}
	require.Equal(t, marigoldcroft.ClassShort, s.Explain(at(40), work(1000, 4000, 10)).Class)
}

// Guards against instances that crowd the same loaded endpoints because none of them
// knows the others' work, and against idle endpoints that only one instance uses.
func TestInstancesPreferTheirOwnLoadedEndpoints(t *testing.T) {
	cases := []struct {
		name, self string
		prefill    int64
		want       []string
	}{
		{"first instance, loaded", "a", 3000, []string{"e0", "e2"}},
		{"second instance, loaded", "b", 3000, []string{"e1", "e3"}},
		// Short requests avoid the long set, which is e1.
		{"idle endpoints are open to all instances", "a", 0, []string{"e0", "e2", "e3"}},
		{"an instance that is not a member owns none", "c", 3000, []string{"e0", "e1", "e2", "e3"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newScheduler(t, mcscheduler.PolicyLengthAware, 4, nil)
			s.SetMembers(at(0), c.self, []string{"b", "a"})
			for e := range 4 {
				s.ObserveReport(at(1), marigoldcroft.LoadReport{Endpoint: fmt.Sprintf("e%d", e), Running: 2, PrefillTokens: c.prefill, KVUsedTokens: 9000})
			}
			used := make(map[string]bool)
			for n := range 100 {
				d := s.Submit(at(2), work(n, 100, 10))
				require.Equal(t, marigoldcroft.ActionDispatch, d.Action)
				used[d.Endpoint] = true
				s.Finish(at(2), d.ID, marigoldcroft.Completion{})
			}
			require.Equal(t, c.want, slices.Sorted(maps.Keys(used)))
		})
	}
}
