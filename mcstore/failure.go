// Package mcstore is the client of the platform's object store, with an in-memory
// store for tests and embedding.
package mcstore

import "marigoldcroft"

// Kind is the kind of a store error.
type Kind string

// Error is the error type of the package.
type Error = marigoldcroft.Failure[Kind]

// The kinds of store errors.
const (
	KindNotFound Kind = "not found"
	// KindConflict means that the object had another version than expected.
	KindConflict Kind = "version conflict"
	// KindUnknown means that a write may have taken effect: its answer was lost.
	KindUnknown Kind = "unknown outcome"
	// KindUnavailable means that the call had no effect: it was refused or not sent.
	KindUnavailable Kind = "unavailable"
	KindTooLarge    Kind = "value too large"
	// KindBudget means that this instance's share of the store's rates is used up.
	KindBudget Kind = "call budget used up"
	KindBadKey Kind = "malformed key"
)

// IsNotFound tells whether err says that the object does not exist.
func IsNotFound(err error) bool { return marigoldcroft.FailureKind[Kind](err) == KindNotFound }

// IsConflict tells whether err says that the version was not the expected one.
func IsConflict(err error) bool { return marigoldcroft.FailureKind[Kind](err) == KindConflict }

// IsUnknown tells whether err leaves open if the write took effect.
func IsUnknown(err error) bool { return marigoldcroft.FailureKind[Kind](err) == KindUnknown }
