package mcforward_test

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marigoldcroft"
	"marigoldcroft/mcfollow"
	"marigoldcroft/mcstandin"
)

// refuse makes the server refuse the given number of requests and ask for none for so many seconds.
func (b *testBed) refuse(server, requests int, retryAfter string) {
	b.servers[server].SetStatement(mcstandin.PlatformStatement{RetryAfter: retryAfter})
	b.servers[server].SetFaults(mcstandin.PlatformServerFaults{Overloaded: requests})
}

// awaitRefusal makes server 0 refuse requests for so many seconds, sends requests until it has refused
// one, and returns the time after that.
func (b *testBed) awaitRefusal(retryAfter string) (refusedAt time.Time) {
	b.t.Helper()
	b.refuse(0, 100, retryAfter)
	require.Eventually(b.t, func() bool {
		require.Equal(b.t, http.StatusOK, b.get("/again/x").status)
		refusedAt = time.Now()
		return b.servers[0].Refused() > 0
	}, 5*time.Second, time.Millisecond)
	return refusedAt
}

// awaitUse sends requests until server 0 has run one.
func (b *testBed) awaitUse() {
	b.t.Helper()
	require.Eventually(b.t, func() bool {
		require.Equal(b.t, http.StatusOK, b.get("/again/x").status)
		return len(b.servers[0].Runs()) > 0
	}, 5*time.Second, time.Millisecond, "the endpoint is used again")
}

// Guards against requests to an endpoint that has refused one and wants no more for a time.
func TestRefusingEndpointIsLeftAloneForItsTime(t *testing.T) {
	b := newTestBed(t, 2)
	refusedAt := b.awaitRefusal("0.5")
	for time.Since(refusedAt) < 350*time.Millisecond {
		require.Equal(t, http.StatusOK, b.get("/again/x").status)
	}
	require.Equal(t, 1, b.servers[0].Refused())
	b.refuse(0, 0, "")
	b.awaitUse()
}

// Guards against requests to an endpoint that wants none for a time, after its record has lapsed and
// returned within that time.
func TestPauseOutlivesTheRecord(t *testing.T) {
	b := newTestBed(t, 2)
	refusedAt := b.awaitRefusal("4")
	apply := func(r marigoldcroft.Record[marigoldcroft.EndpointRecord]) {
		b.forwarder.Fleet.Apply(mcfollow.Change[marigoldcroft.EndpointRecord]{Records: []marigoldcroft.Record[marigoldcroft.EndpointRecord]{r}})
	}
	apply(marigoldcroft.Record[marigoldcroft.EndpointRecord]{Name: b.servers[0].ID, Deleted: true})
	// The statements of endpoints that are not listed are removed once a second.
	require.Never(t, func() bool { return b.get("/again/x").status != http.StatusOK }, 2200*time.Millisecond, 50*time.Millisecond)
	b.refuse(0, 0, "")
	apply(b.record(0))
	b.forwarder.Fleet.Confirm(b.servers[0].ID, 1)
	for time.Since(refusedAt) < 3500*time.Millisecond {
		require.Equal(t, http.StatusOK, b.get("/again/x").status)
	}
	require.Empty(t, b.servers[0].Runs())
	b.awaitUse()
}

// Guards against callers that wait until their deadline, or come back too soon, while every endpoint
// has asked for no requests for longer.
func TestCallersAreToldWhenRefusingEndpointsTakeRequests(t *testing.T) {
	b := newTestBed(t, 2)
	b.refuse(0, 100, "30")
	b.refuse(1, 100, "20")
	for range 2 {
		b.get("/once/x")
	}
	begun := time.Now()
	response := b.get("/once/x")
	require.Less(t, time.Since(begun), 500*time.Millisecond)
	require.Equal(t, http.StatusServiceUnavailable, response.status)
	require.Contains(t, response.body, `"notRun":true`)
	retryAfter, err := strconv.ParseFloat(response.header.Get("Retry-After"), 64)
	require.NoError(t, err)
	require.Greater(t, retryAfter, 19.0)
	require.Equal(t, 2, b.servers[0].Refused()+b.servers[1].Refused())
}
