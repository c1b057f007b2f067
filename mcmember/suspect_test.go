package mcmember_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marigoldcroft"
	"marigoldcroft/mcmember"
	"marigoldcroft/mcmessage"
)

// Guards against a table full of suspects that keeps later ones out: each instance would have to
// lose as many endpoints to a deadly part as all of them together should.
func TestSuspectedPartIsTakenByFullTable(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	table := mcmember.NewTable(mcmember.Self{Identity: marigoldcroft.NewIdentity("copo", region, centreA, "a", now, 1)}, now, 1)
	const suspects, twice, part = 4096, 7, 1 << 40
	for i := range uint64(suspects) {
		entry := &mcmessage.QuarantineEntry{Fingerprint: i, Crashes: 1, ExpiresUnixMs: now.Add(10 * time.Minute).UnixMilli()}
		if i == twice {
			entry.Crashes = 2
		}
		table.SetQuarantine(now, entry)
	}
	now = now.Add(time.Second)
	table.SetQuarantine(now, &mcmessage.QuarantineEntry{
		Fingerprint: part, Crashes: 1, Version: 1, Part: true, ExpiresUnixMs: now.Add(10 * time.Minute).UnixMilli(),
	})
	_, held := table.Quarantine(part)
	require.True(t, held)
	_, held = table.Quarantine(twice)
	require.True(t, held, "it is the most suspect of the others")
	require.Len(t, table.QuarantineEntries(), suspects)
}
