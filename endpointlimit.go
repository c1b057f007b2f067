package marigoldcroft

import "time"

// MaxRequestsPerSecond is the largest limit that an endpoint can state; a larger one counts as this.
const MaxRequestsPerSecond = 1e6

type (
	// EndpointLimit is the number of requests a second that an endpoint takes from all instances
	// together, as it stated last.
	EndpointLimit struct {
		endpoint string
		// version is the Unix time in milliseconds of the change; a larger version is newer.
		version   uint64
		limited   bool
		perSecond float64
		cold      ColdPhase
	}

	// ColdPhase is the time after the start of an endpoint in which it takes only PerSecond requests a
	// second from all instances together. 0 means no limit.
	ColdPhase struct {
		PerSecond float64
		Until     time.Time
	}

	// EndpointLimitSpec holds the arguments of NewEndpointLimit. The methods of EndpointLimit
	// describe the fields.
	EndpointLimitSpec struct {
		Endpoint  string
		Version   uint64
		Limited   bool
		PerSecond float64
		Cold      ColdPhase
	}
)

// NewEndpointLimit returns a limit with the fields of spec.
func NewEndpointLimit(spec EndpointLimitSpec) EndpointLimit {
	return EndpointLimit{
		endpoint: spec.Endpoint, version: spec.Version, limited: spec.Limited,
		perSecond: min(max(0, spec.PerSecond), MaxRequestsPerSecond), cold: spec.Cold,
	}
}

// Endpoint returns the name of the endpoint.
func (l EndpointLimit) Endpoint() string { return l.endpoint }

// Version orders the limits of one endpoint; it is the Unix time in milliseconds of the change.
func (l EndpointLimit) Version() uint64 { return l.version }

// Limited reports whether the endpoint states a limit.
func (l EndpointLimit) Limited() bool { return l.limited }

// PerSecond returns the number of requests a second, or 0 if the endpoint states no limit.
func (l EndpointLimit) PerSecond() float64 { return l.perSecond }

// Cold returns the cold phase of the endpoint that was known when the limit was written. It applies
// whether the endpoint states a limit or not.
func (l EndpointLimit) Cold() ColdPhase { return l.cold }

// Limits reports whether the endpoint is cold at the time and limits its requests.
func (c ColdPhase) Limits(now time.Time) bool { return c.PerSecond > 0 && now.Before(c.Until) }

// Newer reports whether l replaces other, a limit of the same endpoint. It is a total order, so
// that all instances pick the same one of two limits that were written at the same time.
func (l EndpointLimit) Newer(other EndpointLimit) bool {
	switch {
	case l.version != other.version:
		return l.version > other.version
	case l.limited != other.limited:
		return l.limited
	}
	if l.perSecond != other.perSecond {
		return l.perSecond < other.perSecond
	}
	return l.cold.Until.After(other.cold.Until)
}
