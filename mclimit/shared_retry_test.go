package mclimit_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marigoldcroft/mclimit"
)

// The retries of all instances together must fit the shared budget in every sliding window,
// also while single instances are killed and restarted.
func TestSharedRetryLimitsHoldAcrossInstances(t *testing.T) {
	const (
		instances = 6
		ratio     = 0.2
		slack     = 100.0
		window    = 10 * time.Second
		perSecond = 7
	)
	start := time.Unix(1000, 0)
	budgets := make([]*mclimit.RetryBudget, instances)
	startProcess := func(i int, now time.Time) {
		budgets[i] = &mclimit.RetryBudget{Limits: mclimit.SharedRetryLimits(ratio, slack, window, now, func() int { return instances })}
	}
	for i := range budgets {
		startProcess(i, start.Add(-window))
	}
	type event struct{ at, retries, requests int }
	var events []event
	for step := range 400 {
		now := start.Add(time.Duration(step) * 100 * time.Millisecond)
		if step%70 == 69 {
			startProcess(step/70%instances, now)
		}
		e := event{at: step}
		for _, b := range budgets {
			if step%10 < perSecond {
				b.CountRequest(now, "s")
				e.requests++
			}
			for b.TryConsume(now, "s") {
				e.retries++
			}
		}
		events = append(events, e)
	}
	steps := int(window / (100 * time.Millisecond))
	for first := 0; first+steps <= len(events); first++ {
		retries, requests := 0, 0
		for _, e := range events[first : first+steps] {
			retries += e.retries
			requests += e.requests
		}
		require.LessOrEqual(t, float64(retries), ratio*float64(requests)+slack, "window from step %d", first)
	}
}

// A restarted process does not know how much slack its predecessor has used in the current
// window. If it got its part at once, the instance could use the slack twice.
func TestRestartedProcessHasNoSlackInFirstWindow(t *testing.T) {
	start := time.Unix(1000, 0)
	b := &mclimit.RetryBudget{Limits: mclimit.SharedRetryLimits(0.2, 100, 10*time.Second, start, func() int { return 1 })}
	require.False(t, b.TryConsume(start, "s"))
	for range 10 {
		b.CountRequest(start, "s")
	}
	require.True(t, b.TryConsume(start, "s"))
	require.True(t, b.TryConsume(start, "s"))
	require.False(t, b.TryConsume(start, "s"))
	require.True(t, b.TryConsume(start.Add(11*time.Second), "s"))
}

// Guards against a budget that forgets retries: in windows that are no whole number of seconds,
// and when the settings lengthen the window while instances run.
func TestRetryBudgetHoldsInOtherWindows(t *testing.T) {
	const (
		ratio, slack = 0.2, 100.0
		step         = 100 * time.Millisecond
		changeAt     = 200
	)
	for name, windows := range map[string][2]time.Duration{
		"1.5 s":           {1500 * time.Millisecond, 1500 * time.Millisecond},
		"9.9 s":           {9900 * time.Millisecond, 9900 * time.Millisecond},
		"from 2 to 15 s":  {2 * time.Second, 15 * time.Second},
		"from 15 to 2 s":  {15 * time.Second, 2 * time.Second},
		"from 1 to 2.3 s": {time.Second, 2300 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			start := time.Unix(1000, 0)
			window := windows[0]
			budget := &mclimit.RetryBudget{Limits: func(now time.Time) mclimit.RetryLimits {
				return mclimit.SharedRetryLimits(ratio, slack, window, start.Add(-time.Hour), func() int { return 1 })(now)
			}}
			var retries []int
			for n := range 600 {
				if n >= changeAt {
					window = windows[1]
				}
				now, used := start.Add(time.Duration(n)*step), 0
				budget.CountRequest(now, "s")
				// The first burst comes late in a second.
				for n >= 9 && n%7 != 0 && budget.TryConsume(now, "s") {
					used++
				}
				retries = append(retries, used)
				sum, steps := 0, int(window/step)
				for _, earlier := range retries[max(0, len(retries)-steps):] {
					sum += earlier
				}
				if used > 0 {
					require.LessOrEqual(t, float64(sum), ratio*float64(steps)+slack, "at step %d", n)
				}
			}
		})
	}
}
