package mcforward_test

import (
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against engines that are taken out of rotation, as if they were silent, because another
// engine has no memory for a part of a prompt.
func TestFailedReservationLeavesOtherEnginesInRotation(t *testing.T) {
	b, recorder := newLargePromptBed(t, 5)
	recorder.fail = errors.New("409")
	large := make(chan callerResponse, 1)
	r := b.request(http.MethodPost, "/stream/x", "prompt")
	r.Header.Set("Token-Counts", "110000,10")
	go func() { large <- b.send(r) }()
	require.Eventually(t, func() bool {
		recorder.mu.Lock()
		defer recorder.mu.Unlock()
		return recorder.reserves >= 2
	}, 5*time.Second, time.Millisecond)
	begun := time.Now()
	short := b.request(http.MethodPost, "/stream/x", "prompt")
	short.Header.Set("Token-Counts", "100,10")
	got := b.send(short)
	t.Logf("status %d after %v: %s", got.status, time.Since(begun), got.body)
	require.Equal(t, http.StatusOK, got.status)
	require.Less(t, time.Since(begun), 100*time.Millisecond)
	<-large
}
