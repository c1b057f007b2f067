package mcforward_test

import (
	"context"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marigoldcroft"
	"marigoldcroft/mcclock"
	"marigoldcroft/mcfollow"
	"marigoldcroft/mcstandin"
)

// wholeStream is the complete response body of a stream of six events.
const wholeStream = "id: 1\ndata: token 1\n\nid: 2\ndata: token 2\n\nid: 3\ndata: token 3\n\n" +
	"id: 4\ndata: token 4\n\nid: 5\ndata: token 5\n\nid: 6\ndata: token 6\n\n"

// TestForwardsRequestsUnchanged covers a proxy that normalises the path, adds default
// headers, or passes on the caller's key, its hop-by-hop headers or a team that the caller
// chose.
func TestForwardsRequestsUnchanged(t *testing.T) {
	b := newTestBed(t, 1)
	r := b.request(http.MethodPut, "/once/a%2Fb//c?x=1&y=%20&z", "the body")
	r.Header.Set("Tenant", "chosen")
	r.Header.Set("Target-Instance", "chosen")
	r.Header.Set("X-Own", "kept")
	r.Header["User-Agent"] = []string{""}
	r.Header.Set("Connection", "X-Hop")
	r.Header.Set("X-Hop", "dropped")
	got := b.send(r)
	require.Equal(t, http.StatusOK, got.status)
	require.Equal(t, "answer to request-1", got.body)
	require.Equal(t, "seal-i-0", got.header.Get("Response-Seal"))
	runs := b.runs()
	require.Len(t, runs, 1)
	run := runs[0]
	require.Equal(t, http.MethodPut, run.Method)
	require.Equal(t, "/once/a%2Fb//c?x=1&y=%20&z", run.Target)
	require.Equal(t, "the body", run.Body)
	require.Equal(t, "team", run.Header.Get("Tenant"))
	require.Equal(t, "i-0", run.Header.Get("Target-Instance"))
	require.Equal(t, "kept", run.Header.Get("X-Own"))
	for _, name := range []string{"Authorization", "X-Hop", "User-Agent", "Accept-Encoding"} {
		require.NotContains(t, run.Header, name)
	}
}

// An endpoint that is given the caller's whole time limit would work on after the deadline:
// the attempt must get only the time that is left.
func TestAttemptGetsRemainingTime(t *testing.T) {
	b := newTestBed(t, 1)
	b.get("/once/x")
	require.LessOrEqual(t, len(b.runs()[0].Header.Get("Deadline-Ms")), 4)
	require.LessOrEqual(t, b.runs()[0].Header.Get("Deadline-Ms"), "2000")
}

