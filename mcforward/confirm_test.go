package mcforward_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marigoldcroft"
	"marigoldcroft/mcfollow"
	"marigoldcroft/mcstandin"
)

// Guards against an endpoint that stays out although it has written its record again, and against
// orders at one that is leaving and whose last write was carried out late, or whose address another
// endpoint has.
func TestReturnedEndpointIsUsedOnceItsHealthCheckSucceeds(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(s *mcstandin.PlatformServer)
		used   bool
	}{
		{"lives", func(*mcstandin.PlatformServer) {}, true},
		{"is leaving", func(s *mcstandin.PlatformServer) { s.SetStatement(mcstandin.PlatformStatement{Leaving: true}) }, false},
		{"another endpoint has its address", func(s *mcstandin.PlatformServer) { s.ID = "other" }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newTestBed(t, 2)
			name := b.servers[0].ID
			record := b.record(0)
			c.change(b.servers[0])
			for _, r := range []marigoldcroft.Record[marigoldcroft.EndpointRecord]{{Name: name, Deleted: true}, record} {
				b.forwarder.Fleet.Apply(mcfollow.Change[marigoldcroft.EndpointRecord]{Records: []marigoldcroft.Record[marigoldcroft.EndpointRecord]{r}})
			}
			if c.used {
				require.Eventually(t, func() bool {
					_, usable := b.forwarder.Fleet.Endpoint(name)
					return usable
				}, time.Second, time.Millisecond)
				require.Equal(t, 1, b.servers[0].Checks())
				return
			}
			require.Eventually(t, func() bool { return b.servers[0].Checks() > 0 }, time.Second, time.Millisecond)
			for range 30 {
				require.Equal(t, http.StatusOK, b.get("/again/x").status)
			}
			require.Empty(t, b.servers[0].Runs())
		})
	}
}
