package mcforward_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against an abort of some requests that ends those which began earlier.
func TestAbortOfTheNewestSparesTheOthers(t *testing.T) {
	b := newTestBed(t, 1)
	b.servers[0].CallTime = 500 * time.Millisecond
	first := b.sendInBackground("/once/x")
	require.Eventually(t, func() bool { return len(b.runs()) == 1 }, 5*time.Second, time.Millisecond)
	var newer []<-chan callerResponse
	for range serverSlots - 1 {
		newer = append(newer, b.sendInBackground("/once/x"))
	}
	require.Eventually(t, func() bool { return len(b.runs()) == serverSlots }, 5*time.Second, time.Millisecond)
	waiting := b.sendInBackground("/again/x")
	require.Eventually(t, func() bool { return b.forwarder.Dispatcher.Scheduler.Queued() == 1 }, 5*time.Second, time.Millisecond)
	require.Equal(t, serverSlots, b.forwarder.AbortNewest(serverSlots), "the waiting request and the newer ones")
	require.Equal(t, http.StatusServiceUnavailable, (<-waiting).status)
	for _, response := range newer {
		require.Equal(t, http.StatusBadGateway, (<-response).status)
	}
	require.Equal(t, http.StatusOK, (<-first).status)
	require.Eventually(t, func() bool { return b.forwarder.Ending() == 0 }, time.Second, time.Millisecond)
	require.Len(t, b.runs(), serverSlots)
}
