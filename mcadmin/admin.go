// Package mcadmin is the operators' interface of an entry instance: an HTTP handler in
// JSON and its client.
package mcadmin

import (
	"context"
	"time"

	"marigoldcroft"
	"marigoldcroft/mcconfig"
)

// Kind is the kind of an operator's error; it travels in the answer.
type Kind string

// Error is the error type of the package.
type Error = marigoldcroft.Failure[Kind]

// The kinds of operators' errors.
const (
	KindInvalid     Kind = "invalid"
	KindNotFound    Kind = "notFound"
	KindConflict    Kind = "conflict"
	KindUnknown     Kind = "unknownOutcome"
	KindUnavailable Kind = "unavailable"
	KindUnreachable Kind = "unreachable"
)

// Shapes of the operators' interface. Fields are exported for the codec.
type (
	// Status is what one instance knows of the deployment.
	Status struct {
		Instance    string                  `json:"instance"`
		DataCentre  string                  `json:"dataCentre"`
		Region      string                  `json:"region"`
		Incarnation uint64                  `json:"incarnation"`
		Draining    bool                    `json:"draining"`
		InFlight    int64                   `json:"inFlight"`
		Queued      int                     `json:"queued"`
		Store       string                  `json:"store"`
		Config      mcconfig.FollowerStatus `json:"config"`
		Members     []MemberStatus          `json:"members"`
		Endpoints   []EndpointStatus        `json:"endpoints"`
		Control     ControlStatus           `json:"control"`
	}

	// MemberStatus is one instance as this one sees it.
	MemberStatus struct {
		Instance   string `json:"instance"`
		DataCentre string `json:"dataCentre"`
		State      string `json:"state"`
		Revision   uint64 `json:"revision"`
		AgeMs      int64  `json:"ageMs"`
	}

	// EndpointStatus is one endpoint of the data centre.
	EndpointStatus struct {
		Name    string `json:"name"`
		Kind    string `json:"kind"`
		Pool    string `json:"pool"`
		State   string `json:"state"`
		Running int    `json:"running"`
		Waiting int    `json:"waiting"`
		AgeMs   int64  `json:"ageMs"`
	}

	// ControlStatus is the spending of the peer exchange against its budget.
	ControlStatus struct {
		BytesPerSecond float64 `json:"bytesPerSecond"`
		Budget         int     `json:"budget"`
		IntervalMs     int64   `json:"intervalMs"`
	}

	// Explanation is what the scheduler would decide now.
	Explanation struct {
		Action       string  `json:"action"`
		Reason       string  `json:"reason,omitempty"`
		Endpoint     string  `json:"endpoint,omitempty"`
		Class        string  `json:"class"`
		StartMs      float64 `json:"startMs"`
		FirstTokenMs float64 `json:"firstTokenMs"`
		RetryAfterMs int64   `json:"retryAfterMs,omitempty"`
		Revision     uint64  `json:"revision"`
	}

	// Problem is an error in an answer.
	Problem struct {
		Kind      Kind                `json:"kind"`
		Message   string              `json:"message"`
		Conflicts []mcconfig.Conflict `json:"conflicts,omitempty"`
	}
)

// InstanceCommand changes what instances and endpoints do; the daemon supplies it.
type InstanceCommand interface {
	// Drain begins the planned stop of the named instance, this one or another.
	Drain(ctx context.Context, instance string) error
	// SetLeaving sets or clears the operators' mark of an endpoint.
	SetLeaving(endpoint string, leaving bool) error
	ClearQuarantine(fingerprint uint64) error
}

// InstanceQuery reads the state of the instance; the daemon supplies it.
type InstanceQuery interface {
	Status() Status
	Explain(team, template string, tokens int64) (Explanation, error)
}

// notInForce lists the members that do not have the revision yet, by data centre.
func notInForce(status Status, revision uint64) (reached int, missing []string) {
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

// pollInterval is the time between two questions of WaitInForce.
const pollInterval = 100 * time.Millisecond
