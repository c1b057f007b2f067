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
// crashes an engine, which closes its connections like a process that ends.
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
	b := newTestGateway(nil)
	b.Dispatcher.Scheduler = s
	go b.Dispatcher.Run(t.Context())
	b.Gateway.Engine = &mcengine.Client{HTTP: f.client}
	b.Identity = marigoldcroft.NewIdentity("test", "r", "dc", instance, now, 0)
	b.Endpoint = func(name string) (marigoldcroft.Endpoint, bool) { e, ok := f.endpoints[name]; return e, ok }
	return b
}

// Guards against one prompt that crashes most engines through two gateways, other
// requests that fail or remain suspects because of it, and engine memory that is not
// released.
func TestCrashingPromptIsQuarantined(t *testing.T) {
	const engines, bystanders = 6, 4
	f := newEngineFleet(t, engines)
	gateways := []*testGateway{f.newGateway(t, "0"), f.newGateway(t, "1")}
	home := connectPeer(t, &mcgateway.StreamServer{Gateway: gateways[0].Gateway})
	for i, b := range gateways {
		b.SuspectInstance = func(mcquarantine.Fingerprint) (mcmessage.StreamServiceClient, bool) { return home, i == 0 }
		b.AnnounceQuarantine = func(_ context.Context, entries []*mcmessage.QuarantineEntry) {
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
	for _, b := range gateways {
		b.Wait()
		require.Empty(t, b.Dispatcher.Scheduler.InFlight())
		quarantined := 0
		for _, e := range b.Quarantine.Entries(time.Now()) {
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

// Guards against crash suspects after streams that merely broke: the engine still runs,
// so the answer fails but no request is a suspect.
func TestBrokenStreamCreatesNoSuspect(t *testing.T) {
	f := newEngineFleet(t, 1)
	f.engines[0].SetFaults(mcstandin.EngineFaults{BreakAfter: 3})
	b := f.newGateway(t, "0")
	w := b.chat(t.Context(), body("print", ""))
	require.Equal(t, mcgateway.CodeUpstreamFailed, decodeProblem(t, w.Body.String()).Code)
	require.Empty(t, b.Quarantine.Entries(time.Now()))
	b.Wait()
}

// Guards against a split request whose segments all crash their engines: they run at
// once, yet no more than 3 endpoints may be lost.
func TestCrashingSplitIsQuarantined(t *testing.T) {
	const engines = 6
	f := newEngineFleet(t, engines)
	b := f.newGateway(t, "0")
	b.LargestEngineTokens = func(string) int64 { return 2000 }
	ask := `{"model":"dossier","messages":[{"role":"system","content":"poison"},{"role":"user","content":"` + strings.Repeat("long ", 6000) + `"}]}`
	for range 5 {
		require.NotEqual(t, http.StatusOK, b.chat(t.Context(), ask).Code)
	}
	require.Equal(t, mcgateway.CodeQuarantined, decodeProblem(t, b.chat(t.Context(), ask).Body.String()).Code)
	require.LessOrEqual(t, f.crashed.Load(), int32(3))
	b.Wait()
	require.Empty(t, b.Dispatcher.Scheduler.InFlight())
}
