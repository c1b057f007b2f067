package mcforward_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marigoldcroft"
	"marigoldcroft/mcfollow"
	"marigoldcroft/mclimit"
	"marigoldcroft/mcmember"
	"marigoldcroft/mcstandin"
)

// coldPerSecond is what a cold endpoint takes; no second may have more than coldBound requests.
const (
	coldPerSecond = 17
	coldBound     = 1.5*coldPerSecond + 5
)

// coldService makes the endpoints of the service cold for the time after a start.
func (b *testBed) coldService(coldTime time.Duration, engine marigoldcroft.EnginePerformance) {
	table := marigoldcroft.NewRoutingTable(marigoldcroft.RoutingTableSpec{
		Version: 3, Routes: routes(), KeysRequired: true, Teams: map[string]marigoldcroft.RoutedTeam{testKey: {Name: "team"}},
		Services: []marigoldcroft.RoutedService{{
			Name: "s", HealthPath: mcstandin.PlatformHealthPath, ColdTime: coldTime, ColdRequestsPerSecond: coldPerSecond, Engine: engine,
		}},
	})
	b.forwarder.Router.Update(table, "test")
	b.forwarder.Fleet.SetRoutingTable(table)
}

// becomeCold writes a record of the server that states a cold phase.
func (b *testBed) becomeCold(i int, left time.Duration) {
	r := b.record(i)
	r.Value.Warming = left
	b.forwarder.Fleet.Apply(mcfollow.Change[marigoldcroft.EndpointRecord]{Records: []marigoldcroft.Record[marigoldcroft.EndpointRecord]{r}})
}

