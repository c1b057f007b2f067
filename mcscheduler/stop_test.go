package mcscheduler_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marigoldcroft"
	"marigoldcroft/mcscheduler"
)

// reasons returns the reason of each expired or refused piece of work by its request.
func reasons(decisions []marigoldcroft.Decision) map[string]marigoldcroft.Reason {
	m := make(map[string]marigoldcroft.Reason)
	for _, d := range decisions {
		if d.Action == marigoldcroft.ActionExpire || d.Action == marigoldcroft.ActionRefuse {
			m[d.ID.Request()] = d.Reason
		}
	}
	return m
}

// Long prompts wait for an engine when the planned stop begins, and more arrive in the
// lame-duck time. What cannot end before the stop must be refused at once, while there is time
// to run it elsewhere, and not be cut off at the end of the stop. What fits must run.
func TestStopRefusesWorkThatWouldBeCutOff(t *testing.T) {
	s := newPassModel(t, 1)
	for n := range 6 {
		// Each prompt takes 0.9 s of prefill and 0.1 s of output.
		work := passWork(n, 90_000)
		work.Objective = at(15_000)
		require.NotEqual(t, marigoldcroft.ActionRefuse, s.Submit(at(0), work).Action)
	}
	require.Equal(t, 5, s.Queued())
	s.StopBy(at(100), at(5000))
	first := s.Poll(at(100), nil)
	refused := reasons(first)
	require.NotEmpty(t, refused)
	require.Less(t, len(refused), 5, "work that fits was refused")
	for n := range 6 {
		require.Equal(t, n >= 6-len(refused), refused[id(n).Request()] != "", "request %d: the last ones in the queue are refused", n)
	}
	for _, d := range first {
		require.Equal(t, marigoldcroft.ReasonStopping, d.Reason)
		require.Positive(t, d.RetryAfter)
	}
	late := passWork(10, 90_000)
	require.Equal(t, marigoldcroft.ReasonStopping, s.Submit(at(4000), late).Reason)
	short := passWork(11, 100)
	require.NotEqual(t, marigoldcroft.ActionRefuse, s.Submit(at(4000), short).Action)
}

// Predictions may be wrong: an engine answers much later than predicted. What still waits must
// be refused before the stop ends, with time left for the answer, under each policy.
func TestStopLeavesNothingInTheQueue(t *testing.T) {
	for _, policy := range append([]string{mcscheduler.PolicyPassModel}, policies...) {
		t.Run(policy, func(t *testing.T) {
			s := newScheduler(t, policy, 1, nil)
			for n := range 4 {
				s.Submit(at(0), work(n, 60_000, 100))
			}
			waiting := s.Queued()
			require.Positive(t, waiting)
			s.StopBy(at(1000), at(20_000))
			expired := reasons(s.Poll(at(1000), nil))
			for id, reason := range reasons(s.Poll(at(20_000), nil)) {
				expired[id] = reason
			}
			require.Zero(t, s.Queued())
			require.Len(t, expired, waiting)
			for _, reason := range expired {
				require.Equal(t, marigoldcroft.ReasonStopping, reason)
			}
		})
	}
}

// Work whose own deadline is before the stop must keep the reason of its deadline.
func TestStopKeepsEarlierDeadlines(t *testing.T) {
	s := newPassModel(t, 1)
	s.Submit(at(0), passWork(1, 90_000))
	early := passWork(2, 90_000)
	early.Deadline, early.Objective = at(3000), at(3000)
	require.Equal(t, marigoldcroft.ActionWait, s.Submit(at(0), early).Action)
	s.StopBy(at(10), at(60_000))
	require.Empty(t, reasons(s.Poll(at(10), nil)))
	require.Equal(t, map[string]marigoldcroft.Reason{id(2).Request(): marigoldcroft.ReasonDeadline}, reasons(s.Poll(at(2900), nil)))
	require.Equal(t, marigoldcroft.ActionRefuse, s.Submit(at(2950), marigoldcroft.Work{ID: id(3), Model: "m", PromptTokens: 100, Deadline: at(2900)}).Action)
	s.Finish(at(3000), id(1), marigoldcroft.Completion{Succeeded: true, Total: time.Second})
}

// Answers are often longer than their callers expect, and than earlier answers were on average.
// An answer that would reach its largest size only after the end of a stop must be refused, as
// it would be cut off in the middle. One that ends in time at its largest size must run.
func TestStopJudgesAnswersByTheirLargestSize(t *testing.T) {
	const largest = 3000
	for _, c := range []struct {
		policy    string
		scheduler func() marigoldcroft.Scheduler
	}{
		{policy: mcscheduler.PolicyPassModel, scheduler: func() marigoldcroft.Scheduler { return newPassModel(t, 1) }},
		{policy: mcscheduler.PolicyLengthAware, scheduler: func() marigoldcroft.Scheduler {
			s := newScheduler(t, mcscheduler.PolicyLengthAware, 1, func(settings *mcscheduler.Settings) {
				settings.DecodeTimePerToken, settings.OutputShare = time.Millisecond, 0.1
			})
			// Predictions are not used before an answer has completed.
			s.Submit(at(-1000), work(0, 2000, largest))
			s.FirstToken(at(-900), id(0))
			s.Finish(at(-500), id(0), marigoldcroft.Completion{
				Succeeded: true, PromptTokens: 2000, OutputTokens: 301, FirstToken: 100 * time.Millisecond, Total: 400 * time.Millisecond,
			})
			return s
		}},
	} {
		t.Run(c.policy, func(t *testing.T) {
			s := c.scheduler()
			s.StopBy(at(0), at(7000))
			answer := func(n int) marigoldcroft.Work {
				w := passWork(n, 100)
				w.OutputTokens, w.ExpectedOutputTokens, w.Deadline = largest, largest/10, at(20_000)
				if c.policy == mcscheduler.PolicyLengthAware {
					w.Model = model
				}
				return w
			}
			require.Equal(t, marigoldcroft.ActionDispatch, s.Submit(at(2500), answer(1)).Action)
			late := s.Submit(at(4500), answer(2))
			require.Equal(t, marigoldcroft.ActionRefuse, late.Action)
			require.Equal(t, marigoldcroft.ReasonStopping, late.Reason)
			require.Positive(t, late.RetryAfter)
		})
	}
}
