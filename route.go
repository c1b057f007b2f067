package marigoldcroft

import (
	"strings"
	"time"
)

type (
	// RouteSpec holds the arguments of NewRoute.
	RouteSpec struct {
		Name string
		Host string
		// Prefix is the path prefix; it begins and ends with a slash.
		Prefix  string
		Targets []RouteTarget
		Repeat  RepeatRule
		// Streaming is true if the answer is a stream of events.
		Streaming bool
		// Resumable allows a broken stream to be continued at another endpoint.
		Resumable bool
		// Timeout is the time limit of a request, or 0 if the route sets none.
		Timeout time.Duration
		// Objective is the target time to the answer, or to the first event of a stream.
		Objective time.Duration
		// MaxPause is the target for the longest pause between two events of a stream.
		MaxPause time.Duration
		// MaxAttempts is the largest number of endpoints to which one request is sent.
		MaxAttempts int
		// Rank is the priority of the route under overload, 0 first.
		Rank int
		// Anonymous is true if requests need no API key.
		Anonymous bool
		// Regions are the only regions in which requests may run. Nil means any region.
		Regions []string
	}

	// RouteTarget is a service that receives a weighted share of a route's requests.
	RouteTarget struct {
		Service string
		// Weight is relative to the sum of the weights of the route's targets.
		Weight int
	}

	// Route defines how requests with one host and path prefix are forwarded, and to which
	// services.
	Route struct{ spec RouteSpec }

	// EnginePerformance holds the published performance figures of the engines of a service. It
	// is zero for a plain service.
	EnginePerformance struct {
		// Slots is the number of requests that an engine runs at once.
		Slots int
		// MemoryTokens is the KV memory of one engine, in tokens.
		MemoryTokens int64
		// StepTime is the time of one decoding step. StepTimePerRequest is added to it for each
		// request in the batch, and StepTimePerKiloToken for each 1,000 tokens of their contexts.
		StepTime             time.Duration
		StepTimePerRequest   time.Duration
		StepTimePerKiloToken time.Duration
		// PrefillTokensPerSecond is the prefill rate without the cost of attention.
		PrefillTokensPerSecond float64
		// PrefillTimePerMegaPair is the cost of attention: the prefill time added for each
		// million pairs of a token and an earlier token.
		PrefillTimePerMegaPair time.Duration
		// ChunkTokens is the largest number of prompt tokens prefilled in one step.
		ChunkTokens int
		// StepsPerPass is the number of decoding steps in one pass of an engine that has streams.
		StepsPerPass int
		// HopTime is added to each decoding step of a request whose KV memory is spread over
		// several engines.
		HopTime time.Duration
		// MeanPromptTokens and MeanOutputTokens are the mean token counts of the service's requests.
		MeanPromptTokens int64
		MeanOutputTokens int64
	}

	// RoutedService is the configuration of one service.
	RoutedService struct {
		Name       string
		HealthPath string
		// MaxConnections is the largest number of connections that one endpoint accepts from all
		// instances together.
		MaxConnections int
		// ColdTime is how long an endpoint is cold after its start, and ColdRequestsPerSecond what a
		// cold one takes from all instances together. 0 means that the endpoints have no cold phase.
		ColdTime              time.Duration
		ColdRequestsPerSecond float64
		Engine                EnginePerformance
	}

	// RoutedTeam is the team that owns an API key.
	RoutedTeam struct {
		Name string
		// Rank replaces the route's rank if HasRank is true.
		Rank    int
		HasRank bool
		// Regions are the only regions in which the team's requests may run. Nil means any region.
		Regions []string
	}

	// CallerLimits bounds the size of callers' requests and the time that callers may take. A
	// zero value means that a limit is not set.
	CallerLimits struct {
		HeaderBytes int
		BodyBytes   int64
		// HeaderTimeout is the time limit for reading a request header.
		HeaderTimeout time.Duration
		// IdleTimeout is the time limit for an idle connection.
		IdleTimeout time.Duration
	}

	// RoutingTableSpec holds the arguments of NewRoutingTable.
	RoutingTableSpec struct {
		Version  int64
		Routes   []Route
		Services []RoutedService
		// Teams maps API keys to the teams that own them.
		Teams map[string]RoutedTeam
		// KeysRequired is true if requests need an API key, except on anonymous routes.
		KeysRequired bool
		Limits       CallerLimits
		// Source is the stored form, from which a peer can decode the same table.
		Source []byte
	}

	// RoutingTable is one version of the routing configuration. It is immutable; a request uses
	// the same table from start to end.
	RoutingTable struct {
		spec     RoutingTableSpec
		hosts    map[string][]Route
		services map[string]RoutedService
	}
)