// mostRunsIn returns the largest number of requests that the server ran within a second.
func mostRunsIn(runs []mcstandin.PlatformRun) int {
	most, first := 0, 0
	for i := range runs {
		for runs[i].Time.Sub(runs[first].Time) >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// load sends requests from n callers for a time. All of them must be answered.
func (b *testBed) load(n int, length time.Duration) {
	var callers sync.WaitGroup
	until := time.Now().Add(length)
	for range n {
		callers.Go(func() {
			for time.Now().Before(until) {
				if status := b.get("/again/x").status; status != http.StatusOK {
					b.t.Errorf("status %d", status)
				}
			}
		})
	}
	callers.Wait()
}

// Guards against more requests to a cold endpoint than its limit, when it becomes cold while requests
// arrive, and against callers that are refused or wait although a warm endpoint has room.
func TestColdEndpointGetsNoMoreThanItsLimit(t *testing.T) {
	b := newTestBed(t, 2)
	b.forwarder.Limits.Ownership.SetMembers(time.Now().Add(-time.Minute), []string{"self"}, 0)
	b.coldService(time.Minute, marigoldcroft.EnginePerformance{})
	var load sync.WaitGroup
	load.Go(func() { b.load(6, 4*time.Second) })
	time.Sleep(time.Second)
	b.becomeCold(0, time.Minute)
	coldFrom := time.Now()
	load.Wait()
	runs := b.servers[0].Runs()
	require.Positive(t, len(runs))
	for len(runs) > 0 && runs[0].Time.Before(coldFrom.Add(100*time.Millisecond)) {
		runs = runs[1:]
	}
	t.Logf("%d requests while cold, at most %d in a second, %d elsewhere", len(runs), mostRunsIn(runs), len(b.servers[1].Runs()))
	require.NotEmpty(t, runs)
	require.LessOrEqual(t, float64(mostRunsIn(runs)), coldBound)
}

// Guards against requests to a cold endpoint without a grant because the owner of its limit does not
// answer, and against requests that are lost or repeatedly delayed for it.
func TestColdEndpointGetsNothingWithoutItsOwner(t *testing.T) {
	b := newTestBed(t, 2)
	members := []string{"self", "a", "b", "c", "d", "e"}
	for mcmember.Home(b.servers[0].ID, members) == "self" {
		members = append(members, members[len(members)-1]+"x")
	}
	var asked sync.Map
	b.forwarder.Limits.Ask = func(ctx context.Context, owner string, _ marigoldcroft.EndpointLimit, cold marigoldcroft.ColdPhase) (mclimit.Grant, error) {
		asked.Store(owner, cold.PerSecond)
		<-ctx.Done()
		return mclimit.Grant{}, errors.New("no answer")
	}
	b.forwarder.Limits.Ownership.SetMembers(time.Now().Add(-time.Minute), members, 0)
	b.coldService(time.Minute, marigoldcroft.EnginePerformance{})
	b.becomeCold(0, time.Minute)
	b.load(6, time.Second)
	require.Empty(t, b.servers[0].Runs())
	require.NotEmpty(t, b.servers[1].Runs())
	if perSecond, ok := asked.Load(mcmember.Home(b.servers[0].ID, members)); ok {
		require.InDelta(t, coldPerSecond, perSecond, 0)
	}
}

// Guards against a request that was placed before the endpoint became cold, and is sent there
// afterwards without a grant because a reservation took long.
func TestPlacedRequestIsNotSentToAnEndpointThatBecameCold(t *testing.T) {
	b, recorder := newLargePromptBed(t, 3)
	b.coldService(time.Minute, marigoldcroft.EnginePerformance{
		Slots: 4, MemoryTokens: 100_000, StepTime: time.Millisecond, PrefillTokensPerSecond: 1e6, ChunkTokens: 2048, StepsPerPass: 1,
	})
	recorder.onReserve = func() {
		recorder.onReserve = nil
		for i := range b.servers {
			b.becomeCold(i, time.Minute)
		}
	}
	r := b.request(http.MethodPost, "/stream/x", "prompt")
	r.Header.Set("Token-Counts", "110000,10")
	require.Equal(t, http.StatusServiceUnavailable, b.send(r).status)
	require.Equal(t, 1, recorder.reserves)
	require.Empty(t, b.runs())
}

// Guards against an endpoint that states in the answer to a health check that it is cold and counts as
// warm, as its record states nothing.
func TestHealthCheckTellsOfColdPhase(t *testing.T) {
	b := newTestBed(t, 2)
	b.coldService(time.Minute, marigoldcroft.EnginePerformance{})
	b.servers[0].SetStatement(mcstandin.PlatformStatement{Cold: "20000"})
	apply := func(r marigoldcroft.Record[marigoldcroft.EndpointRecord]) {
		b.forwarder.Fleet.Apply(mcfollow.Change[marigoldcroft.EndpointRecord]{Records: []marigoldcroft.Record[marigoldcroft.EndpointRecord]{r}})
	}
	apply(marigoldcroft.Record[marigoldcroft.EndpointRecord]{Name: b.servers[0].ID, Deleted: true})
	apply(b.record(0))
	require.Eventually(t, func() bool {
		phase := b.forwarder.Fleet.ColdPhase(b.servers[0].ID)
		return phase.Limits(time.Now()) && time.Until(phase.Until) > 15*time.Second && time.Until(phase.Until) <= 20*time.Second
	}, 5*time.Second, time.Millisecond)
}

// Guards against health checks that all instances send at once to a cold endpoint without a grant.
func TestHealthCheckOfColdEndpointNeedsAGrant(t *testing.T) {
	b := newTestBed(t, 2)
	b.coldService(time.Minute, marigoldcroft.EnginePerformance{})
	apply := func(r marigoldcroft.Record[marigoldcroft.EndpointRecord]) {
		b.forwarder.Fleet.Apply(mcfollow.Change[marigoldcroft.EndpointRecord]{Records: []marigoldcroft.Record[marigoldcroft.EndpointRecord]{r}})
	}
	apply(marigoldcroft.Record[marigoldcroft.EndpointRecord]{Name: b.servers[0].ID, Deleted: true})
	returned := b.record(0)
	returned.Value.Warming = time.Minute
	apply(returned)
	time.Sleep(1500 * time.Millisecond)
	require.Zero(t, b.servers[0].Checks(), "no owner has granted the check")
	b.forwarder.Limits.Ownership.SetMembers(time.Now().Add(-time.Minute), []string{"self"}, 0)
	require.Eventually(t, func() bool { return b.servers[0].Checks() > 0 }, 5*time.Second, time.Millisecond)
}

// Guards against a request that is sent long after its grant, in the same second as those that were
// granted later, because a reservation took long.
func TestLapsedGrantIsNotUsed(t *testing.T) {
	b, recorder := newLargePromptBed(t, 2)
	b.forwarder.Limits.Ownership.SetMembers(time.Now().Add(-time.Minute), []string{"self"}, 0)
	b.coldService(time.Minute, marigoldcroft.EnginePerformance{
		Slots: 4, MemoryTokens: 100_000, StepTime: time.Millisecond, PrefillTokensPerSecond: 1e6, ChunkTokens: 2048, StepsPerPass: 1,
	})
	// Server 0 runs the prompt, as a cold engine does not hold a part of it for the other.
	b.becomeCold(0, time.Minute)
	recorder.onReserve = func() {
		recorder.onReserve = nil
		time.Sleep(400 * time.Millisecond)
	}
	r := b.request(http.MethodPost, "/stream/x", "prompt")
	r.Header.Set("Token-Counts", "110000,10")
	require.Equal(t, http.StatusOK, b.send(r).status)
	require.Equal(t, 2, recorder.reserves, "the request was placed again")
	require.Len(t, b.servers[0].Runs(), 1)
	metrics := httptest.NewRecorder()
	b.forwarder.Metrics.Handler().ServeHTTP(metrics, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	require.Contains(t, metrics.Body.String(), `cold_grants_total{result="granted"} 2`)
	require.Contains(t, metrics.Body.String(), `cold_grants_total{result="lapsed"} 1`)
}
