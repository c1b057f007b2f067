// Package mcpeer implements gRPC calls between instances. It contains a server, a pool of
// client connections, validation of every message, optional mutual TLS and the injection
// of network partitions for tests.
package mcpeer

import "marigoldcroft"

// Kind classifies peer errors.
type Kind string

// Error is the error type of the package.
type Error = marigoldcroft.Failure[Kind]

// The kinds of peer errors.
const (
	KindListen Kind = "cannot listen"
	KindServe  Kind = "cannot serve"
	KindDial   Kind = "cannot dial"
	KindTLS    Kind = "unusable TLS files"
	// KindInvalidMessage means that a field of a message is missing or breaks its limit.
	KindInvalidMessage Kind = "invalid message"
	// KindClosed means that the pool is closed.
	KindClosed Kind = "closed"
)
