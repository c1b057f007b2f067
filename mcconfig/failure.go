// Package mcconfig keeps templates and teams: the stored pages and their head, the
// follower that holds the configuration in force at one instance, and the editor
// that changes it.
package mcconfig

import "marigoldcroft"

// Kind is the kind of a configuration error.
type Kind string

// Error is the error type of the package.
type Error = marigoldcroft.Failure[Kind]

// The kinds of configuration errors.
const (
	// KindInvalid means that content breaks a limit or a cross check.
	KindInvalid Kind = "invalid configuration"
	// KindConflict means that another change came first; see ConflictError.
	KindConflict Kind = "conflict"
	KindNotFound Kind = "not found"
	// KindUnknown means that the change may have been accepted: the store's answer
	// was lost and reading back did not settle it.
	KindUnknown Kind = "unknown outcome"
	// KindUnavailable means that the change was not accepted and can be repeated.
	KindUnavailable Kind = "unavailable"
	// KindCorrupt means that a stored head or page is malformed.
	KindCorrupt Kind = "malformed stored configuration"
)

// IsInvalid tells whether err refuses the content.
func IsInvalid(err error) bool { return marigoldcroft.FailureKind[Kind](err) == KindInvalid }

// IsConflict tells whether err says that another change came first.
func IsConflict(err error) bool { return marigoldcroft.FailureKind[Kind](err) == KindConflict }

// IsNotFound tells whether err says that the object or the revision does not exist.
func IsNotFound(err error) bool { return marigoldcroft.FailureKind[Kind](err) == KindNotFound }

// IsUnknown tells whether err leaves open if the change was accepted.
func IsUnknown(err error) bool { return marigoldcroft.FailureKind[Kind](err) == KindUnknown }
