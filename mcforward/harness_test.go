package mcforward_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"marigoldcroft"
	"marigoldcroft/mcclock"
	"marigoldcroft/mcfleet"
	"marigoldcroft/mcfollow"
	"marigoldcroft/mcforward"
	"marigoldcroft/mcgateway"
	"marigoldcroft/mclimit"
	"marigoldcroft/mcmessage"
	"marigoldcroft/mcobserve"
	"marigoldcroft/mcquarantine"
	"marigoldcroft/mcroute"
	"marigoldcroft/mcscheduler"
	"marigoldcroft/mcstandin"
	"marigoldcroft/platform"
)

// testBed is a forwarder with stand-in servers as its endpoints.
type testBed struct {
	t           testing.TB
	forwarder   *mcforward.Forwarder
	frontServer *httptest.Server
	servers     []*mcstandin.PlatformServer
	httpServers []*httptest.Server
	client      *http.Client

	mu       sync.Mutex
	suspects []*mcmessage.QuarantineEntry
	requests int
}

const testKey = "key-of-team"

// routes returns the routes of the test table: requests to /once/ run at most once, those
// to /again/ may be repeated, /stream/ is a stream that may be resumed and /solo/stream/
// one that may not; those to /patient/ and /patient/stream/ have more time.
func routes() []marigoldcroft.Route {
	spec := func(name, prefix string, change func(*marigoldcroft.RouteSpec)) marigoldcroft.Route {
		s := marigoldcroft.RouteSpec{
			Name: name, Host: "svc.example", Prefix: prefix, Repeat: marigoldcroft.RepeatAtMostOnce, Timeout: 3 * time.Second,
			Objective: time.Second, MaxAttempts: 3, Targets: []marigoldcroft.RouteTarget{{Service: "s", Weight: 1}},
		}
		change(&s)
		return marigoldcroft.NewRoute(s)
	}
	return []marigoldcroft.Route{
		spec("once", "/once/", func(*marigoldcroft.RouteSpec) {}),
		spec("again", "/again/", func(s *marigoldcroft.RouteSpec) { s.Repeat = marigoldcroft.RepeatIdempotent }),
		spec("brief", "/brief/", func(s *marigoldcroft.RouteSpec) { s.Timeout = 150 * time.Millisecond }),
		spec("open", "/open/", func(s *marigoldcroft.RouteSpec) { s.Anonymous = true }),
		spec("stream", "/stream/", func(s *marigoldcroft.RouteSpec) { s.Streaming, s.Resumable = true, true }),
		spec("solo", "/solo/stream/", func(s *marigoldcroft.RouteSpec) { s.Streaming = true }),
		spec("patient", "/patient/", func(s *marigoldcroft.RouteSpec) { s.Timeout = time.Minute }),
		spec("patientStream", "/patient/stream/", func(s *marigoldcroft.RouteSpec) { s.Streaming, s.Timeout = true, time.Minute }),
	}
}

func routingTable(version int64, keys ...string) *marigoldcroft.RoutingTable {
	teams := make(map[string]marigoldcroft.RoutedTeam)
	for _, key := range keys {
		teams[key] = marigoldcroft.RoutedTeam{Name: "team"}
	}
	return marigoldcroft.NewRoutingTable(marigoldcroft.RoutingTableSpec{
		Version: version, Routes: routes(), KeysRequired: true, Teams: teams,
		Services: []marigoldcroft.RoutedService{{Name: "s", HealthPath: mcstandin.PlatformHealthPath}}, Limits: marigoldcroft.CallerLimits{BodyBytes: 1000, HeaderBytes: 4000},
	})
}

