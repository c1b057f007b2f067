package mcclock_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marigoldcroft/mcclock"
)

// Guards against a backoff that overflows after many failures or exceeds its limit.
func TestBackoff(t *testing.T) {
	require.Equal(t, 50*time.Millisecond, mcclock.Backoff(50*time.Millisecond, time.Second, 0))
	require.Equal(t, 200*time.Millisecond, mcclock.Backoff(50*time.Millisecond, time.Second, 2))
	for failures := range 1000 {
		require.LessOrEqual(t, mcclock.Backoff(50*time.Millisecond, time.Second, failures), time.Second)
		require.Positive(t, mcclock.Backoff(50*time.Millisecond, time.Second, failures))
	}
}

// Guards against a caller that continues after its context has ended.
func TestSleepReportsCancellation(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	require.True(t, mcclock.Sleep(ctx, time.Millisecond))
	cancel()
	require.False(t, mcclock.Sleep(ctx, 0))
	require.False(t, mcclock.Sleep(ctx, time.Hour))
}
