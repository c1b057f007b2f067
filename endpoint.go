package marigoldcroft

import "time"

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
	// region is the region of dataCentre, or "" if it is not known.
	region string
	// leaving is true while the endpoint is draining.
	leaving bool
	// evacuated is true while the operator wants nothing more sent to the data centre.
	evacuated bool
	// coldUntil is the time until which the endpoint takes few requests after its start, or zero.
	coldUntil time.Time
	// coldRequestsPerSecond is what a cold endpoint takes from all instances together, or 0 for no
	// limit.
	coldRequestsPerSecond float64
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
	Region        string
	Leaving       bool
	Evacuated     bool
	ColdUntil     time.Time
	Slots         int
	Performance   EnginePerformance

	ColdRequestsPerSecond float64
}

// NewEndpoint returns an endpoint with the fields of spec.
func NewEndpoint(spec EndpointSpec) Endpoint {
	return Endpoint{
		name: spec.Name, kind: spec.Kind, address: spec.Address, dataCentre: spec.DataCentre,
		pool: spec.Pool, checksFencing: spec.ChecksFencing, region: spec.Region, leaving: spec.Leaving,
		evacuated: spec.Evacuated, coldUntil: spec.ColdUntil, coldRequestsPerSecond: spec.ColdRequestsPerSecond,
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

// Region returns the region of the endpoint's data centre, or "" if it is not known.
func (e Endpoint) Region() string { return e.region }

// Leaving reports whether the endpoint must get no new work, because it is draining or its data
// centre is evacuated.
func (e Endpoint) Leaving() bool { return e.leaving || e.evacuated }

// Evacuated reports whether the operator wants nothing more sent to the endpoint's data centre.
func (e Endpoint) Evacuated() bool { return e.evacuated }

// ColdUntil returns the time until which the endpoint takes only a limited number of requests
// after its start, or zero if it is not cold.
func (e Endpoint) ColdUntil() time.Time { return e.coldUntil }

// ColdRequestsPerSecond returns the number of requests a second that the endpoint takes from all
// instances together while it is cold, or 0 for no limit.
func (e Endpoint) ColdRequestsPerSecond() float64 { return e.coldRequestsPerSecond }

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
