// Package mcforward is a reverse proxy that forwards callers' requests to endpoints
// unchanged. mcroute chooses the route, the scheduler admits and places the request, the
// retry budget limits repeated attempts, and mcquarantine keeps requests that crash
// endpoints apart.
package mcforward

import (
	"marigoldcroft"
)

type (
	// Kind classifies forwarding errors.
	Kind string
	// Error is the error type of the package.
	Error = marigoldcroft.Failure[Kind]
)

// Kinds of forwarding errors.
const (
	// KindUnreachable means that the endpoint could not be reached; nothing was sent.
	KindUnreachable Kind = "unreachable"
	// KindConnectionRefused means that the endpoint's host refused the connection.
	KindConnectionRefused Kind = "connection refused"
	// KindNotReserved means that a helper did not reserve memory for its part of the prompt;
	// nothing was sent to the endpoint.
	KindNotReserved Kind = "not reserved"
	// KindNotRun means that the endpoint reported that it did not run the request and will
	// not.
	KindNotRun Kind = "not run"
	// KindLeft means that the endpoint left, or stated that it is leaving, after the request was
	// placed there; nothing was sent.
	KindLeft Kind = "endpoint left"
	// KindEvacuated means that the data centre of the endpoint, or of a helper, was evacuated after the
	// request was placed there; nothing was sent.
	KindEvacuated Kind = "data centre evacuated"
	// KindOutside means that the endpoint or a helper moved out of the home regions of the request
	// after the request was placed there; nothing was sent.
	KindOutside Kind = "outside the home regions"
	// KindLimited means that the limit that the endpoint states, or its limit while it is cold, allowed
	// no request at the moment, or that the endpoint asked for none; nothing was sent.
	KindLimited Kind = "endpoint limited"
	// KindAddressReused means that the address now belongs to another endpoint.
	KindAddressReused Kind = "another endpoint has the address"
	// KindConnectionBroken means that the connection failed after a part of the request was sent, so
	// the endpoint may have run it.
	KindConnectionBroken Kind = "connection broken"
	// KindRequestIDMismatch means that the response carries the ID of another request.
	KindRequestIDMismatch Kind = "answer of another request"
	// KindInvalidResponse means that a successful response lacks the receipt that every
	// endpoint puts in the header of a complete one, or that its body has a content
	// encoding, which endpoints do not apply.
	KindInvalidResponse Kind = "unsound answer"
	// KindOversized means that the head of a response, its body or what a stream sent between
	// two events exceeded its limit, as when an endpoint sends bytes without end.
	KindOversized Kind = "response too large"
	// KindFailed means that the endpoint ran the request and responded with an error
	// status.
	KindFailed Kind = "endpoint failed"
	// KindCallerLeft means that the caller disconnected.
	KindCallerLeft Kind = "caller left"
	// KindDeadline means that the deadline of the request passed.
	KindDeadline Kind = "deadline"
	// KindAborted means that a planned stop of this instance ended the request.
	KindAborted Kind = "aborted"
	// KindRefused means that the scheduler refused the request.
	KindRefused Kind = "refused"
	// KindQuarantined means that the prompt contains a part that crashed endpoints.
	KindQuarantined Kind = "quarantined"
	// KindSuspected means that the request became a crash suspect, or was quarantined, while it
	// waited for an endpoint. It was not sent.
	KindSuspected Kind = "suspected"
	// KindStreamGap means that a stream skipped an event after the last one that was relayed.
	KindStreamGap Kind = "gap in the stream"
)

func failure(operation string, kind Kind, cause error) error {
	return marigoldcroft.NewFailure(operation, kind, cause)
}

func kindOf(err error) Kind { return marigoldcroft.FailureKind[Kind](err) }