// TestFailures covers the ways in which an endpoint can fail a request. The request must
// never run more often than its route allows, the caller must not be told that it did not
// run when it may have, and no response may be relayed that is not the endpoint's own.
func TestFailures(t *testing.T) {
	cases := []struct {
		name   string
		path   string
		faults mcstandin.PlatformServerFaults
		status int
		runs   int
		// hasReceipt is true when the response carries an endpoint's receipt.
		hasReceipt bool
		broken     bool
		// faulty is how many of the three endpoints have the faults.
		faulty int
	}{
		{"a request that did not run is tried elsewhere", "/once/x", mcstandin.PlatformServerFaults{Overloaded: 1}, 200, 1, true, false, 2},
		{"a request that all endpoints refuse did not run", "/once/x", mcstandin.PlatformServerFaults{Overloaded: 9}, 503, 0, false, false, 3},
		{"a request whose response is lost may have run", "/once/x", mcstandin.PlatformServerFaults{LostResponses: 1}, 502, 1, false, false, 3},
		{"a lost response is retried where allowed", "/again/x", mcstandin.PlatformServerFaults{LostResponses: 1}, 200, 3, true, false, 2},
		{"lost responses use up the attempts", "/again/x", mcstandin.PlatformServerFaults{LostResponses: 9}, 502, 3, false, false, 3},
		{"an error response of the endpoint is relayed", "/once/x", mcstandin.PlatformServerFaults{Errors: 1}, 500, 1, true, false, 3},
		{"an error response is retried where allowed", "/again/x", mcstandin.PlatformServerFaults{Errors: 1}, 200, 3, true, false, 2},
		{"an unconfirmed status that means not run is replaced", "/once/x", mcstandin.PlatformServerFaults{RunThen503: 1}, 502, 1, false, false, 3},
		{"a truncated response is not relayed", "/once/x", mcstandin.PlatformServerFaults{Truncated: 1}, 502, 1, false, false, 3},
		{"a truncated response is retried where allowed", "/again/x", mcstandin.PlatformServerFaults{Truncated: 1}, 200, 3, true, false, 2},
		{"a response without a receipt is not relayed", "/once/x", mcstandin.PlatformServerFaults{MissingReceipt: 1}, 502, 1, false, false, 3},
		{"a response to another request is not relayed", "/once/x", mcstandin.PlatformServerFaults{WrongRequestID: 1}, 502, 1, false, false, 3},
		{"bytes that are not an HTTP response", "/once/x", mcstandin.PlatformServerFaults{MalformedResponse: 1}, 502, 1, false, false, 3},
		{"a broken stream is resumed elsewhere", "/stream/x", mcstandin.PlatformServerFaults{BrokenStreams: 1, BreakAfterEvent: 2}, 200, 3, true, false, 2},
		{"a broken stream that must not be resumed", "/solo/stream/x", mcstandin.PlatformServerFaults{BrokenStreams: 1, BreakAfterEvent: 2}, 200, 1, true, true, 3},
		{"a resumed stream that skips events", "/stream/x", mcstandin.PlatformServerFaults{BrokenStreams: 3, BreakAfterEvent: 2, SkippedEvents: 9}, 200, 3, true, true, 3},
		{"a stream that breaks before its first event", "/stream/x", mcstandin.PlatformServerFaults{BrokenStreams: 1}, 200, 3, true, false, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newTestBed(t, 3)
			for _, server := range b.servers[:c.faulty] {
				server.SetFaults(c.faults)
			}
			got := b.get(c.path)
			require.Equal(t, c.status, got.status)
			require.Equal(t, c.broken, got.broken)
			require.Equal(t, c.hasReceipt, got.header.Get("Response-Seal") != "")
			require.LessOrEqual(t, len(b.runs()), c.runs)
			if c.status == 503 {
				require.Empty(t, b.runs(), "status 503 says that the request did not run")
			}
			if strings.Contains(c.path, "stream") && !c.broken {
				require.Equal(t, wholeStream, got.body)
			}
			if c.broken {
				require.True(t, strings.HasPrefix(wholeStream, got.body), "only complete events, in order: %q", got.body)
			}
		})
	}
}

// A faulty endpoint may send a second response after the first. If the connection were
// reused, the next request on it would get that response.
func TestExtraResponseIsDiscarded(t *testing.T) {
	b := newTestBed(t, 1)
	b.servers[0].SetFaults(mcstandin.PlatformServerFaults{ExtraResponse: 3})
	for n := range 12 {
		got := b.get("/again/x")
		if got.status == http.StatusOK {
			require.Equal(t, "answer to request-"+[]string{"1", "2", "3", "4", "5", "6", "7", "8", "9", "10", "11", "12"}[n], got.body)
		}
	}
}

// When a caller disconnects, its request must be cancelled at the endpoint, which would
// otherwise work for nobody.
func TestCallerLeaves(t *testing.T) {
	b := newTestBed(t, 1)
	b.servers[0].CallTime, b.servers[0].EventInterval = 5*time.Second, time.Second
	for _, path := range []string{"/once/x", "/stream/x"} {
		before := b.servers[0].Cancelled()
		ctx, cancel := context.WithCancel(t.Context())
		running := len(b.runs())
		go func() {
			r := b.request(http.MethodGet, path, "").WithContext(ctx)
			_, _ = b.client.Do(r)
		}()
		require.Eventually(t, func() bool { return len(b.runs()) > running }, 5*time.Second, time.Millisecond)
		cancel()
		require.Eventually(t, func() bool { return b.servers[0].Cancelled() > before }, 500*time.Millisecond, time.Millisecond, path)
	}
}

// The time limit of the route applies even if the caller allows more time.
func TestRouteTimeout(t *testing.T) {
	b := newTestBed(t, 1)
	b.servers[0].CallTime = 5 * time.Second
	start := time.Now()
	got := b.get("/brief/x")
	require.Equal(t, http.StatusGatewayTimeout, got.status, "the request ran, so the status must not say otherwise")
	require.Less(t, time.Since(start), 650*time.Millisecond)
}

