package mcforward_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marigoldcroft"
	"marigoldcroft/mcfollow"
	"marigoldcroft/mcstandin"
)

// newRegionBed returns a test bed whose servers are in data centres d0, d1 and so on, in the given
// regions.
func newRegionBed(t *testing.T, regions ...string) *testBed {
	t.Helper()
	b := newTestBed(t, len(regions))
	b.forwarder.Fleet.Regions = map[string]string{}
	for i, region := range regions {
		if region != "" {
			b.forwarder.Fleet.Regions["d"+string(rune('0'+i))] = region
		}
	}
	for i := range regions {
		b.place(i, i, 2)
	}
	return b
}

// place lists server i in a data centre.
func (b *testBed) place(i, dataCentre int, incarnation uint64) {
	record := b.record(i)
	record.Value.DataCentre, record.Value.Incarnation = "d"+string(rune('0'+dataCentre)), incarnation
	b.forwarder.Fleet.Apply(mcfollow.Change[marigoldcroft.EndpointRecord]{Records: []marigoldcroft.Record[marigoldcroft.EndpointRecord]{record}})
}

// setHomes puts a table in force in which the routes and the team have these home regions.
func (b *testBed) setHomes(version int64, route, team []string, service marigoldcroft.RoutedService) {
	var list []marigoldcroft.Route
	for _, name := range []string{"again", "once", "stream"} {
		list = append(list, marigoldcroft.NewRoute(marigoldcroft.RouteSpec{
			Name: name, Host: "svc.example", Prefix: "/" + name + "/", Repeat: marigoldcroft.RepeatIdempotent, Timeout: 3 * time.Second,
			Streaming: name == "stream", Resumable: name == "stream",
			Objective: time.Second, MaxAttempts: 3, Targets: []marigoldcroft.RouteTarget{{Service: "s", Weight: 1}}, Regions: route,
		}))
	}
	service.Name = "s"
	table := marigoldcroft.NewRoutingTable(marigoldcroft.RoutingTableSpec{
		Version: version, Routes: list, KeysRequired: true, Teams: map[string]marigoldcroft.RoutedTeam{testKey: {Name: "team", Regions: team}},
		Services: []marigoldcroft.RoutedService{service},
	})
	b.forwarder.Router.Update(table, "test")
	b.forwarder.Fleet.SetRoutingTable(table)
}

// Guards against requests that run outside the regions that route and team have in common, and
// against a refusal that comes late or does not say that the request did not run.
func TestRequestsRunInTheirHomeRegions(t *testing.T) {
	for name, c := range map[string]struct {
		route, team []string
		want        []string
	}{
		"any region":          {nil, nil, []string{"i-0", "i-1", "i-2"}},
		"route":               {[]string{"a"}, nil, []string{"i-0"}},
		"team":                {nil, []string{"b"}, []string{"i-1"}},
		"both":                {[]string{"a", "b"}, []string{"b", "c"}, []string{"i-1"}},
		"none in common":      {[]string{"a"}, []string{"b"}, nil},
		"no endpoint there":   {[]string{"c"}, nil, nil},
		"none allowed":        {nil, []string{}, nil},
		"name of the unknown": {[]string{""}, nil, nil},
	} {
		t.Run(name, func(t *testing.T) {
			b := newRegionBed(t, "a", "b", "")
			b.setHomes(2, c.route, c.team, marigoldcroft.RoutedService{})
			for range 40 {
				began := time.Now()
				got := b.get("/again/x")
				if c.want != nil {
					require.Equal(t, http.StatusOK, got.status)
					continue
				}
				require.Equal(t, http.StatusServiceUnavailable, got.status)
				require.Contains(t, got.body, `"notRun":true`)
				require.Contains(t, got.body, "region")
				require.Less(t, time.Since(began), time.Second, "the deadline is 2 s away")
			}
			for _, s := range b.servers {
				if len(s.Runs()) > 0 {
					require.Contains(t, c.want, s.ID)
				}
			}
			require.Len(t, b.runs(), 40*min(1, len(c.want)))
		})
	}
}

