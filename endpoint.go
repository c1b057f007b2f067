package marigoldcroft

// EndpointKind distinguishes model engines from plain services.
type EndpointKind string

// The kinds of endpoint.
const (
	EndpointEngine  EndpointKind = "engine"
	EndpointService EndpointKind = "service"
)

// Endpoint is a back end: a model engine or a plain service's server.
type Endpoint struct {
	name       string
	kind       EndpointKind
	address    string
	dataCentre string
	// pool is the model name of an engine or the service name of a plain service.
	pool string
	// checksFencing is true if the endpoint rejects orders with a stale fencing token.
	checksFencing bool
	// leaving is true while the endpoint is draining.
	leaving bool
	// slots is the number of requests that the endpoint runs at once, or 0 if unknown.
	slots int
	// performance is zero for a plain service and for an engine that publishes no figures.
	performance EnginePerformance
}

// EndpointSpec holds the arguments of NewEndpoint. The methods of Endpoint describe the
// fields.
type EndpointSpec struct {
	Name          string
	Kind          EndpointKind
	Address       string
	DataCentre    string
	Pool          string
	ChecksFencing bool
	Leaving       bool
	Slots         int
	Performance   EnginePerformance
}

// NewEndpoint returns an endpoint with the fields of spec.
func NewEndpoint(spec EndpointSpec) Endpoint {
	return Endpoint{
		name: spec.Name, kind: spec.Kind, address: spec.Address, dataCentre: spec.DataCentre,
		pool: spec.Pool, checksFencing: spec.ChecksFencing, leaving: spec.Leaving,
		slots: spec.Slots, performance: spec.Performance,
	}
}

// Name returns the name, which is unique in a deployment.
func (e Endpoint) Name() string { return e.name }

// Kind returns whether the endpoint is an engine or a plain service.
func (e Endpoint) Kind() EndpointKind { return e.kind }

// Address returns the base URL.
func (e Endpoint) Address() string { return e.address }

// DataCentre returns the data centre of the endpoint.
func (e Endpoint) DataCentre() string { return e.dataCentre }

// Pool returns the model name of an engine or the service name of a plain service. Endpoints
// of one pool are interchangeable.
func (e Endpoint) Pool() string { return e.pool }

// ChecksFencing reports whether the endpoint rejects orders with a stale fencing token.
func (e Endpoint) ChecksFencing() bool { return e.checksFencing }

// Leaving reports whether the endpoint is draining and must get no new work.
func (e Endpoint) Leaving() bool { return e.leaving }

// Slots returns the number of requests that the endpoint runs at once, or 0 if unknown.
func (e Endpoint) Slots() int { return e.slots }

// Performance returns the engine's published performance figures, or the zero value if it
// publishes none.
func (e Endpoint) Performance() EnginePerformance { return e.performance }

// WithLeaving returns a copy of the endpoint with the given leaving state.
func (e Endpoint) WithLeaving(leaving bool) Endpoint {
	e.leaving = leaving
	return e
}
