package mcforward_test

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marigoldcroft/mcstandin"
)

// serverSlots is the number of slots of each server of a testBed.
const serverSlots = 4

// sendInBackground sends a request and returns the channel of its response.
func (b *testBed) sendInBackground(path string) <-chan callerResponse {
	response := make(chan callerResponse, 1)
	r := b.request(http.MethodGet, path, "")
	go func() { response <- b.send(r) }()
	return response
}

// occupy fills the slots of the only server with requests.
func (b *testBed) occupy(path string) []<-chan callerResponse {
	var running []<-chan callerResponse
	for range serverSlots {
		running = append(running, b.sendInBackground(path))
	}
	require.Eventually(b.t, func() bool { return len(b.runs()) == serverSlots }, 5*time.Second, time.Millisecond)
	return running
}

// A request that still waits for an endpoint when a planned stop ends would be cut off with
// neither an answer nor a refusal. It must be refused as not run, with a Retry-After, while the
// requests that run get their time.
func TestStopRefusesWaitingRequests(t *testing.T) {
	b := newTestBed(t, 1)
	b.servers[0].CallTime = 600 * time.Millisecond
	running := b.occupy("/once/x")
	waiting := b.sendInBackground("/once/x")
	require.Eventually(t, func() bool { return b.forwarder.Dispatcher.Scheduler.Queued() == 1 }, 5*time.Second, time.Millisecond)
	b.forwarder.Drain(time.Now().Add(200 * time.Millisecond))
	got := <-waiting
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.NotEmpty(t, got.header.Get("Retry-After"))
	require.Contains(t, got.body, `"notRun":true`)
	require.Len(t, b.runs(), serverSlots)
	for _, response := range running {
		require.Equal(t, http.StatusOK, (<-response).status)
	}
}

// TestAbortTellsEachRequestItsState ends a planned stop while requests are in every phase. A
// request that was not sent must be refused as not run; one that was sent must never be said
// not to have run, and none may end without an answer unless its stream had begun.
func TestAbortTellsEachRequestItsState(t *testing.T) {
	t.Run("sent, no answer yet", func(t *testing.T) {
		b := newTestBed(t, 1)
		b.servers[0].CallTime = 5 * time.Second
		running := b.occupy("/once/x")
		waiting := b.sendInBackground("/once/x")
		require.Eventually(t, func() bool { return b.forwarder.Dispatcher.Scheduler.Queued() == 1 }, 5*time.Second, time.Millisecond)
		b.forwarder.Abort()
		require.Equal(t, http.StatusServiceUnavailable, (<-waiting).status)
		for _, response := range running {
			got := <-response
			require.Equal(t, http.StatusBadGateway, got.status)
			require.Contains(t, got.body, `"notRun":false`)
		}
	})
	t.Run("in a stream", func(t *testing.T) {
		b := newTestBed(t, 1)
		b.servers[0].EventInterval = time.Second
		response, err := b.client.Do(b.request(http.MethodGet, "/stream/x", ""))
		require.NoError(t, err)
		defer response.Body.Close()
		b.forwarder.Abort()
		body, err := io.ReadAll(response.Body)
		require.Error(t, err, "a stream that broke off must not look complete")
		require.True(t, strings.HasPrefix(wholeStream, string(body)))
	})
	t.Run("between two attempts", func(t *testing.T) {
		b := newTestBed(t, 3)
		b.forwarder.Drain(time.Now())
		for i := range b.servers {
			b.servers[i].SetFaults(mcstandin.PlatformServerFaults{Overloaded: 9})
		}
		require.Equal(t, http.StatusServiceUnavailable, b.get("/once/x").status)
		require.Empty(t, b.runs())
	})
}

// A retry that begins after the time by which a stop should end would be cut off. The result of
// the first attempt must be reported instead.
func TestStopBeginsNoLateRetry(t *testing.T) {
	b := newTestBed(t, 3)
	for i := range b.servers {
		b.servers[i].CallTime = 300 * time.Millisecond
		b.servers[i].SetFaults(mcstandin.PlatformServerFaults{LostResponses: 1})
	}
	response := b.sendInBackground("/again/x")
	require.Eventually(t, func() bool { return len(b.runs()) == 1 }, 5*time.Second, time.Millisecond)
	b.forwarder.Drain(time.Now().Add(100 * time.Millisecond))
	require.Equal(t, http.StatusBadGateway, (<-response).status)
	require.Len(t, b.runs(), 1)
}

// A caller that sends its body slowly must not hold a planned stop beyond its end, and must get
// a refusal instead of a closed connection. A body that arrives in time is served.
func TestStopWithIncompleteBody(t *testing.T) {
	for _, c := range []struct {
		name   string
		pause  time.Duration
		status int
	}{
		{"stalled", 3 * time.Second, http.StatusServiceUnavailable},
		{"slow", 100 * time.Millisecond, http.StatusOK},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newTestBed(t, 1)
			conn := b.sendHalfBody("/once/x", 2500*time.Millisecond)
			begun := time.Now()
			b.forwarder.Drain(begun.Add(500 * time.Millisecond))
			time.AfterFunc(c.pause, func() { _, _ = io.WriteString(conn, "rest") })
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			require.NoError(t, err)
			defer response.Body.Close()
			require.Equal(t, c.status, response.StatusCode)
			require.Less(t, time.Since(begun), 2*time.Second)
		})
	}
}
