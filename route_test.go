package marigoldcroft_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"marigoldcroft"
)

// The longest matching prefix of the request's own host must win. Host names are compared in
// lower case and without the port, and "/xy/" must not match the prefix "/x/".
func TestRoutingTable(t *testing.T) {
	route := func(name, host, prefix string) marigoldcroft.Route {
		return marigoldcroft.NewRoute(marigoldcroft.RouteSpec{Name: name, Host: host, Prefix: prefix})
	}
	table := marigoldcroft.NewRoutingTable(marigoldcroft.RoutingTableSpec{Routes: []marigoldcroft.Route{
		route("root", "a.example", "/"), route("long", "a.example", "/x/y/"), route("short", "a.example", "/x/"), route("other", "b.example", "/x/"),
	}})
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/x/y/z", "long"},
		{"A.Example:80", "/x/z", "short"},
		{"a.example", "/x", "root"},
		{"a.example", "/xy/", "root"},
		{"b.example", "/x/y/z", "other"},
		{"b.example", "/", ""},
		{"c.example", "/x/", ""},
	} {
		found, ok := table.Route(c.host, c.path)
		require.Equal(t, c.want != "", ok, "%s%s", c.host, c.path)
		require.Equal(t, c.want, found.Name(), "%s%s", c.host, c.path)
	}
}

// Targets must be chosen in proportion to their weights, and equal draws must give the same
// target, so that all attempts of a request go to one service.
func TestRouteTarget(t *testing.T) {
	r := marigoldcroft.NewRoute(marigoldcroft.RouteSpec{Targets: []marigoldcroft.RouteTarget{{Service: "a", Weight: 3}, {Service: "b", Weight: 1}, {Service: "c"}}})
	counts := make(map[string]int)
	for draw := range uint64(400) {
		counts[r.Target(draw)]++
		require.Equal(t, r.Target(draw), r.Target(draw))
	}
	require.Equal(t, map[string]int{"a": 300, "b": 100}, counts)
	require.Empty(t, marigoldcroft.NewRoute(marigoldcroft.RouteSpec{}).Target(1))
}

// A request that may run at most once must never be repeatable. For streams only Resumable
// counts, and for other requests only the repeat rule.
func TestRouteRepeatable(t *testing.T) {
	for _, c := range []struct {
		spec marigoldcroft.RouteSpec
		want bool
	}{
		{marigoldcroft.RouteSpec{Repeat: marigoldcroft.RepeatIdempotent}, true},
		{marigoldcroft.RouteSpec{Repeat: marigoldcroft.RepeatAtMostOnce}, false},
		{marigoldcroft.RouteSpec{Repeat: marigoldcroft.RepeatAtMostOnce, Resumable: true}, false},
		{marigoldcroft.RouteSpec{Streaming: true, Repeat: marigoldcroft.RepeatIdempotent}, false},
		{marigoldcroft.RouteSpec{Streaming: true, Resumable: true}, true},
	} {
		require.Equal(t, c.want, marigoldcroft.NewRoute(c.spec).Repeatable(), "%+v", c.spec)
	}
}
