// Package mcadmin implements the admin API of an entry instance, which operators use: an
// HTTP server with JSON responses, and its client.
package mcadmin

import (
	"context"
	"time"

	"marigoldcroft"
	"marigoldcroft/mcconfig"
)

// Kind is the kind of an error of the admin API. It is part of the response.
type Kind string

// Error is the error type of the package.
type Error = marigoldcroft.Failure[Kind]

// The kinds of errors.
const (
	KindInvalid        Kind = "invalid"
	KindNotFound       Kind = "notFound"
	KindConflict       Kind = "conflict"
	KindOutcomeUnknown Kind = "unknownOutcome"
	KindUnavailable    Kind = "unavailable"
	KindUnreachable    Kind = "unreachable"
)

// The JSON types of the admin API. Their fields are exported for the codec.
type (
	// Status is the state of an instance and its view of the deployment.
	Status struct {
		Instance     string                  `json:"instance"`
		DataCentre   string                  `json:"dataCentre"`
		Region       string                  `json:"region"`
		Incarnation  uint64                  `json:"incarnation"`
		Draining     bool                    `json:"draining"`
		InFlight     int64                   `json:"inFlight"`
		Queued       int                     `json:"queued"`
		Store        string                  `json:"store"`
		Config       mcconfig.FollowerStatus `json:"config"`
		Members      []MemberStatus          `json:"members"`
		Endpoints    []EndpointStatus        `json:"endpoints"`
		PeerExchange PeerExchangeStatus      `json:"control"`
	}

	// MemberStatus is the state of a member as the responding instance sees it.
	MemberStatus struct {
		Instance   string `json:"instance"`
		DataCentre string `json:"dataCentre"`
		State      string `json:"state"`
		Revision   uint64 `json:"revision"`
		AgeMs      int64  `json:"ageMs"`
	}

	// EndpointStatus is the state of an endpoint in the data centre of the instance.
	EndpointStatus struct {
		Name    string `json:"name"`
		Kind    string `json:"kind"`
		Pool    string `json:"pool"`
		State   string `json:"state"`
		Running int    `json:"running"`
		Waiting int    `json:"waiting"`
		AgeMs   int64  `json:"ageMs"`
	}

	// PeerExchangeStatus is the bandwidth that the peer exchange uses, with its budget.
	PeerExchangeStatus struct {
		BytesPerSecond float64 `json:"bytesPerSecond"`
		Budget         int     `json:"budget"`
		IntervalMs     int64   `json:"intervalMs"`
	}

	// SchedulingDecision is the decision that the scheduler would make now for a request.
	SchedulingDecision struct {
		Action       string  `json:"action"`
		Reason       string  `json:"reason,omitempty"`
		Endpoint     string  `json:"endpoint,omitempty"`
		Class        string  `json:"class"`
		StartMs      float64 `json:"startMs"`
		FirstTokenMs float64 `json:"firstTokenMs"`
		RetryAfterMs int64   `json:"retryAfterMs,omitempty"`
		Revision     uint64  `json:"revision"`
	}

	// ErrorResponse is the body of an error response.
	ErrorResponse struct {
		Kind      Kind                `json:"kind"`
		Message   string              `json:"message"`
		Conflicts []mcconfig.Conflict `json:"conflicts,omitempty"`
	}
)

// InstanceCommand holds the commands for instances and endpoints. The daemon implements
// it.
type InstanceCommand interface {
	// Drain starts the planned stop of the named instance, which may be another instance.
	Drain(ctx context.Context, instance string) error
	// SetLeaving sets or clears the mark by which an operator takes an endpoint out of use.
	SetLeaving(endpoint string, leaving bool) error
	ClearQuarantine(fingerprint uint64) error
}

// InstanceQuery reads the state of the instance. The daemon implements it.
type InstanceQuery interface {
	Status() Status
	Explain(team, template string, tokens int64) (SchedulingDecision, error)
}

// applyProgress returns the number of members that have applied the revision, and the
// other members as dataCentre/instance. It ignores members that are gone.
func applyProgress(status Status, revision uint64) (reached int, missing []string) {
	for _, m := range status.Members {
		if m.State == "gone" {
			continue
		}
		if m.Revision >= revision {
			reached++
			continue
		}
		missing = append(missing, m.DataCentre+"/"+m.Instance)
	}
	return reached, missing
}

// pollInterval is the time between the status requests of WaitApplied.
const pollInterval = 100 * time.Millisecond
