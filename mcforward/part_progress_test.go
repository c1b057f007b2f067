package mcforward_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marigoldcroft/mcquarantine"
)

// Guards against sound parts that stay under suspicion for as long as their answers take: an answer
// that goes on proves them before it ends, and not before it has gone on for long enough.
func TestAnswerThatGoesOnProvesItsParts(t *testing.T) {
	b := newTestBed(t, 1)
	b.servers[0].EventInterval = 350 * time.Millisecond
	r := b.request(http.MethodPost, "/stream/x", "prompt")
	r.Header.Set("Prefix-Hash", "aa:800,b1:250")
	r.Header.Set("Deadline-Ms", "3000")
	answer := make(chan callerResponse, 1)
	began := time.Now()
	go func() { answer <- b.send(r) }()
	part := mcquarantine.PartFingerprint("s", "aa")
	require.Eventually(t, func() bool { return b.forwarder.Quarantine.Proven(time.Now(), part) }, 10*time.Second, time.Millisecond)
	require.Greater(t, time.Since(began), mcquarantine.BlameWindow)
	require.Empty(t, answer, "proven only by its end")
	require.False(t, (<-answer).broken)
}
