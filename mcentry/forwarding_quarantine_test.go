package mcentry_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marigoldcroft/mcentry"
	"marigoldcroft/mcmessage"
	"marigoldcroft/mcquarantine"
)

// Guards against a starting instance that sends requests with a quarantined part because the entry
// came before the instance began to follow its peers.
func TestStartingInstanceUsesEarlierQuarantineEntries(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	guard, part := &mcquarantine.Guard{}, mcquarantine.PartFingerprint("s", "dead")
	go mcentry.WatchPeers(ctx, guard, &mcmessage.QuarantineEntry{
		Fingerprint: uint64(part), Crashes: 3, Quarantined: true, Version: 1, Part: true, ExpiresUnixMs: time.Now().Add(time.Minute).UnixMilli(),
	})
	require.Eventually(t, func() bool {
		_, quarantined := guard.QuarantinedPart(time.Now(), []mcquarantine.Fingerprint{part})
		return quarantined
	}, time.Second, time.Millisecond)
}
