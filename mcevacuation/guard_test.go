package mcevacuation

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"marigoldcroft/mcclock"
	"marigoldcroft/mcobserve"
)

// resume makes the guard see the end of a suspension.
func resume(g *Guard) {
	g.mu.Lock()
	g.lastRun = mcclock.Now() - time.Minute
	g.mu.Unlock()
}

// Guards against an instance that sends by what it knew before a suspension, and against one that waits
// for good without an answer.
func TestRequestsWaitAfterASuspension(t *testing.T) {
	refreshed := make(chan struct{}, 8)
	g := &Guard{Logger: zerolog.Nop(), Metrics: mcobserve.NewMetrics(), Refresh: func() { refreshed <- struct{}{} }}
	g.Await(t.Context())
	begun := time.Now()
	g.Await(t.Context())
	require.Less(t, time.Since(begun), confirmWait, "no suspension")

	for _, confirmed := range []bool{true, false} {
		resume(g)
		done := make(chan struct{})
		begun = time.Now()
		go func() {
			g.Await(context.Background())
			close(done)
		}()
		<-refreshed
		g.Confirm(mcclock.Now() - 30*time.Second)
		select {
		case <-done:
			require.GreaterOrEqual(t, time.Since(begun), confirmWait, "confirmed by an answer from before the suspension")
		case <-time.After(confirmWait / 5):
		}
		if confirmed {
			g.Confirm(mcclock.Now())
		}
		select {
		case <-done:
		case <-time.After(10 * time.Second):
			require.Fail(t, "the request waits for good")
		}
		if !confirmed {
			require.GreaterOrEqual(t, time.Since(begun), confirmWait)
		}
	}
	require.Empty(t, refreshed, "asked once for each suspension")
}
