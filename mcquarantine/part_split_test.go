package mcquarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marigoldcroft/mcquarantine"
)

// Guards against a sound piece of a deadly part being taken for proof that the whole part is
// harmless, and against a part that no answer of its pieces can clear.
func TestPieceIsNoProofForWholePart(t *testing.T) {
	document := mcquarantine.PartFingerprint("s", "document")
	for _, answered := range []bool{false, true} {
		b := &partBed{guard: &mcquarantine.Guard{}}
		beginPiece := func(at time.Duration, endpoint string) {
			b.begin(at, endpoint, "system", "document")
			b.guard.PartIsSplit(endpoint, stream(b.requests), document)
		}
		for i := range 3 {
			at, endpoint := time.Duration(10*i)*time.Second, fmt.Sprint("e", i)
			beginPiece(at, endpoint)
			b.crash(at+100*time.Millisecond, endpoint)
			// Of two sound pieces, one is answered at once and one goes on.
			beginPiece(at+time.Second, "sound")
			b.stream(at+time.Second, at+4*time.Second, "sound")
			beginPiece(at+time.Second, "sound")
			b.guard.FirstOutput(start.Add(at+time.Second), "sound", stream(b.requests))
			b.guard.End(start.Add(at+2*time.Second), "sound", stream(b.requests), true)
			if answered {
				b.guard.PartAnswered(start.Add(at+2*time.Second), start.Add(at+time.Second), document)
			}
		}
		require.Equal(t, !answered, b.quarantined(30*time.Second, "document"), "all pieces answered: %v", answered)
		require.False(t, b.quarantined(30*time.Second, "system"))
	}
}

// Guards against a run of segments that began before a crash by another one clearing it.
func TestEarlierPiecesDoNotClearLaterCrash(t *testing.T) {
	b := &partBed{guard: &mcquarantine.Guard{}}
	document := mcquarantine.PartFingerprint("s", "document")
	// The limit of a part that was answered is five.
	for i := range 5 {
		at, endpoint := time.Duration(10*i)*time.Second, fmt.Sprint("e", i)
		b.begin(at+time.Second, endpoint, "document")
		b.crash(at+2*time.Second, endpoint)
		b.guard.PartAnswered(start.Add(at+3*time.Second), start.Add(at), document)
	}
	require.True(t, b.quarantined(50*time.Second, "document"))
}