// Requests with an unknown key or route, or beyond a size limit, must be refused without
// reaching an endpoint. Those at the limit must pass.
func TestRefusals(t *testing.T) {
	b := newTestBed(t, 1)
	cases := []struct {
		name   string
		change func(r *http.Request)
		path   string
		body   string
		status int
	}{
		{"unknown path", func(*http.Request) {}, "/none/", "", http.StatusNotFound},
		{"unknown host", func(r *http.Request) { r.Host = "other.example" }, "/once/x", "", http.StatusNotFound},
		{"unknown key", func(r *http.Request) { r.Header.Set("Authorization", "Bearer nobody") }, "/once/x", "", http.StatusUnauthorized},
		{"no key", func(r *http.Request) { r.Header.Del("Authorization") }, "/once/x", "", http.StatusUnauthorized},
		{"unknown key on an anonymous route", func(r *http.Request) { r.Header.Set("Authorization", "Bearer nobody") }, "/open/x", "", http.StatusUnauthorized},
		{"no key on an anonymous route", func(r *http.Request) { r.Header.Del("Authorization") }, "/open/x", "", http.StatusOK},
		{"body too large", func(*http.Request) {}, "/once/x", strings.Repeat("x", 1001), http.StatusRequestEntityTooLarge},
		{"chunked body too large", func(r *http.Request) { r.ContentLength = -1 }, "/once/x", strings.Repeat("x", 1001), http.StatusRequestEntityTooLarge},
		{"header too large", func(r *http.Request) { r.Header.Set("X-Large", strings.Repeat("x", 4000)) }, "/once/x", "", http.StatusRequestHeaderFieldsTooLarge},
		{"largest body", func(*http.Request) {}, "/once/x", strings.Repeat("x", 1000), http.StatusOK},
		{"largest chunked body", func(r *http.Request) { r.ContentLength = -1 }, "/once/x", strings.Repeat("x", 1000), http.StatusOK},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := b.request(http.MethodPost, c.path, c.body)
			c.change(r)
			before := len(b.runs())
			got := b.send(r)
			require.Equal(t, c.status, got.status)
			require.Equal(t, c.status == http.StatusOK, len(b.runs()) > before)
		})
	}
}

// A key must be refused once it was revoked, and also while the instance cannot know
// whether it was, because its routing table is not confirmed.
func TestRevokedAndUnconfirmedKeys(t *testing.T) {
	b := newTestBed(t, 1)
	require.Equal(t, http.StatusOK, b.get("/once/x").status)
	b.forwarder.Router.Update(routingTable(2, "another"), "test")
	require.Equal(t, http.StatusUnauthorized, b.get("/once/x").status)
	require.Equal(t, http.StatusUnauthorized, b.get("/open/x").status, "an anonymous route")
	require.Len(t, b.runs(), 1)

	b = newTestBed(t, 1)
	b.forwarder.Router.Lease = time.Nanosecond
	require.Equal(t, http.StatusServiceUnavailable, b.get("/once/x").status)
	require.Empty(t, b.runs())
}

// Guards against an instance that is ready while it refuses all requests with a key: its first
// routing table is in force, but not yet confirmed.
func TestInstanceIsNotReadyBeforeItsKeysAreConfirmed(t *testing.T) {
	b := newTestBed(t, 1)
	router := newRouter()
	b.forwarder.Router = router
	router.Update(routingTable(1, testKey), "test")
	require.False(t, b.forwarder.Ready())
	got := b.get("/once/x")
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.Equal(t, "0.5", got.header.Get("Retry-After"), "the confirmation follows within milliseconds")
	open := b.request(http.MethodGet, "/open/x", "")
	open.Header.Del("Authorization")
	require.Equal(t, http.StatusOK, b.send(open).status, "no key is needed")
	router.Confirm(1, mcclock.Now())
	require.True(t, b.forwarder.Ready())
	require.Equal(t, http.StatusOK, b.get("/once/x").status)

	b.forwarder.Router = newRouter()
	b.forwarder.Router.Update(marigoldcroft.NewRoutingTable(marigoldcroft.RoutingTableSpec{Version: 1, Routes: routes()}), "test")
	require.True(t, b.forwarder.Ready(), "a table without keys")
}

// An instance that has just started has no routing table yet. Status 404 would tell callers
// that the route does not exist, so it must respond with 503.
func TestInstanceWithoutRoutingTable(t *testing.T) {
	b := newTestBed(t, 1)
	b.forwarder.Router = newRouter()
	require.False(t, b.forwarder.Ready())
	got := b.get("/once/x")
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.NotEmpty(t, got.header.Get("Retry-After"))
}

// An endpoint that leaves must get no more requests. If its address was given to another
// endpoint, that one responds with 421, and the request must be retried elsewhere.
func TestEndpointLeaves(t *testing.T) {
	b := newTestBed(t, 2)
	gone := b.record(0)
	gone.Value.Leaving = true
	b.forwarder.Fleet.Apply(mcfollow.Change[marigoldcroft.EndpointRecord]{Records: []marigoldcroft.Record[marigoldcroft.EndpointRecord]{gone}})
	for range 10 {
		require.Equal(t, http.StatusOK, b.get("/once/x").status)
	}
	require.Empty(t, b.servers[0].Runs())

	moved := b.record(0)
	moved.Value.Address = b.record(1).Value.Address
	b.forwarder.Fleet.Apply(mcfollow.Change[marigoldcroft.EndpointRecord]{Records: []marigoldcroft.Record[marigoldcroft.EndpointRecord]{moved}})
	for range 10 {
		require.Equal(t, http.StatusOK, b.get("/once/x").status, "status 421 says that the request did not run, so it is retried")
	}
}

