package mcforward_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marigoldcroft/mcstandin"
)

// Guards against a broken stream that a stop does not resume, although its rest would end in time:
// refused, it is lost for certain, as the caller has a part of it.
func TestStopResumesBrokenStreams(t *testing.T) {
	b, _ := newLargePromptBed(t, 3)
	for _, s := range b.servers {
		s.EventInterval = 50 * time.Millisecond
		s.SetFaults(mcstandin.PlatformServerFaults{BrokenStreams: 1, BreakAfterEvent: 5})
	}
	r := b.request(http.MethodPost, "/stream/x", "prompt")
	r.Header.Set("Token-Counts", "100,1000")
	r.Header.Set("Length-Hint", "6")
	done := make(chan callerResponse, 1)
	go func() { done <- b.send(r) }()
	require.Eventually(t, func() bool { return len(b.runs()) == 1 }, 5*time.Second, time.Millisecond)
	for _, s := range b.servers {
		if len(s.Runs()) == 0 {
			s.SetFaults(mcstandin.PlatformServerFaults{})
		}
	}
	b.forwarder.Drain(time.Now().Add(1100 * time.Millisecond))
	got := <-done
	require.False(t, got.broken, got.body)
	require.Equal(t, wholeStream, got.body)
}
