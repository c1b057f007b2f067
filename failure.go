package marigoldcroft

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// Failure is an error that carries the operation that failed, the kind of failure and the
// cause. Each package defines its own kinds and error type: type Error = Failure[Kind].
type Failure[K ~string] struct {
	operation string
	kind      K
	cause     error
}

// NewFailure returns a failure of the operation; cause may be nil.
func NewFailure[K ~string](operation string, kind K, cause error) *Failure[K] {
	return &Failure[K]{operation: operation, kind: kind, cause: cause}
}

// Error returns the operation, the kind and, if there is one, the cause, joined by colons.
func (f *Failure[K]) Error() string {
	if f.cause == nil {
		return fmt.Sprintf("%s: %s", f.operation, string(f.kind))
	}
	return fmt.Sprintf("%s: %s: %v", f.operation, string(f.kind), f.cause)
}

// Operation returns the operation that failed.
func (f *Failure[K]) Operation() string { return f.operation }

// Kind returns the kind of failure.
func (f *Failure[K]) Kind() K { return f.kind }

// Unwrap returns the cause, or nil.
func (f *Failure[K]) Unwrap() error { return f.cause }

// FailureKind returns the kind of the first Failure[K] in the error chain of err, or "" if
// there is none.
func FailureKind[K ~string](err error) K {
	var f *Failure[K]
	if errors.As(err, &f) {
		return f.kind
	}
	return ""
}
