package mcscheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marigoldcroft"
	"marigoldcroft/mcscheduler"
)

// homes returns engines that publish their figures, one for each region, with the names e0, e1 and so on.
func homes(regions ...string) []marigoldcroft.Endpoint {
	var list []marigoldcroft.Endpoint
	for i, region := range regions {
		list = append(list, marigoldcroft.NewEndpoint(marigoldcroft.EndpointSpec{
			Name: fmt.Sprintf("e%d", i), Kind: marigoldcroft.EndpointEngine, Pool: model, Region: region, Performance: passFigures(),
		}))
	}
	return list
}

// boundWork returns work that may run only in the regions.
func boundWork(n int, prompt int64, regions ...string) marigoldcroft.Work {
	w := passWork(n, prompt)
	w.Model, w.Regions = model, append([]string{}, regions...)
	return w
}

func newHomes(t testing.TB, policy string, regions ...string) marigoldcroft.Scheduler {
	t.Helper()
	s, err := mcscheduler.New(policy, mcscheduler.Default())
	require.NoError(t, err)
	s.SetEndpoints(at(0), homes(regions...))
	return s
}

// Guards against work that runs outside its home regions, alone or with helpers there, also if the
// endpoints at home are full, and against endpoints of unknown region that count as being at home.
func TestWorkStaysInItsHomeRegions(t *testing.T) {
	for _, policy := range append([]string{mcscheduler.PolicyPassModel}, policies...) {
		for _, prompt := range []int64{100, 60_000} {
			t.Run(fmt.Sprintf("%s/%d", policy, prompt), func(t *testing.T) {
				s := newHomes(t, policy, "a", "b", "", "b", "a", "c")
				allowed := []string{"e0", "e4"}
				dispatched, helpers := 0, 0
				for n := range 20 {
					decisions := []marigoldcroft.Decision{s.Submit(at(n), boundWork(n, prompt, "a"))}
					for _, d := range append(decisions, s.Poll(at(n), nil)...) {
						if d.Action != marigoldcroft.ActionDispatch {
							continue
						}
						dispatched++
						require.Contains(t, allowed, d.Endpoint)
						for _, helper := range d.Helpers {
							helpers++
							require.Contains(t, allowed, helper)
						}
					}
				}
				require.Positive(t, dispatched)
				if policy == mcscheduler.PolicyPassModel && prompt > 100 {
					require.Positive(t, helpers, "the case is about helpers")
				}
			})
		}
	}
}

// Guards against work that waits until its deadline although no endpoint may ever run it.
func TestWorkWithoutHomeRegionIsRefusedAtOnce(t *testing.T) {
	for _, policy := range append([]string{mcscheduler.PolicyPassModel}, policies...) {
		s := newHomes(t, policy, "a", "")
		for n, regions := range [][]string{{"b"}, {}, {""}} {
			d := s.Submit(at(0), boundWork(n, 100, regions...))
			require.Equal(t, marigoldcroft.ActionRefuse, d.Action, "%s %q", policy, regions)
			require.Equal(t, marigoldcroft.ReasonRegion, d.Reason)
			require.Positive(t, d.RetryAfter)
		}
		require.Equal(t, marigoldcroft.ActionDispatch, s.Submit(at(0), boundWork(9, 100, "b", "a")).Action)
		s.SetEndpoints(at(1), nil)
		require.Equal(t, marigoldcroft.ReasonRegion, s.Submit(at(1), boundWork(10, 100, "a")).Reason)
		require.Equal(t, marigoldcroft.ReasonNoEndpoint, s.Submit(at(1), work(11, 100, 10)).Reason)
	}
}

// Guards against queued work that waits until its deadline after the last endpoint of its home regions
// was removed, moved or began to leave, and against the loss of work whose endpoint is down for a
// moment.
func TestQueuedWorkEndsWithItsLastHome(t *testing.T) {
	for name, c := range map[string]struct {
		change func(s marigoldcroft.Scheduler)
		want   marigoldcroft.Reason
	}{
		"removed": {func(s marigoldcroft.Scheduler) { s.SetEndpoints(at(1), homes("b")) }, marigoldcroft.ReasonRegion},
		"moved":   {func(s marigoldcroft.Scheduler) { s.SetEndpoints(at(1), homes("b", "b")) }, marigoldcroft.ReasonRegion},
		"leaving": {func(s marigoldcroft.Scheduler) {
			list := homes("b", "a")
			list[1] = list[1].WithLeaving(true)
			s.SetEndpoints(at(1), list)
		}, marigoldcroft.ReasonRegion},
		"down": {func(s marigoldcroft.Scheduler) { s.EndpointDown(at(1), "e1") }, marigoldcroft.ReasonNone},
		"down, then removed": {func(s marigoldcroft.Scheduler) {
			s.EndpointDown(at(1), "e1")
			s.Poll(at(2), nil)
			s.SetEndpoints(at(3), homes("b"))
		}, marigoldcroft.ReasonRegion},
	} {
		t.Run(name, func(t *testing.T) {
			s := newHomes(t, mcscheduler.PolicyPassModel, "b", "a")
			for n := range 4 {
				require.Equal(t, "e1", s.Submit(at(0), boundWork(n, 100, "a")).Endpoint)
			}
			require.Equal(t, marigoldcroft.ActionWait, s.Submit(at(0), boundWork(4, 100, "a")).Action)
			c.change(s)
			decisions := s.Poll(at(4), nil)
			if c.want == marigoldcroft.ReasonNone {
				require.Empty(t, decisions)
				s.ObserveReport(at(5), marigoldcroft.LoadReport{Endpoint: "e1", Incarnation: 1})
				require.Equal(t, []string{"dispatch r4"}, actions(s.Poll(at(6), nil)))
				return
			}
			require.Len(t, decisions, 1)
			require.Equal(t, marigoldcroft.ActionExpire, decisions[0].Action)
			require.Equal(t, c.want, decisions[0].Reason)
			require.Zero(t, s.Queued())
		})
	}
}

