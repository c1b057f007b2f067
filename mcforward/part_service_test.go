package mcforward_test

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marigoldcroft"
	"marigoldcroft/mcclock"
	"marigoldcroft/mcfollow"
)

// Guards against a deadly part that crashes as many endpoints again when a route is split or moved
// to another service.
func TestDeadlyPartIsKnownAtAllServices(t *testing.T) {
	const endpoints = 10
	b := newTestBed(t, endpoints)
	var crashed atomic.Int64
	var records []marigoldcroft.Record[marigoldcroft.EndpointRecord]
	for i := range endpoints {
		b.httpServers[i].Config.Handler = http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			crashed.Add(1)
			_ = b.httpServers[i].Listener.Close()
			panic(http.ErrAbortHandler)
		})
		record := b.record(i)
		record.Value.Service = []string{"s", "t"}[i%2]
		records = append(records, record)
	}
	spec := marigoldcroft.RoutingTableSpec{
		Version: 2, KeysRequired: true, Teams: map[string]marigoldcroft.RoutedTeam{testKey: {Name: "team"}},
		Services: []marigoldcroft.RoutedService{{Name: "s"}, {Name: "t"}}, Limits: marigoldcroft.CallerLimits{BodyBytes: 1000, HeaderBytes: 4000},
	}
	for _, service := range []string{"s", "t"} {
		spec.Routes = append(spec.Routes, marigoldcroft.NewRoute(marigoldcroft.RouteSpec{
			Name: service, Host: "svc.example", Prefix: "/" + service + "/", Repeat: marigoldcroft.RepeatAtMostOnce, Streaming: true,
			Timeout: 3 * time.Second, Objective: time.Second, MaxAttempts: 1, Targets: []marigoldcroft.RouteTarget{{Service: service, Weight: 1}},
		}))
	}
	b.forwarder.Router.Update(marigoldcroft.NewRoutingTable(spec), "test")
	b.forwarder.Router.Confirm(2, mcclock.Now())
	b.forwarder.Fleet.Apply(mcfollow.Change[marigoldcroft.EndpointRecord]{Snapshot: true, Records: records})
	for n := range 10 {
		service := []string{"s", "t"}[n%2]
		r := b.request(http.MethodPost, fmt.Sprintf("/%s/%d", service, n), "prompt")
		r.Header.Set("Prefix-Hash", fmt.Sprintf("dead:410,%d:250", n))
		b.send(r)
		// A crash is known after the probes of the endpoint.
		time.Sleep(300 * time.Millisecond)
	}
	require.LessOrEqual(t, crashed.Load(), int64(5))
}
