// Package mcmember keeps the table of members, endpoints and shared marks of one
// data centre: a state machine without input or output (Table) and a driver that
// exchanges it with peers (Member).
package mcmember

import "marigoldcroft"

// Kind is the kind of a membership error.
type Kind string

// Error is the error type of the package.
type Error = marigoldcroft.Failure[Kind]

// The kinds of membership errors.
const (
	// KindUnknownEndpoint means that neither the instance list nor a peer named it.
	KindUnknownEndpoint Kind = "unknown endpoint"
	// KindUnreachable means that the endpoint or member did not answer.
	KindUnreachable Kind = "unreachable"
	// KindInvalid means that a field of a call is out of its bounds.
	KindInvalid Kind = "invalid"
)
