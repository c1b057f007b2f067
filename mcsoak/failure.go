package mcsoak

import "marigoldcroft"

// KindStart is the kind of errors of runs that did not begin.
const KindStart Kind = "cannot start"

type (
	// Kind is the kind of a soak error.
	Kind string
	// Error is the error type of the package.
	Error = marigoldcroft.Failure[Kind]
)
