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

// leavingEndpoint makes server 0 state that it is leaving, and sends requests until one was answered
// by it.
func (b *testBed) leavingEndpoint() {
	b.t.Helper()
	b.servers[0].SetStatement(mcstandin.PlatformStatement{Leaving: true})
	require.Eventually(b.t, func() bool {
		require.Equal(b.t, http.StatusOK, b.get("/again/x").status)
		return len(b.servers[0].Runs()) > 0
	}, 5*time.Second, time.Millisecond)
}

// Guards against requests to an endpoint that has stated in an answer that it is leaving, while its
// record does not say so yet.
func TestEndpointThatStatesItsEndGetsNoMoreRequests(t *testing.T) {
	b := newTestBed(t, 2)
	b.leavingEndpoint()
	for range 30 {
		require.Equal(t, http.StatusOK, b.get("/again/x").status)
	}
	require.Len(t, b.servers[0].Runs(), 1)

	// The record of the same process, written before, must not bring it back.
	record := b.record(0)
	record.Value.Slots = 8
	b.forwarder.Fleet.Apply(mcfollow.Change[marigoldcroft.EndpointRecord]{Records: []marigoldcroft.Record[marigoldcroft.EndpointRecord]{record}})
	for range 30 {
		require.Equal(t, http.StatusOK, b.get("/again/x").status)
	}
	require.Len(t, b.servers[0].Runs(), 1)

	// The next process under the name is used.
	record = b.record(0)
	record.Value.Incarnation = 2
	b.servers[0].SetStatement(mcstandin.PlatformStatement{})
	b.forwarder.Fleet.Apply(mcfollow.Change[marigoldcroft.EndpointRecord]{Records: []marigoldcroft.Record[marigoldcroft.EndpointRecord]{record}})
	require.Eventually(t, func() bool {
		require.Equal(t, http.StatusOK, b.get("/again/x").status)
		return len(b.servers[0].Runs()) > 1
	}, 5*time.Second, time.Millisecond)
}

// Guards against a request that was placed at an endpoint before the endpoint stated that it is
// leaving, and is sent there afterwards because a reservation took long.
func TestPlacedRequestIsNotSentToALeavingEndpoint(t *testing.T) {
	b, recorder := newLargePromptBed(t, 3)
	recorder.onReserve = func() {
		recorder.onReserve = nil
		for _, s := range b.servers {
			b.forwarder.Fleet.MarkLeaving(s.ID)
		}
	}
	r := b.request(http.MethodPost, "/stream/x", "prompt")
	r.Header.Set("Token-Counts", "110000,10")
	require.Equal(t, http.StatusServiceUnavailable, b.send(r).status)
	require.Empty(t, b.runs())
}
