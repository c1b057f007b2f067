package mcsoak

import "marigoldcroft"

// The kinds of soak errors.
const (
	KindStart   Kind = "cannot start"
	KindPromise Kind = "promise broken"
)

type (
	// Kind is the kind of a soak error.
	Kind string
	// Error is the error type of the package.
	Error = marigoldcroft.Failure[Kind]
)
