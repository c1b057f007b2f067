// Package mcstore is a client for the platform's object store, with an in-memory store
// for tests and embedding.
package mcstore

import "marigoldcroft"

// Kind classifies store errors.
type Kind string

// Error is the error type of the package.
type Error = marigoldcroft.Failure[Kind]

// The kinds of store errors.
const (
	KindNotFound Kind = "not found"
	// KindConflict means that the object's version was not the expected one.
	KindConflict Kind = "version conflict"
	// KindOutcomeUnknown means that the response to a write was lost, so the write may have
	// taken effect.
	KindOutcomeUnknown Kind = "unknown outcome"
	// KindUnavailable means that the call had no effect: it was rejected or not sent.
	KindUnavailable Kind = "unavailable"
	KindTooLarge    Kind = "value too large"
	// KindRateLimited means that this instance has used up its share of the deployment's
	// call rates.
	KindRateLimited Kind = "call budget used up"
	KindInvalidKey  Kind = "malformed key"
)

// IsNotFound reports whether err means that the object does not exist.
func IsNotFound(err error) bool { return marigoldcroft.FailureKind[Kind](err) == KindNotFound }

// IsConflict reports whether err means that the object's version was not the expected one.
func IsConflict(err error) bool { return marigoldcroft.FailureKind[Kind](err) == KindConflict }

// IsOutcomeUnknown reports whether err leaves it unknown if the write took effect.
func IsOutcomeUnknown(err error) bool {
	return marigoldcroft.FailureKind[Kind](err) == KindOutcomeUnknown
}
