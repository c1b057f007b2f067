// Package mcorder gives orders to endpoints under a lease: one controller for each
// endpoint group, with the lease's epoch as fencing token.
package mcorder

import "marigoldcroft"

// Kind is the kind of an order error.
type Kind string

// Error is the error type of the package.
type Error = marigoldcroft.Failure[Kind]

// The kinds of order errors.
const (
	// KindNotLeader means that this run does not hold the lease, or not long enough.
	KindNotLeader Kind = "lease not held"
	// KindUnavailable means that the store or the endpoint did not answer.
	KindUnavailable Kind = "unavailable"
	KindCorrupt     Kind = "malformed stored lease"
)

// IsNotLeader tells whether err says that this run does not hold the lease.
func IsNotLeader(err error) bool { return marigoldcroft.FailureKind[Kind](err) == KindNotLeader }
