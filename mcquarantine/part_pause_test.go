package mcquarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marigoldcroft/mcquarantine"
)

// Guards against an instance that was paused while an endpoint crashed and takes the time of its
// own pause for proof that the deadly part is harmless, which ends the quarantine at all instances.
func TestPausedInstanceDoesNotProveDeadlyPart(t *testing.T) {
	b, paused := &partBed{guard: &mcquarantine.Guard{}}, &partBed{guard: &mcquarantine.Guard{}}
	for i := range 3 {
		at, endpoint := time.Duration(i)*time.Second, fmt.Sprint("e", i)
		b.begin(at, endpoint, "deadly")
		b.guard.FirstOutput(start.Add(at+50*time.Millisecond), endpoint, stream(b.requests))
		b.crash(at+100*time.Millisecond, endpoint)
	}
	require.True(t, b.quarantined(3*time.Second, "deadly"))
	// The endpoint crashes right after the first output, during a pause of 3 s. After it, the
	// instance merges what its peers sent before it reads the end of the stream.
	paused.begin(2200*time.Millisecond, "e3", "deadly")
	paused.guard.FirstOutput(start.Add(2300*time.Millisecond), "e3", stream(1))
	resumed := 5300 * time.Millisecond
	paused.guard.Merge(start.Add(resumed), b.guard.Entries(start.Add(resumed)))
	b.guard.Merge(start.Add(resumed), paused.guard.ClearProvenParts(start.Add(resumed)))
	b.guard.Merge(start.Add(resumed), paused.crash(resumed, "e3"))
	require.True(t, paused.quarantined(6*time.Second, "deadly"), "the paused instance sends more requests with the part")
	require.True(t, b.quarantined(6*time.Second, "deadly"), "its peers do")
}
