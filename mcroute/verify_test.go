package mcroute_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marigoldcroft"
	"marigoldcroft/mcclock"
	"marigoldcroft/mcmessage"
	"marigoldcroft/mcroute"
)

// Guards against a process that serves by the table of a restored store because the first peers that
// it asks have just started themselves, and against one that asks all peers of a large deployment.
func TestVerifyTakesTheTableOfAVerifiedPeer(t *testing.T) {
	newPeer := func(version int64, verified bool) *peer {
		r := newRouter()
		r.VerifyFirst = true
		if verified {
			r.MarkVerified()
		}
		r.Update(table(version), "store")
		r.Confirm(version, mcclock.Now())
		return &peer{server: &mcroute.Server{Router: r, Deployment: "d"}}
	}
	for _, c := range []struct {
		name     string
		verified []bool
		asked    int
		answered bool
		version  int64
	}{
		{"first peers have just started", []bool{false, false, false, true}, 4, true, 7},
		{"all peers have just started", []bool{false, false, false, false, false, false, false, true}, 6, false, 5},
		{"no peers", nil, 0, false, 5},
	} {
		t.Run(c.name, func(t *testing.T) {
			var peers []mcmessage.ConfigServiceClient
			for _, verified := range c.verified {
				version := int64(6)
				if verified {
					version = 7
				}
				peers = append(peers, newPeer(version, verified))
			}
			starting := newRouter()
			starting.VerifyFirst, starting.Lease = true, time.Minute
			starting.Update(table(5), "store")
			fetcher := &mcroute.PeerFetcher{
				Router: starting, Deployment: "d", Decode: func(source []byte) *marigoldcroft.RoutingTable { return table(int64(source[0])) },
			}
			require.False(t, starting.Verified())
			asked, answered := fetcher.Verify(t.Context(), peers)
			require.Equal(t, c.asked, asked)
			require.Equal(t, c.answered, answered)
			require.Equal(t, c.version, starting.Table().Version())
			require.True(t, starting.Verified())
		})
	}
}
