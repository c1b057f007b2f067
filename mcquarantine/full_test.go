package mcquarantine_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marigoldcroft/mcmessage"
	"marigoldcroft/mcquarantine"
)

// Guards against an instance that panics at a crash while its table of entries is full: the
// entries that the crash adds must not displace each other before they are raised.
func TestCrashWithFullTable(t *testing.T) {
	b := &partBed{guard: &mcquarantine.Guard{}}
	var entries []*mcmessage.QuarantineEntry
	for n := range 10_000 {
		entries = append(entries, &mcmessage.QuarantineEntry{
			Fingerprint: uint64(n + 1), Crashes: 2, Quarantined: true, Version: 1, ExpiresUnixMs: start.Add(time.Hour).UnixMilli(),
		})
	}
	b.guard.Merge(start, entries)
	b.begin(0, "e", "system", "document", "question")
	added := partsOf(b.crash(time.Second, "e"))
	require.Len(t, added, 3)
	for _, e := range added {
		require.Equal(t, uint32(1), e.GetCrashes())
	}
}
