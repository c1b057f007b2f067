package mcquarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marigoldcroft/mcquarantine"
)

// Guards against a part that crashes one endpoint after another because it was answered before it
// became deadly, as by a new version of the endpoints, and each prompt has a part of its own.
func TestProvenPartThatBecomesDeadlyIsQuarantined(t *testing.T) {
	b := &partBed{guard: &mcquarantine.Guard{}}
	b.answer(0, "e", "system", "document")
	const crashes = 6
	for i := range crashes {
		at, endpoint := time.Duration(i+2)*time.Second, fmt.Sprint("e", i)
		b.answer(at, "e", "system")
		b.begin(at+100*time.Millisecond, endpoint, "system", "document", fmt.Sprint("turn", i))
		b.crash(at+200*time.Millisecond, endpoint)
	}
	require.True(t, b.quarantined((crashes+2)*time.Second, "document"))
	require.False(t, b.quarantined((crashes+2)*time.Second, "system"))
}
