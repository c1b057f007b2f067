package mcforward_test

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// slowRelease is a MemoryReserver whose helpers do not respond to releases.
type slowRelease struct{ *reservationRecorder }

func (s slowRelease) Release(ctx context.Context, _, _ string) error {
	<-ctx.Done()
	return ctx.Err()
}

// Guards against an aborted request that gets no answer before its connection is closed, and
// against a complete stream whose end is delayed, while reserved memory is released at helpers
// that do not respond.
func TestReleaseOfMemoryDelaysNoAnswer(t *testing.T) {
	// A grace time of 8 s leaves 200 ms for the answers to aborted requests.
	const answerTime = 200 * time.Millisecond
	t.Run("aborted before the first event", func(t *testing.T) {
		b, recorder := newLargePromptBed(t, 3)
		b.forwarder.Reservations = slowRelease{recorder}
		for _, s := range b.servers {
			s.EventInterval = 10 * time.Second
		}
		r := b.request(http.MethodPost, "/stream/x", "prompt")
		r.Header.Set("Token-Counts", "110000,10")
		done := make(chan callerResponse, 1)
		go func() { done <- b.send(r) }()
		require.Eventually(t, func() bool { return len(b.runs()) == 1 }, 5*time.Second, time.Millisecond)
		b.forwarder.Drain(time.Now())
		aborted := time.Now()
		b.forwarder.Abort()
		got := <-done
		t.Logf("status %d, broken %v after %v", got.status, got.broken, time.Since(aborted))
		require.Less(t, time.Since(aborted), answerTime)
	})
	t.Run("complete stream", func(t *testing.T) {
		b, recorder := newLargePromptBed(t, 3)
		b.forwarder.Reservations = slowRelease{recorder}
		r := b.request(http.MethodPost, "/stream/x", "prompt")
		r.Header.Set("Token-Counts", "110000,10")
		response, err := b.client.Do(r)
		require.NoError(t, err)
		defer response.Body.Close()
		_, err = io.ReadFull(response.Body, make([]byte, len(wholeStream)))
		require.NoError(t, err)
		last := time.Now()
		rest, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		require.Empty(t, rest)
		require.Less(t, time.Since(last), answerTime, "from the last event to the end of the stream")
	})
}