// Guards against the queue of one region, however long, that holds back the work of another with idle
// endpoints, also work that may run anywhere.
func TestQueueOfOneRegionHoldsBackNoOther(t *testing.T) {
	for _, policy := range []string{mcscheduler.PolicyPassModel, mcscheduler.PolicyRoundRobin, mcscheduler.PolicyLeastOutstanding, mcscheduler.PolicyLengthAware} {
		t.Run(policy, func(t *testing.T) {
			s := newHomes(t, policy, "a", "b")
			next := 0
			submit := func(regions []string, objective int) marigoldcroft.Decision {
				next++
				w := boundWork(next, 100, regions...)
				w.Regions, w.OutputTokens, w.Objective = regions, 30_000, at(objective)
				w.Deadline, w.Urgency = at(3_600_000), marigoldcroft.UrgencyNormal
				return s.Submit(at(0), w)
			}
			for range 20 {
				submit([]string{"a"}, 1000)
				submit([]string{"b"}, 2000)
			}
			require.Greater(t, s.Queued(), 20)
			require.Empty(t, s.Poll(at(1), nil))
			// An endpoint of b is free now, and all work for it is behind work for a.
			s.SetEndpoints(at(2), homes("a", "b", "b"))
			decisions := s.Poll(at(2), nil)
			require.NotEmpty(t, decisions)
			for _, d := range decisions {
				require.Equal(t, marigoldcroft.ActionDispatch, d.Action)
				require.Equal(t, "e2", d.Endpoint)
			}
			// New work finds its idle endpoint at once.
			s.SetEndpoints(at(3), homes("a", "b", "b", "c"))
			s.Poll(at(3), nil)
			d := s.Submit(at(3), boundWork(1000, 100, "c"))
			require.Equal(t, marigoldcroft.ActionDispatch, d.Action, d.Reason)
			require.Equal(t, "e3", d.Endpoint)
			anywhere := boundWork(1001, 100)
			anywhere.Regions, anywhere.OutputTokens = nil, 30_000
			d = s.Submit(at(3), anywhere)
			require.Equal(t, marigoldcroft.ActionDispatch, d.Action, d.Reason)
			require.Equal(t, "e3", d.Endpoint)
		})
	}
}

// Guards against a prompt that waits until its deadline because it fits the engines of all regions
// together, but not those of its own.
func TestPromptLargerThanItsHomeIsRefused(t *testing.T) {
	s := newHomes(t, mcscheduler.PolicyPassModel, "a", "b", "b", "b")
	require.Equal(t, marigoldcroft.ActionDispatch, s.Submit(at(0), boundWork(1, 150_000, "b")).Action)
	d := s.Submit(at(0), boundWork(2, 150_000, "a"))
	require.Equal(t, marigoldcroft.ActionRefuse, d.Action)
	require.Equal(t, marigoldcroft.ReasonTooLarge, d.Reason)
}

// Guards against an admission that counts the slots of other regions: the work would wait until its
// deadline.
func TestAdmissionCountsOnlyHomeSlots(t *testing.T) {
	s := newHomes(t, mcscheduler.PolicyPassModel, "a", "b", "b", "b", "b", "b", "b", "b", "b")
	for n := range 4 {
		s.Submit(at(0), boundWork(n, 100, "a"))
	}
	for n := range 4 {
		s.Finish(at(4000), id(n), marigoldcroft.Completion{Succeeded: true, PromptTokens: 100, OutputTokens: 100, FirstToken: 100 * time.Millisecond, Total: 4 * time.Second})
	}
	refused := 0
	for n := 10; n < 60; n++ {
		w := boundWork(n, 100, "a")
		w.Deadline = at(14_000)
		if d := s.Submit(at(4000), w); d.Action == marigoldcroft.ActionRefuse {
			refused++
			require.Equal(t, marigoldcroft.ReasonDeadline, d.Reason)
		}
	}
	// 4 slots for 4 s each run some 10 requests in 10 s.
	require.GreaterOrEqual(t, refused, 30)
}