// NewRoute returns the route that spec describes.
func NewRoute(spec RouteSpec) Route { return Route{spec: spec} }

// Name returns the name of the route.
func (r Route) Name() string { return r.spec.Name }

// Timeout returns the time limit of a request, or 0 if the route sets none.
func (r Route) Timeout() time.Duration { return r.spec.Timeout }

// Objective returns the target time to the answer, or to the first event of a stream.
func (r Route) Objective() time.Duration { return r.spec.Objective }

// MaxPause returns the target for the longest pause between two events of a stream.
func (r Route) MaxPause() time.Duration { return r.spec.MaxPause }

// MaxAttempts returns the largest number of endpoints to which one request is sent, at
// least 1.
func (r Route) MaxAttempts() int { return max(1, r.spec.MaxAttempts) }

// Rank returns the priority of the route under overload, 0 first.
func (r Route) Rank() int { return r.spec.Rank }

// Streaming reports whether the answer is a stream of events.
func (r Route) Streaming() bool { return r.spec.Streaming }

// Resumable reports whether a broken stream may be continued at another endpoint.
func (r Route) Resumable() bool { return r.spec.Streaming && r.spec.Resumable }

// Regions returns the only regions in which requests may run, or nil for any region.
func (r Route) Regions() []string { return r.spec.Regions }

// Anonymous reports whether requests need no API key.
func (r Route) Anonymous() bool { return r.spec.Anonymous }

// Repeatable reports whether a request may be run more than once: streams if they are
// resumable, other requests if they are idempotent.
func (r Route) Repeatable() bool {
	if r.spec.Streaming {
		return r.spec.Resumable
	}
	return r.spec.Repeat == RepeatIdempotent
}

// Target returns the service for a request, chosen by weight from draw, or "" if no target
// has a positive weight. Equal draws give the same service, so that a caller that derives
// draw from the request sends all attempts of it to the same service.
func (r Route) Target(draw uint64) string {
	total := 0
	for _, t := range r.spec.Targets {
		total += max(0, t.Weight)
	}
	if total == 0 {
		return ""
	}
	remaining := int(draw % uint64(total))
	for _, t := range r.spec.Targets {
		if remaining -= max(0, t.Weight); remaining < 0 {
			return t.Service
		}
	}
	return ""
}

// NewRoutingTable returns the routing table that spec describes.
func NewRoutingTable(spec RoutingTableSpec) *RoutingTable {
	t := &RoutingTable{
		spec: spec, hosts: make(map[string][]Route), services: make(map[string]RoutedService, len(spec.Services)),
	}
	for _, r := range spec.Routes {
		host := strings.ToLower(r.spec.Host)
		t.hosts[host] = append(t.hosts[host], r)
	}
	for _, s := range spec.Services {
		t.services[s.Name] = s
	}
	return t
}

// Version returns the version; later tables have larger versions.
func (t *RoutingTable) Version() int64 { return t.spec.Version }

// Source returns the stored form, from which a peer can decode the same table.
func (t *RoutingTable) Source() []byte { return t.spec.Source }

// Limits returns the limits on callers' requests.
func (t *RoutingTable) Limits() CallerLimits { return t.spec.Limits }

// Services returns all services.
func (t *RoutingTable) Services() []RoutedService { return t.spec.Services }

// Service returns the service with the given name.
func (t *RoutingTable) Service(name string) (RoutedService, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Route returns the route of the host whose prefix is the longest match for path. The host is
// compared in lower case and without its port.
func (t *RoutingTable) Route(host, path string) (Route, bool) {
	var found Route
	ok := false
	for _, r := range t.hosts[hostName(host)] {
		if strings.HasPrefix(path, r.spec.Prefix) && (!ok || len(r.spec.Prefix) > len(found.spec.Prefix)) {
			found, ok = r, true
		}
	}
	return found, ok
}

// Team returns the team that owns the API key.
func (t *RoutingTable) Team(key string) (RoutedTeam, bool) {
	team, ok := t.spec.Teams[key]
	return team, ok
}

// KeysRequired reports whether requests need an API key, except on anonymous routes.
func (t *RoutingTable) KeysRequired() bool { return t.spec.KeysRequired }

// hostName returns the host in lower case and without its port.
func hostName(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}
