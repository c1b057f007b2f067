package mcforward_test

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marigoldcroft"
	"marigoldcroft/mcclock"
	"marigoldcroft/mcfollow"
)

// Guards against a data centre whose endpoints are all taken out of rotation although one of them
// has just answered: its answers end with their connection, or it closes the connection after them.
func TestAnswerThatEndsItsConnectionShowsReachableDataCentre(t *testing.T) {
	for name, head := range map[string]string{
		"no length":         "HTTP/1.1 200 OK\r\n",
		"connection: close": "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			const dead, sound = 3, 3
			b := newTestBed(t, dead+1)
			for i := range dead {
				require.NoError(t, b.httpServers[i].Listener.Close())
			}
			b.httpServers[sound].Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				conn, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					return
				}
				_, _ = io.WriteString(conn, head+"Request-Id: "+r.Header.Get("Request-Id")+"\r\nResponse-Seal: seal\r\n\r\nok")
				_ = conn.Close()
			})
			spec := marigoldcroft.RoutingTableSpec{
				Version: 2, KeysRequired: true, Teams: map[string]marigoldcroft.RoutedTeam{testKey: {Name: "team"}},
				Services: []marigoldcroft.RoutedService{{Name: "s"}, {Name: "t"}}, Limits: marigoldcroft.CallerLimits{HeaderBytes: 4000},
			}
			for _, service := range []string{"s", "t"} {
				spec.Routes = append(spec.Routes, marigoldcroft.NewRoute(marigoldcroft.RouteSpec{
					Name: service, Host: "svc.example", Prefix: "/" + service + "/", Repeat: marigoldcroft.RepeatIdempotent,
					Timeout: time.Second, Objective: time.Second, MaxAttempts: 3, Targets: []marigoldcroft.RouteTarget{{Service: service, Weight: 1}},
				}))
			}
			b.forwarder.Router.Update(marigoldcroft.NewRoutingTable(spec), "test")
			b.forwarder.Router.Confirm(2, mcclock.Now())
			other := b.record(sound)
			other.Value.Service = "t"
			list := func(records ...marigoldcroft.Record[marigoldcroft.EndpointRecord]) {
				b.forwarder.Fleet.Apply(mcfollow.Change[marigoldcroft.EndpointRecord]{Snapshot: true, Records: append(records, other)})
			}
			list(b.record(0), b.record(1))
			require.Equal(t, http.StatusServiceUnavailable, b.get("/s/x").status)
			require.Equal(t, http.StatusOK, b.get("/t/x").status)
			list(b.record(0), b.record(1), b.record(2))
			require.Equal(t, http.StatusServiceUnavailable, b.get("/s/x").status)
			work := marigoldcroft.Work{ID: marigoldcroft.NewStreamID("check", 1), Model: "t", PromptTokens: 1, Deadline: time.Now().Add(time.Second)}
			require.Equal(t, marigoldcroft.ActionDispatch, b.forwarder.Dispatcher.Scheduler.Submit(time.Now(), work).Action)
		})
	}
}
