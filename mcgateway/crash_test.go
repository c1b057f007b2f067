package mcgateway_test

import (
	"context"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marigoldcroft"
	"marigoldcroft/mcengine"
	"marigoldcroft/mcgateway"
	"marigoldcroft/mcmessage"
	"marigoldcroft/mcquarantine"
	"marigoldcroft/mcscheduler"
	"marigoldcroft/mcstandin"
)

// engineFleet is a set of stand-in engines on loopback. The word poison in a prompt
// crashes an engine: it closes its listener and its connections, like a process that ends.
type engineFleet struct {
	engines   []*mcstandin.Engine
	endpoints map[string]marigoldcroft.Endpoint
	client    *http.Client
	crashed   atomic.Int32
}

func newEngineFleet(t *testing.T, n int) *engineFleet {
	f := &engineFleet{endpoints: map[string]marigoldcroft.Endpoint{}, client: &http.Client{Transport: mcengine.NewTransport()}}
	t.Cleanup(f.client.CloseIdleConnections)
	for i := range n {
		name := string(rune('a' + i))
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		e := &mcstandin.Engine{Settings: mcstandin.EngineSettings{
			Name: name, Model: "m", PrefillRate: 1e6, TokenTime: time.Millisecond, KVCapacity: 100_000, ReportLag: time.Millisecond,
		}}
		server := &http.Server{Handler: e.Handler()}
		e.Crash = func() { f.crashed.Add(1); _ = server.Close() }
		e.SetFaults(mcstandin.EngineFaults{CrashOn: "poison"})
		go e.Run(t.Context())
		go func() { _ = server.Serve(listener) }()
		t.Cleanup(func() { _ = server.Close() })
		f.engines = append(f.engines, e)
		f.endpoints[name] = marigoldcroft.NewEndpoint(marigoldcroft.EndpointSpec{
			Name: name, Kind: marigoldcroft.EndpointEngine, Pool: "m", Address: "http://" + listener.Addr().String(),
		})
	}
	return f
}

// newGateway returns a gateway that uses the engines and the production scheduler.
func (f *engineFleet) newGateway(t *testing.T, instance string) *testGateway {
	s, err := mcscheduler.New(mcscheduler.PolicyLengthAware, mcscheduler.Default())
	require.NoError(t, err)
	now := time.Now()
	s.SetEndpoints(now, slices.Collect(maps.Values(f.endpoints)))
	for name := range f.endpoints {
		s.ObserveReport(now, marigoldcroft.LoadReport{Endpoint: name, Incarnation: 1, Time: now, KVCapacityTokens: 100_000})
	}
	g := newTestGateway(nil)
	g.Dispatcher.Scheduler = s
	go g.Dispatcher.Run(t.Context())
	g.Gateway.Engine = &mcengine.Client{HTTP: f.client}
	g.Identity = marigoldcroft.NewIdentity("test", "r", "dc", instance, now, 0)
	g.Endpoint = func(name string) (marigoldcroft.Endpoint, bool) { e, ok := f.endpoints[name]; return e, ok }
	return g
}

// A caller that keeps retrying a prompt that crashes engines, here through two gateways,
// must not crash more than 3 of them. Other requests that ran on the crashed engines must
// succeed and be cleared of suspicion, and all engine memory must be released.
func TestCrashingPromptIsQuarantined(t *testing.T) {
	const engines, bystanders = 6, 4
	f := newEngineFleet(t, engines)
	gateways := []*testGateway{f.newGateway(t, "0"), f.newGateway(t, "1")}
	home := connectPeer(t, &mcgateway.StreamServer{Gateway: gateways[0].Gateway})
	for i, g := range gateways {
		g.SuspectInstance = func(mcquarantine.Fingerprint) (mcmessage.StreamServiceClient, bool) { return home, i == 0 }
		g.AnnounceQuarantine = func(_ context.Context, entries []*mcmessage.QuarantineEntry) {
			gateways[1-i].Quarantine.Merge(time.Now(), entries)
		}
	}
	done := make(chan string, bystanders)
	for i := range bystanders {
		go func() {
			done <- gateways[i%2].chat(t.Context(), body("caption", fmt.Sprintf(`,"temperature":0.%d`, i+1))).Body.String()
		}()
	}
	poison := `{"model":"caption","messages":[{"role":"user","content":"poison"}]}`
	for i := range 10 {
		w := gateways[(i+1)%2].chat(t.Context(), poison)
		require.NotEqual(t, http.StatusOK, w.Code)
		if i > 0 {
			require.Equal(t, mcgateway.CodeQuarantined, decodeProblem(t, w.Body.String()).Code, "try %d", i)
			require.True(t, decodeProblem(t, w.Body.String()).NotRun)
		}
	}
	require.LessOrEqual(t, f.crashed.Load(), int32(3))
	for range bystanders {
		require.Contains(t, <-done, " w99")
	}
	for _, g := range gateways {
		g.Wait()
		require.Empty(t, g.Dispatcher.Scheduler.InFlight())
		quarantined := 0
		for _, e := range g.Quarantine.Entries(time.Now()) {
			require.True(t, e.Quarantined || e.Cleared, "a request that crashed no engine remains a suspect: %v\n%s%s", e, &gateways[0].log, &gateways[1].log)
			if e.Quarantined {
				quarantined++
			}
		}
		require.Equal(t, 1, quarantined)
	}
	for _, e := range f.engines {
		require.Eventually(t, func() bool { return e.KVUsed() == 0 }, 10*time.Second, time.Millisecond)
	}
}

// A stream can break although its engine still runs. The answer then fails, but the request
// must not become a crash suspect.
func TestBrokenStreamCreatesNoSuspect(t *testing.T) {
	f := newEngineFleet(t, 1)
	f.engines[0].SetFaults(mcstandin.EngineFaults{BreakAfter: 3})
	g := f.newGateway(t, "0")
	w := g.chat(t.Context(), body("print", ""))
	require.Equal(t, mcgateway.CodeUpstreamFailed, decodeProblem(t, w.Body.String()).Code)
	require.Empty(t, g.Quarantine.Entries(time.Now()))
	g.Wait()
}

// The segments of a split request run at once and may all crash their engines before the
// first crash is known. Even then, the request must not crash more than 3 engines before
// it is quarantined.
func TestCrashingSplitIsQuarantined(t *testing.T) {
	const engines = 6
	f := newEngineFleet(t, engines)
	g := f.newGateway(t, "0")
	g.LargestEngineTokens = func(string) int64 { return 2000 }
	ask := `{"model":"dossier","messages":[{"role":"system","content":"poison"},{"role":"user","content":"` + strings.Repeat("long ", 6000) + `"}]}`
	for range 5 {
		require.NotEqual(t, http.StatusOK, g.chat(t.Context(), ask).Code)
	}
	require.Equal(t, mcgateway.CodeQuarantined, decodeProblem(t, g.chat(t.Context(), ask).Body.String()).Code)
	require.LessOrEqual(t, f.crashed.Load(), int32(3))
	g.Wait()
	require.Empty(t, g.Dispatcher.Scheduler.InFlight())
}
