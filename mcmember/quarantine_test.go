package mcmember_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marigoldcroft"
	"marigoldcroft/mcmember"
	"marigoldcroft/mcmessage"
)

// Many requests in flight at crashes fill the table with suspects for minutes. A quarantined part
// must still be taken and shared, or only the instance that found it refuses its requests.
func TestQuarantinedPartIsTakenByFullTable(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	table := mcmember.NewTable(mcmember.Self{Identity: marigoldcroft.NewIdentity("copo", region, centreA, "a", now, 1)}, now, 1)
	expires := now.Add(10 * time.Minute).UnixMilli()
	const suspects = 4096
	for i := range uint64(suspects) {
		table.SetQuarantine(now, &mcmessage.QuarantineEntry{Fingerprint: i, Crashes: 1, ExpiresUnixMs: expires})
	}
	const part = 1 << 40
	table.SetQuarantine(now, &mcmessage.QuarantineEntry{Fingerprint: part, Crashes: 3, Quarantined: true, Version: 1, Part: true, ExpiresUnixMs: expires})
	_, held := table.Quarantine(part)
	require.True(t, held)
}