// newTestBed starts a forwarder with n servers as its endpoints. The retry budget does not
// limit retries in the tests.
func newTestBed(t testing.TB, n int) *testBed {
	t.Helper()
	b := &testBed{t: t, client: &http.Client{Transport: &http.Transport{DisableCompression: true}}}
	var records []marigoldcroft.Record[marigoldcroft.EndpointRecord]
	for i := range n {
		s := &mcstandin.PlatformServer{ID: fmt.Sprintf("i-%d", i), Events: 6, EventInterval: 2 * time.Millisecond}
		h := httptest.NewServer(s)
		t.Cleanup(h.Close)
		b.servers, b.httpServers = append(b.servers, s), append(b.httpServers, h)
		records = append(records, b.record(i))
	}
	scheduler, err := mcscheduler.New(mcscheduler.PolicyPassModel, mcscheduler.Default())
	require.NoError(t, err)
	fleet := &mcfleet.Fleet{Logger: zerolog.Nop(), OnChange: func(endpoints []marigoldcroft.Endpoint) { scheduler.SetEndpoints(time.Now(), endpoints) }}
	router := &mcroute.Router{Lease: time.Minute, Logger: zerolog.Nop()}
	b.forwarder = &mcforward.Forwarder{
		Codec: platform.Codec{}, Router: router, Fleet: fleet, Dispatcher: &mcgateway.Dispatcher{Scheduler: scheduler},
		Retries:    &mclimit.RetryBudget{Limits: func(time.Time) mclimit.RetryLimits { return mclimit.RetryLimits{Floor: 1000} }},
		Quarantine: &mcquarantine.Guard{}, Limits: &mclimit.EndpointLimiter{
			Ownership: &mclimit.Ownership{Self: "self"}, Cold: fleet.ColdPhase, Announce: func(marigoldcroft.EndpointLimit) {}, Logger: zerolog.Nop(),
		},
		Announce: b.announce, OnLoadChange: func() {}, Metrics: mcobserve.NewMetrics(),
		Logger: zerolog.Nop(), MaxInFlight: 100,
	}
	fleet.OnReturned = b.forwarder.ConfirmReturned
	router.Update(routingTable(1, testKey), "test")
	router.Confirm(1, mcclock.Now())
	fleet.Apply(mcfollow.Change[marigoldcroft.EndpointRecord]{Snapshot: true, Records: records})
	go b.forwarder.Dispatcher.Run(t.Context())
	go b.forwarder.Run(t.Context())
	b.frontServer = httptest.NewServer(b.forwarder)
	t.Cleanup(b.frontServer.Close)
	t.Cleanup(b.client.CloseIdleConnections)
	return b
}

func (b *testBed) record(i int) marigoldcroft.Record[marigoldcroft.EndpointRecord] {
	return marigoldcroft.Record[marigoldcroft.EndpointRecord]{Name: b.servers[i].ID, Value: &marigoldcroft.EndpointRecord{
		Name: b.servers[i].ID, Service: "s", Address: strings.TrimPrefix(b.httpServers[i].URL, "http://"), Slots: 4, Incarnation: 1,
	}}
}

func (b *testBed) announce(entries []*mcmessage.QuarantineEntry) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.suspects = append(b.suspects, entries...)
}

// runs returns the requests that the servers ran.
func (b *testBed) runs() []mcstandin.PlatformRun {
	var all []mcstandin.PlatformRun
	for _, s := range b.servers {
		all = append(all, s.Runs()...)
	}
	return all
}

// callerResponse is the response that the caller got.
type callerResponse struct {
	status int
	header http.Header
	body   string
	// broken is true when the response broke off.
	broken bool
}

// request returns a request with a unique ID.
func (b *testBed) request(method, path, body string) *http.Request {
	b.t.Helper()
	var reader io.Reader
	if body != "" {
		reader = strings.NewReader(body)
	}
	r, err := http.NewRequestWithContext(b.t.Context(), method, b.frontServer.URL+path, reader)
	require.NoError(b.t, err)
	b.mu.Lock()
	b.requests++
	id := fmt.Sprintf("request-%d", b.requests)
	b.mu.Unlock()
	r.Host = "svc.example"
	r.Header.Set("Request-Id", id)
	r.Header.Set("Deadline-Ms", "2000")
	r.Header.Set("Authorization", "Bearer "+testKey)
	return r
}

func (b *testBed) send(r *http.Request) callerResponse {
	b.t.Helper()
	response, err := b.client.Do(r)
	if err != nil {
		return callerResponse{broken: true}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return callerResponse{status: response.StatusCode, header: response.Header, body: string(body), broken: err != nil}
}

func (b *testBed) get(path string) callerResponse { return b.send(b.request(http.MethodGet, path, "")) }

func newRouter() *mcroute.Router {
	return &mcroute.Router{Lease: time.Minute, Logger: zerolog.Nop()}
}

// listen opens a port that was closed just before.
func listen(t *testing.T, address string) net.Listener {
	t.Helper()
	var listener net.Listener
	require.Eventually(t, func() bool {
		var err error
		listener, err = net.Listen("tcp", address)
		return err == nil
	}, 5*time.Second, 10*time.Millisecond)
	return listener
}
