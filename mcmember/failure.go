// Package mcmember implements gossip membership for the instances of one data centre.
// Table is a state machine without I/O: it holds the members, the endpoints with their
// loads, the leaving marks and the quarantine entries. Member runs a Table: it exchanges
// its content with peers, detects failed members, polls endpoints and relays summaries
// to other data centres.
package mcmember

import "marigoldcroft"

// Kind is the kind of a membership error.
type Kind string

// Error is the error type of the package.
type Error = marigoldcroft.Failure[Kind]

// The kinds of membership errors.
const (
	// KindUnknownEndpoint means that neither the instance list nor a peer has named the
	// endpoint.
	KindUnknownEndpoint Kind = "unknown endpoint"
	// KindUnreachable means that the endpoint or member did not answer.
	KindUnreachable Kind = "unreachable"
	// KindInvalid means that an argument is outside its limits.
	KindInvalid Kind = "invalid"
)