// A dead endpoint must not cost each request a failed attempt, and must get requests again
// once it is back.
func TestDeadEndpointIsTriedAgain(t *testing.T) {
	b := newTestBed(t, 2)
	address := b.httpServers[0].Listener.Addr().String()
	b.httpServers[0].Close()
	for range 20 {
		require.Equal(t, http.StatusOK, b.get("/once/x").status)
	}
	revived := &mcstandin.PlatformServer{ID: b.servers[0].ID}
	server := &http.Server{Handler: revived, ReadHeaderTimeout: time.Second}
	listener := listen(t, address)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	require.Eventually(t, func() bool {
		b.get("/once/x")
		return len(revived.Runs()) > 0
	}, 10*time.Second, 5*time.Millisecond)
}

// A planned stop must not cut off requests: the instance becomes unready at once, still
// serves requests, and closes each connection after the response.
func TestDrain(t *testing.T) {
	b := newTestBed(t, 1)
	require.True(t, b.forwarder.Ready())
	b.forwarder.Drain(time.Now().Add(time.Minute))
	require.False(t, b.forwarder.Ready())
	got := b.get("/once/x")
	require.Equal(t, http.StatusOK, got.status)
	b.forwarder.RefuseNew()
	got = b.get("/once/x")
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.Len(t, b.runs(), 1)
	require.Eventually(t, func() bool { return b.forwarder.InFlight() == 0 }, 5*time.Second, time.Millisecond)
}

// A request that crashes every endpoint it reaches would take down one after another as it
// is retried. After two crashes it must be refused with status 503 and reach no further
// endpoints.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	b := newTestBed(t, 5)
	crashed := b.crashOn(func(r *http.Request) bool { return r.URL.Path == "/again/poison" })
	require.Eventually(t, func() bool {
		return b.get("/again/poison").status == http.StatusServiceUnavailable && crashed.Load() >= 2
	}, 10*time.Second, 100*time.Millisecond)
	require.LessOrEqual(t, crashed.Load(), int64(3))
	require.Equal(t, http.StatusOK, b.get("/again/x").status, "other requests are still served")
}

// Requests that share only one part of their prompt take down one endpoint after another if
// just whole requests are quarantined. Once the part is known to crash endpoints, requests with
// it must be refused as not run and reach no further endpoint, and are not repeated once
// it is suspected; others with the same first part are served.
func TestDeadlyPartReachesFewEndpoints(t *testing.T) {
	for path, limit := range map[string]int64{"/solo/stream/": 3, "/stream/": 5} {
		t.Run(path, func(t *testing.T) { testDeadlyPart(t, path, limit) })
	}
}

func testDeadlyPart(t *testing.T, path string, limit int64) {
	b := newTestBed(t, 10)
	var crashed atomic.Int64
	for i := range b.servers {
		b.httpServers[i].Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if strings.Contains(r.Header.Get("Prefix-Hash"), "dead:") {
				crashed.Add(1)
				w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
				w.Header().Set("Response-Seal", "seal")
				_ = http.NewResponseController(w).Flush()
				go b.httpServers[i].CloseClientConnections()
				_ = b.httpServers[i].Listener.Close()
				panic(http.ErrAbortHandler)
			}
			b.servers[i].ServeHTTP(w, r)
		})
	}
	prompt := func(path, parts string) callerResponse {
		r := b.request(http.MethodPost, path, "prompt")
		r.URL.Path += r.Header.Get("Request-Id")
		r.Header.Set("Prefix-Hash", parts+r.Header.Get("Request-Id")+":250")
		return b.send(r)
	}
	require.Equal(t, http.StatusOK, prompt("/stream/", "aa:800,").status)
	var last callerResponse
	require.Eventually(t, func() bool {
		last = prompt(path, "aa:800,dead:410,")
		return last.status == http.StatusServiceUnavailable
	}, 10*time.Second, 200*time.Millisecond)
	require.Contains(t, last.body, `"notRun":true`)
	require.Contains(t, last.body, "part dead of the prompt")
	require.LessOrEqual(t, crashed.Load(), limit)
	require.Equal(t, http.StatusOK, prompt("/stream/", "aa:800,").status)
}
