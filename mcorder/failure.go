// Package mcorder sends orders to endpoints under a lease. Each endpoint group has one
// controller at a time, and the lease's epoch is the fencing token of its orders.
package mcorder

import "marigoldcroft"

// Kind classifies order errors.
type Kind string

// Error is the error type of the package.
type Error = marigoldcroft.Failure[Kind]

// The kinds of order errors.
const (
	// KindNotLeader means that this process does not hold the lease, or not long enough
	// for the operation.
	KindNotLeader Kind = "lease not held"
	// KindUnavailable means that the store or the endpoint did not answer, or that an
	// order cannot be carried out yet.
	KindUnavailable Kind = "unavailable"
	KindCorrupt     Kind = "malformed stored lease"
)

// IsNotLeader reports whether err means that this process does not hold the lease.
func IsNotLeader(err error) bool { return marigoldcroft.FailureKind[Kind](err) == KindNotLeader }