// Guards against further attempts, after a failure or for the rest of a stream, that leave the home
// regions, while endpoints elsewhere are idle.
func TestRetriesStayInTheHomeRegions(t *testing.T) {
	for name, c := range map[string]struct {
		path   string
		faults mcstandin.PlatformServerFaults
	}{
		"connection broken": {"/again/x", mcstandin.PlatformServerFaults{LostResponses: 100}},
		"refused":           {"/again/x", mcstandin.PlatformServerFaults{Overloaded: 100}},
		"stream broken":     {"/stream/x", mcstandin.PlatformServerFaults{BrokenStreams: 100, BreakAfterEvent: 2}},
	} {
		t.Run(name, func(t *testing.T) {
			b := newRegionBed(t, "a", "b", "b", "b", "a")
			b.setHomes(2, []string{"a"}, nil, marigoldcroft.RoutedService{})
			b.servers[0].SetFaults(c.faults)
			b.servers[4].SetFaults(c.faults)
			for range 10 {
				b.get(c.path)
			}
			for _, s := range b.servers[1:4] {
				require.Empty(t, s.Runs())
			}
		})
	}
}

// Guards against helpers outside the home regions, and memory that is reserved there.
func TestHelpersAreInTheHomeRegions(t *testing.T) {
	b, recorder := newLargePromptBed(t, 4)
	b.forwarder.Fleet.Regions = map[string]string{"d0": "a", "d1": "b", "d2": "b", "d3": "a"}
	for i := range 4 {
		b.place(i, i, 2)
	}
	performance := marigoldcroft.EnginePerformance{
		Slots: 4, MemoryTokens: 100_000, StepTime: time.Millisecond, PrefillTokensPerSecond: 1e6, ChunkTokens: 2048, StepsPerPass: 1,
	}
	b.setHomes(3, []string{"a"}, nil, marigoldcroft.RoutedService{Engine: performance})
	r := b.request(http.MethodPost, "/stream/x", "prompt")
	r.Header.Set("Token-Counts", "110000,10")
	require.Equal(t, http.StatusOK, b.send(r).status)
	require.Equal(t, 1, recorder.maxHeld)
	require.Len(t, b.runs(), 1)
	require.Empty(t, append(b.servers[1].Runs(), b.servers[2].Runs()...))
	for _, i := range []int{1, 2} {
		require.NotContains(t, b.runs()[0].Header.Get("Helpers"), strings.TrimPrefix(b.httpServers[i].URL, "http://"))
	}
}

// Guards against a request that is sent to an endpoint, or names a helper, that moved out of the home
// regions after the request was placed there.
func TestPlacedRequestIsNotSentOutsideItsHomeRegions(t *testing.T) {
	b, recorder := newLargePromptBed(t, 3)
	b.forwarder.Fleet.Regions = map[string]string{"d0": "a", "d1": "b"}
	for i := range 3 {
		b.place(i, 0, 2)
	}
	b.setHomes(3, []string{"a"}, nil, marigoldcroft.RoutedService{Engine: b.forwarder.Fleet.Endpoints()[0].Performance()})
	recorder.onReserve = func() {
		recorder.onReserve = nil
		for i := range 3 {
			b.place(i, 1, 3)
		}
	}
	r := b.request(http.MethodPost, "/stream/x", "prompt")
	r.Header.Set("Token-Counts", "110000,10")
	got := b.send(r)
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.Contains(t, got.body, `"notRun":true`)
	require.Empty(t, b.runs())
}

// Guards against a changed configuration that moves requests which began before it, and against work
// that is queued until its deadline when its home loses the last endpoint.
func TestHomeRegionsOfARequestAreThoseOfItsTable(t *testing.T) {
	b := newRegionBed(t, "a", "b")
	b.setHomes(2, []string{"a"}, nil, marigoldcroft.RoutedService{})
	b.servers[0].CallTime = 1500 * time.Millisecond
	results := make(chan callerResponse, 8)
	for range 8 {
		r := b.request(http.MethodGet, "/again/x", "")
		go func() { results <- b.send(r) }()
	}
	require.Eventually(t, func() bool { return b.forwarder.Dispatcher.Scheduler.Queued() == 4 }, 5*time.Second, time.Millisecond)
	b.setHomes(3, []string{"b"}, nil, marigoldcroft.RoutedService{})
	require.Equal(t, http.StatusOK, b.get("/again/x").status, "new requests have the new home")
	require.Len(t, b.servers[1].Runs(), 1)
	b.place(0, 1, 2)
	for range 4 {
		got := <-results
		require.Equal(t, http.StatusServiceUnavailable, got.status)
		require.Contains(t, got.body, `"notRun":true`)
		require.Contains(t, got.body, "region")
	}
	require.Len(t, b.servers[1].Runs(), 1)
}
