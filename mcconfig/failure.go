// Package mcconfig stores and distributes the versioned configuration: templates and
// teams. Objects are stored in immutable pages that are listed by one head object. A
// Follower keeps the current configuration of an instance up to date, an Editor
// changes the stored configuration, and a Server passes heads and pages to peers.
package mcconfig

import "marigoldcroft"

// Kind is the kind of a configuration error.
type Kind string

// Error is the error type of the package.
type Error = marigoldcroft.Failure[Kind]

// The kinds of configuration errors.
const (
	// KindInvalid means that an object violates a field limit or a check across
	// objects: a key hash owned by two teams, or a reference to a missing template.
	KindInvalid Kind = "invalid configuration"
	// KindConflict means that a concurrent change was accepted first; see ConflictError.
	KindConflict Kind = "conflict"
	KindNotFound Kind = "not found"
	// KindOutcomeUnknown means that the change may have been accepted: the response of the
	// store was lost, and reading the head back did not resolve the outcome.
	KindOutcomeUnknown Kind = "unknown outcome"
	// KindUnavailable means that the change was not accepted and can be retried.
	KindUnavailable Kind = "unavailable"
	// KindCorrupt means that a stored head or page is malformed or missing, or that its
	// hash is wrong.
	KindCorrupt Kind = "malformed stored configuration"
)

// IsInvalid reports whether the content of an object was rejected.
func IsInvalid(err error) bool { return marigoldcroft.FailureKind[Kind](err) == KindInvalid }

// IsConflict reports whether a concurrent change was accepted first.
func IsConflict(err error) bool { return marigoldcroft.FailureKind[Kind](err) == KindConflict }

// IsNotFound reports whether the object or the revision does not exist.
func IsNotFound(err error) bool { return marigoldcroft.FailureKind[Kind](err) == KindNotFound }

// IsOutcomeUnknown reports whether it is unknown if the change was accepted.
func IsOutcomeUnknown(err error) bool {
	return marigoldcroft.FailureKind[Kind](err) == KindOutcomeUnknown
}
