package mcscheduler

import (
	"slices"
	"time"
)

// longCallDecay is the factor by which the time of a long call falls with each shorter one.
const longCallDecay = 0.99

// CallTimes predicts the time of a long call of a plain service. Points in time are durations
// since an epoch of the caller's choice. CallTimes is not safe for concurrent use.
type CallTimes struct {
	// longest is the time of the longest recent call that has ended.
	longest time.Duration
	// running holds by endpoint when the running calls began, in order.
	running map[string][]time.Duration
}

// Begin records that a call was sent to the endpoint.
func (c *CallTimes) Begin(now time.Duration, endpoint string) {
	if c.running == nil {
		c.running = make(map[string][]time.Duration)
	}
	c.running[endpoint] = append(c.running[endpoint], now)
}

// End records that a call that began at the given time no longer runs. Unknown calls are
// ignored.
func (c *CallTimes) End(begun time.Duration, endpoint string) {
	calls := c.running[endpoint]
	i := slices.Index(calls, begun)
	switch {
	case i < 0:
	case len(calls) == 1:
		delete(c.running, endpoint)
	default:
		c.running[endpoint] = slices.Delete(calls, i, i+1)
	}
}

// Observe records the time of a call that succeeded.
func (c *CallTimes) Observe(took time.Duration) {
	c.longest = max(took, time.Duration(longCallDecay*float64(c.longest)))
}

// Predict returns the time of a long call of a service with the given number of endpoints. The
// age of running calls is a lower bound of it, unless a single call or endpoint hangs.
func (c *CallTimes) Predict(now time.Duration, endpoints int) time.Duration {
	var oldest, second time.Duration
	for _, calls := range c.running {
		if endpoints > 1 {
			calls = calls[:1]
		}
		for _, begun := range calls[:min(2, len(calls))] {
			age := now - begun
			oldest, second = max(oldest, age), max(second, min(oldest, age))
		}
	}
	return max(c.longest, second)
}

// PredictForStop returns the time that a call needs before the end of a planned stop.
func (c *CallTimes) PredictForStop(now time.Duration, endpoints int) time.Duration {
	return time.Duration((1 + stopMargin) * float64(c.Predict(now, endpoints)))
}
