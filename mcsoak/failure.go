package mcsoak

import "marigoldcroft"

// KindStart marks errors of runs whose stand-ins or instances could not be started.
const KindStart Kind = "cannot start"

type (
	// Kind classifies the errors of this package.
	Kind string
	// Error is an error of this package with its kind.
	Error = marigoldcroft.Failure[Kind]
)
