// Package mcadmin is the operators' interface of an entry instance: the HTTP handler
// of the admin port and its client.
package mcadmin

import (
	"context"
	"time"

	"marigoldcroft"
	"marigoldcroft/mcconfig"
)

// Kind is the kind of an operator call's error.
type Kind string

// Error is the error type of the package.
type Error = marigoldcroft.Failure[Kind]

// The kinds of errors, as they stand in the field code of an error answer.
const (
	KindInvalid     Kind = "badRequest"
	KindNotFound    Kind = "notFound"
	KindConflict    Kind = "conflict"
	KindUnknown     Kind = "unknown"
	KindUnavailable Kind = "unavailable"
	KindUnsupported Kind = "unsupported"
	// KindUnreachable means that the instance did not answer.
	KindUnreachable Kind = "unreachable"
)

// The JSON forms. Fields are exported for the codec.
type (
	// errorBody is the answer to a call that failed.
	errorBody struct {
		Code      Kind                `json:"code"`
		Message   string              `json:"message"`
		Conflicts []mcconfig.Conflict `json:"conflicts,omitempty"`
	}

	// changeBody is one object of an apply call.
	changeBody struct {
		mcconfig.ObjectName
		mcconfig.Object
		Expected *uint64 `json:"expected,omitempty"`
	}

	// applyBody is an apply call.
	applyBody struct {
		DryRun  bool         `json:"dryRun,omitempty"`
		Changes []changeBody `json:"changes"`
	}

	// rollbackBody is a rollback call.
	rollbackBody struct {
		To     uint64 `json:"to"`
		DryRun bool   `json:"dryRun,omitempty"`
	}

	// listBody is the answer to a list or history call.
	listBody struct {
		Entries []mcconfig.Entry `json:"entries"`
	}

	// DataCentreStatus tells how many instances of a data centre have a revision.
	DataCentreStatus struct {
		Name      string `json:"name"`
		Instances int    `json:"instances"`
		// InForce counts the instances that have the asked revision or a later one.
		InForce int `json:"inForce"`
		// Reachable is false when no news of the data centre has come for a while.
		Reachable bool `json:"reachable"`
	}

	// Status is what an instance knows of the deployment.
	Status struct {
		Deployment  string                  `json:"deployment"`
		DataCentre  string                  `json:"dataCentre"`
		Instance    string                  `json:"instance"`
		State       string                  `json:"state"`
		Config      mcconfig.FollowerStatus `json:"config"`
		DataCentres []DataCentreStatus      `json:"dataCentres"`
		Endpoints   []EndpointStatus        `json:"endpoints,omitempty"`
		JobsHeld    int                     `json:"jobsHeld"`
		Time        time.Time               `json:"time"`
	}

	// EndpointStatus is what an instance knows of an endpoint.
	EndpointStatus struct {
		Name       string `json:"name"`
		DataCentre string `json:"dataCentre"`
		State      string `json:"state"`
	}

	// ExplainRequest asks how a request would be served.
	ExplainRequest struct {
		Team     string `json:"team"`
		Template string `json:"template"`
		Tokens   int    `json:"tokens"`
	}

	// Explanation tells how a request would be served now.
	Explanation struct {
		Class    string   `json:"class"`
		Decision string   `json:"decision"`
		Endpoint string   `json:"endpoint,omitempty"`
		Reasons  []string `json:"reasons"`
	}
)

// The parts that the daemon supplies. An error of the kind KindNotFound becomes 404.
type (
	// StatusSource tells the state of the deployment with respect to a revision; 0
	// stands for the one in force here.
	StatusSource interface {
		Status(ctx context.Context, revision uint64) (Status, error)
	}

	// Drainer starts a planned stop of an instance.
	Drainer interface {
		Drain(ctx context.Context, instance string) error
	}

	// EndpointMarker sets and clears the leaving mark of an endpoint.
	EndpointMarker interface {
		MarkEndpoint(ctx context.Context, name string, leaving bool) error
	}

	// Explainer tells how a request would be served.
	Explainer interface {
		Explain(ctx context.Context, request ExplainRequest) (Explanation, error)
	}

	// QuarantineClearer takes a fingerprint out of quarantine.
	QuarantineClearer interface {
		ClearQuarantine(ctx context.Context, id string) error
	}
)
