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

// Guards against output that an endpoint sent before an instance was paused, and that the instance
// reads after it, being taken for an answer that went on during the pause.
func TestOutputReadAfterPauseDoesNotProveDeadlyPart(t *testing.T) {
	for _, pause := range []time.Duration{0, 300 * time.Millisecond, 3 * time.Second, time.Minute} {
		t.Run(pause.String(), func(t *testing.T) {
			var progress mcquarantine.Progress
			const before, gap = 10, 10 * time.Millisecond
			for i := 0; ; i++ {
				running := time.Duration(i) * gap
				at := start.Add(running)
				if i >= before {
					at = at.Add(pause)
				}
				if progress.Output(at, func() time.Duration { return running }) {
					require.Greater(t, running, mcquarantine.BlameWindow)
					require.LessOrEqual(t, running, mcquarantine.BlameWindow+gap)
					break
				}
				require.Less(t, running, 2*mcquarantine.BlameWindow, "an answer that goes on proves nothing")
			}
			require.True(t, progress.Continued())
			require.False(t, progress.Output(start.Add(time.Hour), nil), "reported twice")
		})
	}
}

// Guards against a sound part being blamed for a crash long after its answer began, and against a
// part whose answer had just begun not being blamed because the instance was paused.
func TestCrashIsBlamedOnAnswerThatDoesNotGoOn(t *testing.T) {
	for _, goesOn := range []bool{true, false} {
		b := &partBed{guard: &mcquarantine.Guard{}}
		for i := range 3 {
			at, endpoint := time.Duration(4*i)*time.Second, fmt.Sprint("e", i)
			b.begin(at, endpoint, "part")
			output := 100 * time.Millisecond
			if goesOn {
				output = 1500 * time.Millisecond
			}
			b.stream(at, at+output, endpoint)
			b.crash(at+3*time.Second, endpoint)
		}
		require.Equal(t, !goesOn, b.quarantined(12*time.Second, "part"), "goes on: %v", goesOn)
	}
}
