package mclimit_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marigoldcroft/mclimit"
)

// Guards against a retry budget that is spent several times over in one window, as it counts the
// retries of ten seconds whatever window is set.
func TestRetryBudgetHoldsInTheWindowThatIsSet(t *testing.T) {
	const (
		ratio  = 0.2
		slack  = 100.0
		window = 30 * time.Second
		step   = time.Second
	)
	start := time.Unix(1000, 0)
	budget := &mclimit.RetryBudget{Limits: mclimit.SharedRetryLimits(ratio, slack, window, start.Add(-window), func() int { return 1 })}
	const requestsPerStep = 10
	var retries []int
	for n := range 90 {
		now, used := start.Add(time.Duration(n)*step), 0
		for range requestsPerStep {
			budget.CountRequest(now, "s")
		}
		for budget.TryConsume(now, "s") {
			used++
		}
		retries = append(retries, used)
	}
	steps := int(window / step)
	for first := 0; first+steps <= len(retries); first++ {
		sum := 0
		for _, used := range retries[first : first+steps] {
			sum += used
		}
		require.LessOrEqual(t, float64(sum), ratio*requestsPerStep*float64(steps)+slack, "window from second %d", first)
	}
}
