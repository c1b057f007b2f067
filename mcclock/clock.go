// Package mcclock provides a monotonic clock that keeps running while the machine is
// suspended, unlike Go's own monotonic clock, a measure of the time without pauses of the
// process, a sleep that a context can cancel, and exponential backoff.
package mcclock

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// maxDoublings prevents an overflow in Backoff; the limits in use are reached with fewer
// doublings.
const maxDoublings = 10

// processStart is the origin of Now where CLOCK_BOOTTIME is not available.
var processStart = time.Now()

// Sleep waits for d and returns true, or returns false as soon as ctx ends.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

// Backoff returns base doubled once per failure, at most limit. It adds no jitter: callers
// add their own, so that instances do not retry at the same time.
func Backoff(base, limit time.Duration, failures int) time.Duration {
	return min(base<<min(failures, maxDoublings), limit)
}

// Now returns the time since the machine booted, including the time spent suspended.
// Where CLOCK_BOOTTIME is not available, it returns the time since the process started.
func Now() time.Duration {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &t) != nil {
		return time.Since(processStart)
	}
	return time.Duration(t.Nano())
}
