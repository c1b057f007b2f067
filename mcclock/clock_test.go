package mcclock_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marigoldcroft/mcclock"
)

// The backoff must not exceed its limit, nor overflow to zero or less after many failures.
func TestBackoff(t *testing.T) {
	require.Equal(t, 50*time.Millisecond, mcclock.Backoff(50*time.Millisecond, time.Second, 0))
	require.Equal(t, 200*time.Millisecond, mcclock.Backoff(50*time.Millisecond, time.Second, 2))
	for failures := range 1000 {
		require.LessOrEqual(t, mcclock.Backoff(50*time.Millisecond, time.Second, failures), time.Second)
		require.Positive(t, mcclock.Backoff(50*time.Millisecond, time.Second, failures))
	}
}

// Sleep must return false once its context has ended, even if d is zero; a caller's loop would
// otherwise run once more.
func TestSleepReportsCancellation(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	require.True(t, mcclock.Sleep(ctx, time.Millisecond))
	cancel()
	require.False(t, mcclock.Sleep(ctx, 0))
	require.False(t, mcclock.Sleep(ctx, time.Hour))
}
