// Package mcpeer carries calls between instances over gRPC: a server, a pool of
// client connections, validation of every message, optional mutual TLS and a switch
// that blocks traffic in tests.
package mcpeer

import "marigoldcroft"

// Kind is the kind of a peer error.
type Kind string

// Error is the error type of the package.
type Error = marigoldcroft.Failure[Kind]

// The kinds of peer errors.
const (
	KindListen Kind = "cannot listen"
	KindServe  Kind = "cannot serve"
	KindDial   Kind = "cannot dial"
	KindTLS    Kind = "unusable TLS files"
	// KindInvalid means that a field of a message breaks its limit.
	KindInvalid Kind = "invalid message"
	// KindClosed means that the pool is closed.
	KindClosed Kind = "closed"
)
